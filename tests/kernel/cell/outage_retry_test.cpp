#include "kernel/cell/outage_retry.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

TEST_CASE("a client with four retries outlasts an outage of five seconds")
{
    constexpr int retries = 4;
    constexpr duration outage = 5s;
    for (auto first = 0ms; first < 5000ms; first += 100ms)
    {
        CAPTURE(first.count());
        duration age = first;
        int used = 0;
        while (used < retries && age < outage)
        {
            // A client comes back after whole seconds.
            age += std::chrono::ceil<std::chrono::seconds>(
                outage_retry_after(age));
            ++used;
        }
        CHECK(age >= outage);
        // It does not stay away much longer than the outage.
        CHECK(age <= outage + 3s);
    }
}
