#include "kernel/request/request_queue.hpp"

namespace cuminfold
{

namespace
{

/// Number of declined requests after which a round of offers ends. A round goes
/// on past a request that cannot be served, as a later one may be.
constexpr std::uint32_t max_declined = 8;

std::size_t index_of(queue_class request_class)
{
    return static_cast<std::size_t>(request_class);
}

} // namespace

queue_place request_queue::add(request_number request,
                               queue_class request_class,
                               service_name const& service, duration work,
                               bool at_front)
{
    auto& list = waiting_[index_of(request_class)];
    auto const position =
        list.insert(at_front ? list.begin() : list.end(), request);
    work_[index_of(request_class)] += work;
    ++by_service_[service];
    ++size_;
    return queue_place{position, request_class, service, work};
}

void request_queue::remove(queue_place const& place)
{
    waiting_[index_of(place.class_)].erase(place.position_);
    work_[index_of(place.class_)] -= place.work_;
    --by_service_[place.service_];
    --size_;
}

void request_queue::offer(std::function<bool(request_number)> const& offer)
{
    std::uint32_t declined = 0;
    for (auto& list : waiting_)
    {
        for (auto place = list.begin(); place != list.end();)
        {
            request_number const request = *place;
            ++place;
            if (!offer(request))
            {
                ++declined;
            }
            if (declined >= max_declined)
            {
                return;
            }
        }
    }
}

request_number request_queue::youngest_below(queue_class request_class) const
{
    for (std::size_t i = classes - 1; i > index_of(request_class); --i)
    {
        if (!waiting_[i].empty())
        {
            return waiting_[i].back();
        }
    }
    return 0;
}

std::uint32_t request_queue::size(service_name const& service) const
{
    auto const found = by_service_.find(service);
    return found == by_service_.end() ? 0 : found->second;
}

duration request_queue::work_before(queue_class request_class) const
{
    duration sum{0};
    for (std::size_t i = 0; i <= index_of(request_class); ++i)
    {
        sum += work_[i];
    }
    return sum;
}

} // namespace cuminfold
