#ifndef CUMINFOLD_TRANSPORT_IO_THREAD_HPP
#define CUMINFOLD_TRANSPORT_IO_THREAD_HPP

#include "transport/channel.hpp"

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
        : work_(boost::asio::make_work_guard(context_)), tasks_(capacity)
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

    /// Sets what is called, on this thread, once there is room for tasks that
    /// wait; it makes the other thread call `flush()`.
    void on_room(std::function<void()> call)
    {
        tasks_.on_room(std::move(call));
    }

    /// Runs a task on this thread, without waiting; called by one other thread
    /// only. A task that finds no room waits for `flush()`.
    void put(task work)
    {
        tasks_.put(std::move(work));
        wake();
    }

    /// Hands over tasks that wait; called by that other thread.
    /// @return the tasks that still wait
    std::size_t flush()
    {
        if (tasks_.flush())
        {
            wake();
        }
        return tasks_.waiting();
    }

    /// As `put()`, but waits until the task is handed over. This thread must
    /// then never wait for the caller.
    void run(task work)
    {
        put(std::move(work));
        while (flush() != 0 && !stopping_)
        {
            std::this_thread::yield();
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
    /// Tasks taken before sockets have their turn.
    static constexpr std::size_t fair_share = 256;

    void wake()
    {
        if (!posted_.exchange(true))
        {
            boost::asio::post(context_, [this] { drain(); });
        }
    }

    void drain()
    {
        posted_ = false;
        auto const taken = tasks_.drain(fair_share, [](task& work) { work(); });
        if (taken == fair_share)
        {
            wake();
        }
    }

    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work_;
    channel<task> tasks_;
    std::atomic<bool> posted_{false};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace cuminfold

#endif
