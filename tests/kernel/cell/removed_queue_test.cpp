#include "kernel/cell/policy_record.hpp"

#include "kernel/cell/cell_world.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <stdexcept>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

struct removal
{
    char const* name_;
    /// Removes the queue and may replace the owner.
    void (*execute_)(cell_world&);
};

constexpr removal removals[] = {
    {"the owner stays", [](cell_world& world) { world.remove_queue(); }},
    {"the owner is replaced before",
     [](cell_world& world)
     {
         world.take_over();
         world.run_for(20ms);
         world.remove_queue();
     }},
    {"the owner is replaced after",
     [](cell_world& world)
     {
         world.remove_queue();
         world.run_for(20ms);
         world.take_over();
     }},
    {"the next owner never knew the queue",
     [](cell_world& world)
     {
         world.remove_queue();
         world.take_over();
         world.run_for(1000ms);
         world.take_over();
     }},
};

} // namespace

// Guards against jobs that never run again once their queue was removed, since
// their tasks are sent to the workers without tickets.
TEST_CASE("a job keeps its queue's policy when the queue is removed")
{
    for (auto const& each : removals)
    {
        for (std::uint32_t seed = 1; seed <= 3; ++seed)
        {
            CAPTURE(std::string(each.name_));
            CAPTURE(seed);
            cell_world world(seed, 9);
            world.set_policy(3000ms);
            world.run_for(50ms);
            auto second = cell_world::make_step(4, 1000, 2000ms);
            second.after_ = {0};
            world.submit("a", {cell_world::make_step(4, 1000, 2000ms), second});
            world.run_for(1000ms);
            each.execute_(world);
            world.run_for(12'000ms);
            CHECK(world.status("a") == job_status::completed);
            CHECK(world.runs_of("a") == 8);
            CHECK(world.violations() == "");
        }
    }
}

TEST_CASE("the policy of a removed queue is deleted after its last job")
{
    cell_world world(1, 9);
    world.set_policy(3000ms);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(4, 1000, 2000ms)});
    world.run_for(500ms);
    CHECK(world.stored_texts(record_kind::policy).size() == 1);
    world.remove_queue();
    world.run_for(500ms);
    CHECK(world.stored_texts(record_kind::policy).size() == 1);
    world.run_for(10'000ms);
    CHECK(world.status("a") == job_status::completed);
    CHECK(world.stored_texts(record_kind::policy).empty());
}

TEST_CASE("a policy is restored as it was stored")
{
    advice_policy const policy{5ms, 1ms, 3000ms};
    CHECK(encode(policy) == "5 1 3000");
    CHECK(encode(decode_policy(encode(policy))) == encode(policy));
    CHECK(decode_policy("5 1 3000").validity_ == policy.validity_);
}

TEST_CASE("a text that is no policy is rejected")
{
    for (auto const* const text : {"", "5 1", "5 1 3000 7", "a 1 3000"})
    {
        CAPTURE(text);
        CHECK_THROWS_AS(decode_policy(text), std::invalid_argument);
    }
}
