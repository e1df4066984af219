#ifndef CUMINFOLD_TRANSPORT_KERNEL_THREAD_HPP
#define CUMINFOLD_TRANSPORT_KERNEL_THREAD_HPP

#include "kernel/time.hpp"
#include "transport/channel.hpp"
#include "transport/wake_up.hpp"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace cuminfold
{

/// What an input of a kernel's thread carries.
enum class input_kind
{
    new_work, ///< not taken while too many actions wait to be handed over
    results   ///< ends of what was asked for; always taken
};

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

    /// The way in for one producing thread, whose calls these all are.
    class input
    {
    public:
        input(std::size_t capacity, input_kind kind, wake_up& wake)
            : items_(capacity), kind_(kind), wake_(wake)
        {
        }

        /// @return false if the ring is full
        bool submit(Event event)
        {
            return offer(item{std::in_place_index<0>, std::move(event)});
        }

        /// @return false if the ring is full
        bool ask(query question)
        {
            return offer(item{std::in_place_index<1>, std::move(question)});
        }

        /// Submits an event that must arrive; does not wait. If the ring is
        /// full, the event waits for `flush()`.
        void deliver(Event event)
        {
            items_.put(item{std::in_place_index<0>, std::move(event)});
            wake_.notify();
        }

        /// Hands over events that wait.
        void flush()
        {
            if (items_.flush())
            {
                wake_.notify();
            }
        }

        /// Events that wait.
        std::size_t waiting() const noexcept
        {
            return items_.waiting();
        }

        /// Sets what is called, on the kernel's thread, once there is room for
        /// events that wait; it makes the producer call `flush()`.
        void on_room(std::function<void()> call)
        {
            items_.on_room(std::move(call));
        }

    private:
        friend class kernel_thread;

        bool offer(item thing)
        {
            bool const taken = items_.offer(std::move(thing));
            wake_.notify();
            return taken;
        }

        channel<item> items_;
        input_kind kind_;
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
    input& add_input(std::size_t capacity,
                     input_kind kind = input_kind::new_work)
    {
        inputs_.push_back(std::make_unique<input>(capacity, kind, wake_));
        return *inputs_.back();
    }

    /// Sets how actions that wait are handed over: `flush` does so and returns
    /// how many still wait. While they are more than `limit`, no new work is
    /// taken. Only before `start()`.
    void set_backlog(std::function<std::size_t()> flush, std::size_t limit)
    {
        flush_ = std::move(flush);
        backlog_limit_ = limit;
    }

    /// Makes the thread look at its backlog; any thread may call.
    void notify()
    {
        wake_.notify();
    }

    /// How often new work had to wait for the backlog; any thread may call.
    std::uint64_t throttled() const noexcept
    {
        return throttled_;
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
            bool const over = flush_ && flush_() > backlog_limit_;
            bool const busy = take_inputs(over);
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

    bool take_inputs(bool over)
    {
        bool busy = false;
        throttled_ += over ? 1 : 0;
        for (auto const& in : inputs_)
        {
            if (over && in->kind_ == input_kind::new_work)
            {
                continue;
            }
            auto const taken = in->items_.drain(fair_share, [this](item& thing)
                                                { take(thing); });
            busy = busy || taken != 0;
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
    static constexpr std::size_t fair_share = 64;

    std::unique_ptr<Kernel> kernel_;
    duration tick_interval_;
    make_tick tick_;
    sink actions_;
    wake_up wake_;
    std::vector<std::unique_ptr<input>> inputs_;
    std::function<std::size_t()> flush_;
    std::size_t backlog_limit_ = 0;
    std::atomic<std::uint64_t> throttled_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace cuminfold

#endif
