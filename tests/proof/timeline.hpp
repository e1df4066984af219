#ifndef CUMINFOLD_TESTS_PROOF_TIMELINE_HPP
#define CUMINFOLD_TESTS_PROOF_TIMELINE_HPP

#include "kernel/time.hpp"

#include <functional>
#include <map>
#include <utility>

namespace cuminfold
{

/// Virtual time: work that is due later, run in order of its time.
class timeline
{
public:
    time_point now() const noexcept
    {
        return now_;
    }

    void after(duration delay, std::function<void()> work)
    {
        work_.emplace(now_ + delay, std::move(work));
    }

    void run_for(duration span)
    {
        time_point const stop = now_ + span;
        while (!work_.empty() && work_.begin()->first <= stop)
        {
            auto const first = work_.begin();
            now_ = first->first;
            auto const work = std::move(first->second);
            work_.erase(first);
            work();
        }
        now_ = stop;
    }

private:
    time_point now_{std::chrono::hours{1}};
    std::multimap<time_point, std::function<void()>> work_;
};

} // namespace cuminfold

#endif
