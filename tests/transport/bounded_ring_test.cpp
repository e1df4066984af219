#include "transport/bounded_ring.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace cuminfold;

TEST_CASE("a full ring refuses")
{
    bounded_ring<int> ring(2);
    CHECK(ring.push(1));
    CHECK(ring.push(2));
    CHECK_FALSE(ring.push(3));
    CHECK(*ring.pop() == 1);
    CHECK(ring.push(3));
}

TEST_CASE("two threads pass items in order")
{
    constexpr int count = 20'000;
    bounded_ring<int> ring(64);
    std::thread producer(
        [&]
        {
            for (int i = 0; i < count; ++i)
            {
                while (!ring.push(i))
                {
                    std::this_thread::yield();
                }
            }
        });
    int expected = 0;
    while (expected < count)
    {
        auto const item = ring.pop();
        if (item)
        {
            REQUIRE(*item == expected);
            ++expected;
        }
    }
    producer.join();
    CHECK(ring.pop() == nullptr);
}
