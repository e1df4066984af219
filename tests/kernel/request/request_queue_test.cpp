#include "kernel/request/request_queue.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

TEST_CASE("requests are served by class, then in order, retries first")
{
    request_queue queue;
    service_name const service{"s"};
    queue.add(1, queue_class::borrowing, service, 1ms, false);
    queue.add(2, queue_class::normal, service, 1ms, false);
    queue.add(3, queue_class::urgent, service, 1ms, false);
    auto const removed = queue.add(4, queue_class::normal, service, 1ms, false);
    queue.add(5, queue_class::normal, service, 1ms, true);
    CHECK(queue.work_before(queue_class::normal) == 4ms);
    queue.remove(removed);
    std::vector<request_number> order;
    queue.offer(
        [&](request_number number)
        {
            order.push_back(number);
            return true;
        });
    CHECK(order == std::vector<request_number>{3, 5, 2, 1});
    CHECK(queue.size(service) == 4);
    CHECK(queue.youngest_below(queue_class::urgent) == 1);
    CHECK(queue.youngest_below(queue_class::borrowing) == 0);
}
