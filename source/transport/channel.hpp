#ifndef CUMINFOLD_TRANSPORT_CHANNEL_HPP
#define CUMINFOLD_TRANSPORT_CHANNEL_HPP

#include "transport/bounded_ring.hpp"

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace cuminfold
{

/// A bounded ring between two threads whose producer never waits for room.
///
/// An item may be refused when the ring is full (`offer`), or must arrive
/// (`put`): then it waits with the producer until the consumer has made room.
/// Since neither side ever waits for the other, two threads that feed each
/// other cannot block each other. What may wait is bounded by the producer,
/// which takes no new work while `waiting()` is over its limit.
template <class T>
class channel
{
public:
    explicit channel(std::size_t capacity) : ring_(capacity) {}

    /// Sets what the consumer calls, on its own thread, once there is room
    /// again for items that wait; it makes the producer call `flush()`. Set
    /// before either thread runs.
    void on_room(std::function<void()> call)
    {
        room_ = std::move(call);
    }

    /// Called by the producer.
    /// @return false if there is no room; the item is dropped then
    bool offer(T item)
    {
        flush();
        return waiting_.empty() && ring_.push(std::move(item));
    }

    /// Called by the producer; the item arrives in its turn.
    void put(T item)
    {
        waiting_.push_back(std::make_unique<T>(std::move(item)));
        flush();
    }

    /// Moves what waits into the ring, as far as there is room; called by the
    /// producer.
    /// @return true if anything was moved
    bool flush()
    {
        bool moved = move_waiting();
        if (!waiting_.empty() && !short_of_room_.exchange(true))
        {
            // The consumer may have made room before it could see the flag.
            moved = move_waiting() || moved;
        }
        return moved;
    }

    /// Items that wait for room; called by the producer.
    std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }

    /// Takes up to `limit` items; called by the consumer.
    /// @return the number taken
    template <class Take>
    std::size_t drain(std::size_t limit, Take take)
    {
        std::size_t count = 0;
        while (count < limit)
        {
            std::unique_ptr<T> const item = ring_.pop();
            if (!item)
            {
                break;
            }
            ++count;
            take(*item);
        }
        if (count != 0 && short_of_room_.exchange(false) && room_)
        {
            room_();
        }
        return count;
    }

private:
    bool move_waiting()
    {
        bool moved = false;
        while (!waiting_.empty() && ring_.push(waiting_.front()))
        {
            waiting_.pop_front();
            moved = true;
        }
        return moved;
    }

    bounded_ring<T> ring_;
    std::deque<std::unique_ptr<T>> waiting_;
    std::atomic<bool> short_of_room_{false};
    std::function<void()> room_;
};

} // namespace cuminfold

#endif
