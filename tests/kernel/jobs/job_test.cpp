#include "kernel/jobs/job_world.hpp"
#include "kernel/placement/run_time_estimator.hpp"
#include "property.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>

using namespace cuminfold;

namespace
{

constexpr char const* files =
    "pools: {a: {size: 3}}\n"
    "services: {s: {pool: a}}\n"
    "teams: {strict: {slots: 1, may_borrow: false}, free: {slots: 1}}\n";

constexpr vm_shape usual{16, 65536, 0, 8, 64};

job_request make_request(bool idempotent)
{
    job_request request;
    request.team_ = team_name{"free"};
    request.idempotent_ = idempotent;
    request.declared_run_time_ = std::chrono::milliseconds{500};
    request.cores_ = 2;
    return request;
}

void run(job_world& world, int steps)
{
    for (int i = 0; i < steps; ++i)
    {
        world.advance();
    }
}

void add_vms(job_world& world, int count)
{
    for (int i = 0; i < count; ++i)
    {
        world.add_vm("vm-" + std::to_string(i), usual);
    }
}

} // namespace

TEST_CASE("a job ends with a reason that can be read")
{
    struct row
    {
        char const* name_;
        bool idempotent_;
        std::uint32_t cores_;
        std::uint32_t fail_percent_;
        job_phase phase_;
        char const* detail_;
        std::uint32_t runs_;
    };
    row const rows[] = {
        {"runs once", false, 2, 0, job_phase::finished, "on vm-0", 1},
        {"too large for any VM", true, 64, 0, job_phase::failed,
         "job_infeasible", 0},
        {"fails and may not run again", false, 2, 100, job_phase::failed,
         "failed on vm-0", 1},
        {"fails on every VM", true, 2, 100, job_phase::failed,
         "job_quarantined", 3},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.name_);
        job_world world(1, 1, files);
        add_vms(world, 3);
        world.faults_.fail_task_ = row.fail_percent_;
        job_request request = make_request(row.idempotent_);
        request.cores_ = row.cores_;
        world.submit("j", request);
        run(world, 200);
        CHECK(world.job("j").phase_ == row.phase_);
        CHECK(world.job("j").detail_ == row.detail_);
        CHECK(world.runs("j") == row.runs_);
    }
}

TEST_CASE("a job whose start is lost ends unknown, or runs elsewhere")
{
    for (bool const idempotent : {false, true})
    {
        CAPTURE(idempotent);
        job_world world(1, 1, files);
        add_vms(world, 3);
        world.faults_.call_lost_ = 100;
        world.submit("j", make_request(idempotent));
        run(world, 20);
        world.faults_.call_lost_ = 0;
        run(world, 200);
        CHECK(world.job("j").phase_ ==
              (idempotent ? job_phase::finished : job_phase::unknown));
        CHECK(world.runs("j") == (idempotent ? 1 : 0));
    }
}

TEST_CASE("a refused start is no failure and is tried again")
{
    job_world world(1, 1, files);
    add_vms(world, 3);
    world.faults_.refuse_start_ = 100;
    world.submit("j", make_request(false));
    run(world, 40);
    CHECK(world.runs("j") == 0);
    world.faults_.refuse_start_ = 0;
    run(world, 300);
    CHECK(world.job("j").phase_ == job_phase::finished);
    CHECK(world.job("j").failed_on_.empty());
    CHECK(world.runs("j") == 1);
}

TEST_CASE("a team that may not borrow keeps to its quota")
{
    job_world world(1, 2, files);
    add_vms(world, 3);
    job_request request = make_request(true);
    request.team_ = team_name{"strict"};
    request.declared_run_time_ = std::chrono::seconds{1};
    for (int i = 0; i < 4; ++i)
    {
        world.submit("j" + std::to_string(i), request);
    }
    for (int i = 0; i < 300; ++i)
    {
        world.advance();
        CHECK(world.fleet().jobs().slots_held(request.team_) <= 1);
    }
    for (int i = 0; i < 4; ++i)
    {
        CHECK(world.job("j" + std::to_string(i)).phase_ == job_phase::finished);
    }
}

TEST_CASE("an urgent job is placed before those that wait")
{
    job_world world(1, 1, files);
    world.add_vm("vm-0", vm_shape{2, 65536, 0, 1, 64});
    for (char const* name : {"first", "second", "third"})
    {
        world.submit(name, make_request(true));
    }
    job_request urgent = make_request(true);
    urgent.urgent_ = true;
    world.submit("urgent", urgent);
    run(world, 2);
    while (!is_end(world.job("urgent").phase_))
    {
        world.advance();
        REQUIRE(world.runs("third") == 0);
        REQUIRE(world.runs("second") == 0);
    }
    run(world, 300);
    CHECK(world.job("third").phase_ == job_phase::finished);
}

TEST_CASE("thousands of jobs are cancelled by one record")
{
    constexpr int count = 3000;
    job_world world(1, 1, files);
    world.add_vm("vm-0", usual);
    jobs_cancelled cancel;
    for (int i = 0; i < count; ++i)
    {
        job_request request = make_request(false);
        request.declared_run_time_ = std::chrono::hours{1};
        world.submit("j" + std::to_string(i), request);
        cancel.jobs_.push_back(job_id{"j" + std::to_string(i)});
    }
    run(world, 40);
    world.write(cancel);
    run(world, 100);
    for (auto const& item : world.fleet().jobs().all())
    {
        CHECK(item.second.phase_ == job_phase::cancelled);
    }
}

TEST_CASE("racing controllers never run a job twice that may run once")
{
    check_property(
        "every job ends, and one that may run once runs once at most",
        []
        {
            auto const seed = *rc::gen::arbitrary<std::uint32_t>();
            job_world world(seed, 2, files);
            add_vms(world, 3);
            world.faults_ = {10, 20, 10, 10, 20, 10, 20, 20};
            for (int i = 0; i < 200; ++i)
            {
                if (i % 20 == 0)
                {
                    world.submit("j" + std::to_string(i / 20),
                                 make_request(i % 40 == 0));
                }
                if (world.chance(2))
                {
                    world.crash("vm-" + std::to_string(i % 3));
                }
                if (world.chance(2))
                {
                    world.replace_controller(static_cast<std::size_t>(i % 2));
                }
                if (world.chance(3))
                {
                    world.write(
                        jobs_cancelled{{job_id{"j" + std::to_string(i / 20)}}});
                }
                world.advance(world.chance(10) ? 0 : 2);
            }
            world.faults_ = {};
            run(world, 400);
            for (int i = 0; i < 10; ++i)
            {
                std::string const name = "j" + std::to_string(i);
                RC_ASSERT(is_end(world.job(name).phase_));
                RC_ASSERT(world.job(name).request_.idempotent_ ||
                          world.runs(name) <= 1);
                RC_ASSERT(world.job(name).phase_ != job_phase::finished ||
                          world.runs(name) >= 1);
            }
        });
}

TEST_CASE("run times are learned from what was seen")
{
    using std::chrono::seconds;
    run_time_estimator estimator;
    service_name const service{"s"};
    CHECK(estimator.estimate(service, seconds{4}) == seconds{5});
    for (int i = 0; i < 100; ++i)
    {
        estimator.learn(service, seconds{1}, seconds{8});
    }
    CHECK(estimator.estimate(service, seconds{1}) == seconds{10});
    CHECK(estimator.estimate(service, duration{-1}) == duration{0});
    CHECK(estimator.estimate(service_name{"other"}, duration::max()) >
          seconds{0});
}
