#include "kernel/registry.hpp"
#include "kernel/request/admission_strategy.hpp"

#include <doctest/doctest.h>

using namespace cuminfold;
using namespace std::chrono_literals;

TEST_CASE("admission strategies refuse at once, with the reason")
{
    struct row
    {
        char const* strategy_;
        duration wait_;
        std::uint32_t queued_;
        std::optional<reason> refused_;
    };
    for (auto const& at :
         {row{"bounded_queue", 10s, 9, std::nullopt},
          row{"bounded_queue", 0s, 10, reason::queue_full},
          row{"deadline_aware", 0s, 10, reason::queue_full},
          row{"deadline_aware", 61ms, 0, reason::deadline_unreachable},
          row{"deadline_aware", 60ms, 9, std::nullopt}})
    {
        CAPTURE(at.strategy_);
        CAPTURE(at.queued_);
        auto const strategy =
            registry<admission_strategy>::instance().find(at.strategy_)();
        admission_view view;
        view.time_left_ = 100ms;
        view.service_ = 40ms;
        view.wait_ = at.wait_;
        view.queued_ = at.queued_;
        view.queue_limit_ = 10;
        CHECK(strategy->refuse(view) == at.refused_);
    }
}
