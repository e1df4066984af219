#include "proof/steps.hpp"
#include "proof/world.hpp"
#include "property.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <numeric>
#include <ostream>
#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

constexpr std::uint32_t argument_limit = 100;
constexpr std::uint32_t wait_limit_ms = 1500;

/// What the generator of commands must know: nothing, any command may come at
/// any moment.
struct no_model
{
};

using command_base = rc::state::Command<no_model, world>;

/// Counts over all histories, printed at the end.
struct totals
{
    std::uint64_t histories_ = 0;
    std::uint64_t events_ = 0;
    std::uint64_t requests_ = 0;
    std::map<std::string, std::uint64_t> steps_;
    std::map<std::string, std::uint64_t> looks_;
};

totals& counted()
{
    static totals held;
    return held;
}

rc::Gen<std::uint32_t> gen_kind()
{
    std::vector<std::pair<std::size_t, rc::Gen<std::uint32_t>>> weighted;
    std::vector<std::uint32_t> kinds;
    auto const& table = step_table();
    for (std::uint32_t kind = 0; kind < table.size(); ++kind)
    {
        kinds.insert(kinds.end(), table[kind].weight_, kind);
    }
    return rc::gen::elementOf(kinds);
}

class step_command : public command_base
{
public:
    step_command()
    {
        step_.kind_ = *gen_kind();
        step_.argument_ = *rc::gen::inRange<std::uint32_t>(0, argument_limit);
        step_.wait_ms_ = *rc::gen::inRange<std::uint32_t>(0, wait_limit_ms);
    }

    void apply(no_model&) const override {}

    void run(no_model const&, world& target) const override
    {
        ++counted().steps_[step_table()[step_.kind_].name_];
        step_.run(target);
        auto const& breaches = target.judge().breaches();
        if (!breaches.empty())
        {
            RC_FAIL(breaches.front());
        }
    }

    void show(std::ostream& out) const override
    {
        out << step_table()[step_.kind_].name_ << " " << step_.argument_
            << ", wait " << step_.wait_ms_ << " ms";
    }

private:
    step step_;
};

void check_history()
{
    world target;
    rc::state::check(no_model{}, target,
                     rc::state::gen::execOneOfWithArgs<step_command>());
    target.settle();
    ++counted().histories_;
    counted().events_ += target.events();
    counted().requests_ += target.requests();
    for (auto const& look : target.judge().looks())
    {
        counted().looks_[look.first] += look.second;
    }
    auto const& breaches = target.judge().breaches();
    if (!breaches.empty())
    {
        RC_FAIL(breaches.front());
    }
}

void print_totals()
{
    auto const& all = counted();
    std::uint64_t steps = 0;
    for (auto const& item : all.steps_)
    {
        steps += item.second;
    }
    std::cout << "histories " << all.histories_ << ", commands " << steps
              << ", events " << all.events_ << ", requests " << all.requests_
              << "\n";
    for (auto const& item : all.looks_)
    {
        std::cout << "  checked '" << item.first << "' " << item.second
                  << " times\n";
    }
}

} // namespace

TEST_CASE("the eight promises hold in any history")
{
    check_property("promises", [] { check_history(); });
    print_totals();
    for (auto const& item : counted().looks_)
    {
        CAPTURE(item.first);
        CHECK(item.second > 0);
    }
}
