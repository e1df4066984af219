#ifndef CUMINFOLD_KERNEL_REQUEST_REQUEST_QUEUE_HPP
#define CUMINFOLD_KERNEL_REQUEST_REQUEST_QUEUE_HPP

#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <list>
#include <map>

namespace cuminfold
{

/// Identifies one request within one gateway; 0 is none.
using request_number = std::uint64_t;

/// Priority class of a queued request; lower values are served first.
enum class queue_class : std::uint8_t
{
    urgent,
    normal,
    borrowing ///< over its team's quota
};

/// A request's place in a queue.
struct queue_place
{
    std::list<request_number>::iterator position_;
    queue_class class_ = queue_class::normal;
    service_name service_;
    /// Expected service time of the request.
    duration work_{0};
};

/// The requests that wait for workers of one pool, by class and then in the
/// order of arrival. Removing one costs O(1) in the number of requests.
class request_queue
{
public:
    /// @param work Expected service time.
    /// @param at_front Inserts ahead of the class, for an attempt that is
    /// repeated.
    queue_place add(request_number request, queue_class request_class,
                    service_name const& service, duration work, bool at_front);
    void remove(queue_place const& place);

    /// Offers the requests in order, until eight of them were declined.
    /// @param offer Returns false if the request cannot be served now. It may
    /// change the queue only by removing that request.
    void offer(std::function<bool(request_number)> const& offer);

    /// The last request of the lowest class that has any, among the classes
    /// below `request_class`; 0: none.
    request_number youngest_below(queue_class request_class) const;

    bool empty() const noexcept
    {
        return size_ == 0;
    }
    std::uint32_t size() const noexcept
    {
        return size_;
    }
    /// Number of queued requests of one service.
    std::uint32_t size(service_name const& service) const;
    /// Total service time that is queued ahead of a new request of that class.
    duration work_before(queue_class request_class) const;

private:
    static constexpr std::size_t classes = 3;

    std::array<std::list<request_number>, classes> waiting_;
    std::array<duration, classes> work_{};
    std::map<service_name, std::uint32_t> by_service_;
    std::uint32_t size_ = 0;
};

} // namespace cuminfold

#endif
