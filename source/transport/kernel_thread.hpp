#ifndef CUMINFOLD_TRANSPORT_KERNEL_THREAD_HPP
#define CUMINFOLD_TRANSPORT_KERNEL_THREAD_HPP

#include "kernel/time.hpp"
#include "transport/bounded_ring.hpp"
#include "transport/wake_up.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace cuminfold
{

/// The thread of one kernel. Events come in by one bounded ring for each
/// producing thread; the kernel's actions go to a sink, on this thread.
template <class Kernel, class Event, class Action>
class kernel_thread
{
public:
    /// Reads the kernel between two events.
    using query = std::function<void(Kernel const&)>;
    using item = std::variant<Event, query>;
    using sink = std::function<void(Action&&)>;
    using make_tick = std::function<Event()>;

    /// The way in for one producing thread.
    class input
    {
    public:
        input(std::size_t capacity, wake_up& wake)
            : ring_(capacity), wake_(wake)
        {
        }

        /// @return false if the ring is full
        bool submit(Event event)
        {
            return put(item{std::in_place_index<0>, std::move(event)});
        }

        /// @return false if the ring is full
        bool ask(query question)
        {
            return put(item{std::in_place_index<1>, std::move(question)});
        }

    private:
        friend class kernel_thread;

        bool put(item thing)
        {
            bool const taken = ring_.push(std::move(thing));
            wake_.notify();
            return taken;
        }

        bounded_ring<item> ring_;
        wake_up& wake_;
    };

    kernel_thread(std::unique_ptr<Kernel> kernel, duration tick_interval,
                  make_tick tick, sink actions)
        : kernel_(std::move(kernel)), tick_interval_(tick_interval),
          tick_(std::move(tick)), actions_(std::move(actions))
    {
    }

    ~kernel_thread()
    {
        stop();
    }

    /// Makes a way in; only before `start()`.
    input& add_input(std::size_t capacity)
    {
        inputs_.push_back(std::make_unique<input>(capacity, wake_));
        return *inputs_.back();
    }

    void start()
    {
        thread_ = std::thread([this] { run(); });
    }

    /// Ends the thread; what is in the rings then is dropped.
    void stop()
    {
        stopping_ = true;
        wake_.notify();
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

private:
    static time_point now()
    {
        return std::chrono::time_point_cast<duration>(
            std::chrono::steady_clock::now());
    }

    void run()
    {
        time_point next_tick = now();
        while (!stopping_)
        {
            bool const busy = take_inputs();
            time_point const at = now();
            if (at >= next_tick)
            {
                handle(tick_());
                next_tick = at + tick_interval_;
            }
            else if (!busy)
            {
                wake_.wait(next_tick - at);
            }
        }
    }

    bool take_inputs()
    {
        bool busy = false;
        for (auto const& in : inputs_)
        {
            for (int i = 0; i < fair_share; ++i)
            {
                std::unique_ptr<item> const thing = in->ring_.pop();
                if (!thing)
                {
                    break;
                }
                busy = true;
                take(*thing);
            }
        }
        return busy;
    }

    void take(item& thing)
    {
        if (auto* question = std::get_if<query>(&thing))
        {
            (*question)(*kernel_);
            return;
        }
        handle(std::get<0>(thing));
    }

    void handle(Event const& event)
    {
        for (auto& action : kernel_->handle(now(), event))
        {
            actions_(std::move(action));
        }
    }

    /// Items taken from one ring before the next one has its turn.
    static constexpr int fair_share = 64;

    std::unique_ptr<Kernel> kernel_;
    duration tick_interval_;
    make_tick tick_;
    sink actions_;
    wake_up wake_;
    std::vector<std::unique_ptr<input>> inputs_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace cuminfold

#endif
