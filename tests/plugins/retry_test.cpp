#include "kernel/registry.hpp"
#include "kernel/request/retry_strategy.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

TEST_CASE("retries are bounded in number and by the deadline")
{
    struct row
    {
        char const* strategy_;
        std::uint32_t attempts_;
        duration time_left_;
        bool retried_;
    };
    for (auto const& at :
         {row{"budgeted", 1, 100ms, true}, row{"budgeted", 2, 100ms, true},
          row{"budgeted", 3, 100ms, false}, row{"budgeted", 1, 39ms, false},
          row{"blind_three", 3, 1ms, true}, row{"blind_three", 4, 1s, false},
          row{"none", 1, 1s, false}})
    {
        CAPTURE(at.strategy_);
        CAPTURE(at.attempts_);
        auto const strategy =
            registry<retry_strategy>::instance().find(at.strategy_)();
        std::mt19937_64 random(1);
        retry_view view;
        view.attempts_ = at.attempts_;
        view.time_left_ = at.time_left_;
        view.service_ = 40ms;
        auto const delay = strategy->delay(view, request_options{}, random);
        CHECK(delay.has_value() == at.retried_);
        CHECK(delay.value_or(0ms) <= 10ms);
    }
}
