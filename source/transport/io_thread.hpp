#ifndef CUMINFOLD_TRANSPORT_IO_THREAD_HPP
#define CUMINFOLD_TRANSPORT_IO_THREAD_HPP

#include "transport/bounded_ring.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <thread>
#include <utility>

namespace cuminfold
{

/// A thread that runs sockets, and takes work from one other thread by a
/// bounded ring.
class io_thread
{
public:
    using task = std::function<void()>;

    explicit io_thread(std::size_t capacity)
        : work_(boost::asio::make_work_guard(context_)), ring_(capacity)
    {
    }

    ~io_thread()
    {
        stop();
    }

    boost::asio::io_context& context()
    {
        return context_;
    }

    void start()
    {
        thread_ = std::thread([this] { context_.run(); });
    }

    /// Runs a task on this thread; called by one other thread only, which
    /// waits while the ring is full.
    void run(task work)
    {
        while (!ring_.push(work))
        {
            if (stopping_)
            {
                return;
            }
            std::this_thread::yield();
        }
        if (!posted_.exchange(true))
        {
            boost::asio::post(context_, [this] { drain(); });
        }
    }

    /// Runs a task on this thread; any thread may call, at any time.
    void run_from_outside(task work)
    {
        boost::asio::post(context_, std::move(work));
    }

    void stop()
    {
        stopping_ = true;
        context_.stop();
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

private:
    void drain()
    {
        posted_ = false;
        while (auto const work = ring_.pop())
        {
            (*work)();
        }
    }

    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    bounded_ring<task> ring_;
    std::atomic<bool> posted_{false};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace cuminfold

#endif
