#ifndef CUMINFOLD_TRANSPORT_WAKE_UP_HPP
#define CUMINFOLD_TRANSPORT_WAKE_UP_HPP

#include "kernel/time.hpp"

#include <condition_variable>
#include <mutex>

namespace cuminfold
{

/// Lets a thread sleep until another one has put something into a ring.
class wake_up
{
public:
    void notify()
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            pending_ = true;
        }
        condition_.notify_one();
    }

    /// Returns once there was a `notify()` since the last return, or after
    /// `limit`.
    void wait(duration limit)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        condition_.wait_for(lock, limit, [this] { return pending_; });
        pending_ = false;
    }

private:
    std::mutex mutex_;
    std::condition_variable condition_;
    bool pending_ = false;
};

} // namespace cuminfold

#endif
