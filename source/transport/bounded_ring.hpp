#ifndef CUMINFOLD_TRANSPORT_BOUNDED_RING_HPP
#define CUMINFOLD_TRANSPORT_BOUNDED_RING_HPP

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <memory>
#include <utility>

namespace cuminfold
{

/// A bounded queue from one thread to one other thread.
///
/// A full ring refuses; what that means is the producer's to say and count.
template <class T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : queue_(capacity) {}

    bounded_ring(bounded_ring const&) = delete;
    bounded_ring& operator=(bounded_ring const&) = delete;

    ~bounded_ring()
    {
        T* item = nullptr;
        while (queue_.pop(item))
        {
            delete item;
        }
    }

    /// Called by the one producing thread.
    /// @return false if the ring is full; the item is dropped then
    bool push(T item)
    {
        auto held = std::make_unique<T>(std::move(item));
        return push(held);
    }

    /// Called by the one producing thread.
    /// @return false if the ring is full; the item stays where it is then
    bool push(std::unique_ptr<T>& item)
    {
        if (!queue_.push(item.get()))
        {
            return false;
        }
        item.release();
        return true;
    }

    /// Called by the one consuming thread; empty if there is no item.
    std::unique_ptr<T> pop()
    {
        T* item = nullptr;
        return std::unique_ptr<T>(queue_.pop(item) ? item : nullptr);
    }

private:
    boost::lockfree::spsc_queue<T*> queue_;
};

} // namespace cuminfold

#endif
