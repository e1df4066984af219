#include "transport/channel.hpp"
#include "transport/io_thread.hpp"
#include "transport/kernel_thread.hpp"

#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <thread>
#include <vector>

using namespace cuminfold;

namespace
{

/// Answers each number with `fan_out` copies of it.
class echo_kernel
{
public:
    std::vector<int> handle(time_point, int event)
    {
        return event < 0 ? std::vector<int>{}
                         : std::vector<int>(fan_out, event);
    }

    static constexpr int fan_out = 3;
};

using echo_loop = kernel_thread<echo_kernel, int, int>;

} // namespace

TEST_CASE("items that must arrive wait for room in their order")
{
    channel<int> items(2);
    int rooms = 0;
    items.on_room([&] { ++rooms; });
    for (int i = 0; i < 5; ++i)
    {
        items.put(i);
    }
    CHECK(items.waiting() == 3);
    CHECK_FALSE(items.offer(9));
    std::vector<int> taken;
    while (items.drain(8, [&](int& item) { taken.push_back(item); }) != 0)
    {
        items.flush();
    }
    CHECK(taken == std::vector<int>{0, 1, 2, 3, 4});
    CHECK(rooms == 2);
    CHECK(items.offer(9));
}

TEST_CASE("threads that feed each other through small rings do not block")
{
    constexpr int count = 20'000;
    constexpr int wanted = count * echo_kernel::fan_out;
    io_thread io(2);
    echo_loop::input* results = nullptr;
    std::promise<void> finished;
    int seen = 0;
    long sum = 0;
    echo_loop loop(
        std::make_unique<echo_kernel>(), std::chrono::milliseconds{5},
        [] { return -1; },
        [&](int&& action)
        {
            io.put(
                [&, action]
                {
                    results->deliver(-1);
                    sum += action;
                    if (++seen == wanted)
                    {
                        finished.set_value();
                    }
                });
        });
    auto& work = loop.add_input(2);
    results = &loop.add_input(2, input_kind::results);
    results->on_room([&] { io.run_from_outside([&] { results->flush(); }); });
    io.on_room([&] { loop.notify(); });
    loop.set_backlog([&] { return io.flush(); }, 16);
    io.start();
    loop.start();
    for (int i = 0; i < count; ++i)
    {
        while (!work.submit(i))
        {
            std::this_thread::yield();
        }
    }
    auto const ended = finished.get_future();
    REQUIRE(ended.wait_for(std::chrono::minutes{4}) ==
            std::future_status::ready);
    loop.stop();
    io.stop();
    CHECK(sum ==
          static_cast<long>(echo_kernel::fan_out) * count * (count - 1) / 2);
}
