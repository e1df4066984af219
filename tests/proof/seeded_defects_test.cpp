#include "proof/steps.hpp"
#include "proof/world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct defect_case
{
    seeded_defect defect_;
    /// The check that must catch it.
    char const* check_;
    /// What makes the defect show.
    void (*provoke_)(world&);
};

void load_while(world& target, duration span, bool idempotent)
{
    for (duration spent{0}; spent < span; spent += milliseconds{100})
    {
        target.submit(4, idempotent, false);
        target.run_for(milliseconds{100});
    }
}

void wave_over_budget(world& target)
{
    target.edit_need(5);
    target.run_for(seconds{15});
    target.start_wave("fastest_rollout");
    target.run_for(seconds{15});
}

void wave_under_load(world& target)
{
    target.start_wave("fastest_rollout");
    for (int i = 0; i < 200; ++i)
    {
        target.submit(4, true, false);
        target.submit(4, false, false);
        target.run_for(milliseconds{50});
    }
}

void gone_gateways(world& target)
{
    for (std::size_t vm = 0; vm < 12; ++vm)
    {
        target.hang_vm(vm);
    }
    target.start_wave("fastest_rollout");
    for (int i = 0; i < 60; ++i)
    {
        target.submit(3, true, false);
        target.declare_gateway_gone();
        target.run_for(milliseconds{100});
    }
}

void plain_load(world& target)
{
    load_while(target, seconds{2}, true);
}

void failing_vms(world& target)
{
    target.submit(20, false, false);
    target.run_for(milliseconds{60});
    for (std::size_t vm = 0; vm < 12; ++vm)
    {
        target.fail_vm(vm);
    }
    target.run_for(seconds{3});
    target.return_vms();
}

void keyed_load(world& target)
{
    load_while(target, seconds{2}, false);
}

void leaving_vm(world& target)
{
    target.leave_vm(0);
    target.leave_vm(1);
    for (int i = 0; i < 60; ++i)
    {
        target.submit(4, true, false);
        target.submit(4, false, false);
        target.run_for(milliseconds{100});
    }
}

void lost_tail(world& target)
{
    target.edit_need(1);
    target.run_for(seconds{2});
    target.lose_log_tail();
    target.run_for(seconds{5});
}

std::vector<defect_case> const& defect_cases()
{
    static std::vector<defect_case> const cases = {
        {seeded_defect::budget_ignored, "within budget", &wave_over_budget},
        {seeded_defect::gateway_declared_gone, "graceful stop", &gone_gateways},
        {seeded_defect::answers_swapped, "whole own answer", &plain_load},
        {seeded_defect::lost_called_not_sent, "not run is true", &failing_vms},
        {seeded_defect::dispatch_repeated, "at most once", &keyed_load},
        {seeded_defect::leaving_hidden, "leaving VM gets no work", &leaving_vm},
        {seeded_defect::reboot_at_once, "graceful stop", &wave_under_load},
        {seeded_defect::assignments_hidden, "one pool", &plain_load},
        {seeded_defect::log_loses_tail, "config never reverts", &lost_tail},
    };
    return cases;
}

bool caught(std::vector<std::string> const& breaches, std::string const& check)
{
    return std::any_of(breaches.begin(), breaches.end(),
                       [&](std::string const& line)
                       { return line.rfind(check + ":", 0) == 0; });
}

} // namespace

TEST_CASE("each seeded defect is caught by its check")
{
    for (auto const& each : defect_cases())
    {
        CAPTURE(each.check_);
        CAPTURE(static_cast<int>(each.defect_));
        world target(each.defect_);
        each.provoke_(target);
        target.settle();
        CHECK(caught(target.judge().breaches(), each.check_));
    }
}

TEST_CASE("without a defect the same histories breach nothing")
{
    for (auto const& each : defect_cases())
    {
        bool const harmless =
            each.defect_ != seeded_defect::gateway_declared_gone &&
            each.defect_ != seeded_defect::log_loses_tail;
        if (!harmless)
        {
            continue;
        }
        CAPTURE(each.check_);
        world target;
        each.provoke_(target);
        target.settle();
        CHECK(target.judge().breaches() == std::vector<std::string>{});
    }
}
