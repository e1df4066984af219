#include "kernel/cell/cell_world.hpp"
#include "kernel/cell/task_isolation.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t worker_count = 6;
task_id const deadly_task{job_id{"a"}, 0, 0, 0};
constexpr cell_world::restart_ids all_restart_ids[] = {
    cell_world::restart_ids::changed, cell_world::restart_ids::kept};

/// How a job with one task that crashes its workers is run.
struct crash_case
{
    char const* name_;
    /// Changes the step with that task.
    void (*shape_)(job_step&);
    /// Called each second.
    void (*disturb_)(cell_world&, int second);
    /// Crashes that may happen before the task is given up.
    std::uint32_t max_crashes_ = max_crashes;
};

void do_nothing(cell_world& /*world*/, int /*second*/) {}

crash_case const crash_cases[] = {
    {"one task", [](job_step& step) { step.tasks_ = 1; }, do_nothing},
    {"a wide step", [](job_step& step) { step.tasks_ = 30; }, do_nothing},
    {"a gang", [](job_step& step) { step.gang_ = true; }, do_nothing},
    {"spread tasks", [](job_step& step) { step.per_worker_ = 1; }, do_nothing},
    {"tasks of half a worker",
     [](job_step& step) { step.each_.cpu_milli_ = 8000; }, do_nothing},
    {"owners are replaced", [](job_step&) {},
     [](cell_world& world, int second)
     {
         if (second % 4 == 1)
         {
             world.take_over();
         }
     },
     max_unproved_crashes},
    {"the store is away at times", [](job_step&) {},
     [](cell_world& world, int second)
     { world.store_down_ = second % 6 == 2 || second % 6 == 3; }},
    {"another worker is cut off", [](job_step&) {},
     [](cell_world& world, int second) { world.cut(0, second % 12 < 5); },
     max_crashes + 1},
    {"VMs are to be moved after a crash", [](job_step&) {},
     [](cell_world& world, int /*second*/)
     {
         for (std::uint32_t i = 0; i < worker_count; ++i)
         {
             auto const vm = world.worker(i).entry_.vm_;
             world.owner().end_reservation(vm, world.now());
             if (world.worker(i).is_down_)
             {
                 world.owner().reserve(vm);
             }
         }
     }},
    {"entries expire", [](job_step&) {},
     [](cell_world& world, int second) {
         world.expire_entry(static_cast<std::uint32_t>(second) % worker_count);
     }},
};

void check_given_up(crash_case const& each, cell_world::restart_ids ids,
                    std::uint32_t seed)
{
    cell_world world(seed, worker_count, ids);
    world.lists_vms_ = true;
    world.deadly_.insert(deadly_task);
    world.run_for(50ms);
    auto step = cell_world::make_step(4, 900, 640ms);
    each.shape_(step);
    world.submit("a", {step});
    world.submit("sound", {cell_world::make_step(12, 900, 640ms)});
    for (int second = 0; second < 40; ++second)
    {
        each.disturb_(world, second);
        world.run_for(1000ms);
    }
    CHECK(world.status("a") == job_status::failed);
    CHECK(world.status("sound") == job_status::completed);
    CHECK(world.crashes_by(deadly_task) >= 2);
    CHECK(world.crashes_by(deadly_task) <= each.max_crashes_);
    CHECK(world.violations() == "");
}

/// Replaces the owner some time after each crash, until the task is given up.
void play_takeovers(cell_world& world, std::chrono::milliseconds delay)
{
    world.lists_vms_ = true;
    world.deadly_.insert(deadly_task);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(1, 900, 640ms)});
    std::uint32_t crashes = 0;
    for (int i = 0; i < 6000 && world.status("a") != job_status::failed; ++i)
    {
        world.run_for(10ms);
        if (world.crashes_by(deadly_task) > crashes)
        {
            crashes = world.crashes_by(deadly_task);
            world.run_for(delay);
            world.take_over();
        }
    }
}

/// The task of the job "a", if it has but one.
task_id const only_task{job_id{"a"}, 0, 0, 0};

task_state const& state_of(cell_world& world, task_id const& task)
{
    return world.owner()
        .jobs()
        .at(task.job_.text())
        .occurrences_[task.occurrence_]
        .steps_[task.step_]
        .tasks_[task.index_];
}

/// Waits until a start of the task is sent.
/// @return the number of the worker, or nothing after 20 s
std::optional<std::uint32_t> await_start(cell_world& world, task_id const& task)
{
    for (int i = 0; i < 20'000; ++i)
    {
        auto const& state = state_of(world, task);
        for (std::uint32_t worker = 0; worker < world.worker_count(); ++worker)
        {
            if (state.phase_ == task_phase::starting &&
                world.worker(worker).entry_.id_ == state.worker_)
            {
                return worker;
            }
        }
        world.run_for(1ms);
    }
    return std::nullopt;
}

/// Gives the owner an answer to the start of the task's present run.
void answer_start(cell_world& world, task_id const& task,
                  std::string const& worker, call_outcome outcome)
{
    start_run order;
    order.worker_ = worker;
    order.task_ = task;
    order.run_ = state_of(world, task).run_;
    world.owner().on_start_response(order, {outcome, std::nullopt}, world.now(),
                                    world.now());
}

/// Breaks the connection of the task's start, and refuses the next renewal.
void lose_start_answer(cell_world& world, task_id const& task,
                       std::uint32_t holder)
{
    auto const name = world.worker(holder).entry_.id_;
    answer_start(world, task, name, call_outcome::no_answer);
    renew_worker query;
    query.worker_ = name;
    world.owner().on_renewal_response(query, call_outcome::not_sent, {},
                                      world.now(), world.now());
}

} // namespace

// Guards against a task that crashed worker after worker, since nothing counted
// how its runs ended.
TEST_CASE("a task that crashes its workers is given up")
{
    for (auto const& each : crash_cases)
    {
        for (auto const ids : all_restart_ids)
        {
            for (std::uint32_t seed = 1; seed <= 5; ++seed)
            {
                CAPTURE(std::string(each.name_));
                CAPTURE(static_cast<int>(ids));
                CAPTURE(seed);
                check_given_up(each, ids, seed);
            }
        }
    }
}

// Guards against a task whose crashes are not counted since its workers are
// back only after it was started again, or not at all.
TEST_CASE("a task is not started without end while its workers are away")
{
    for (auto const down_time : {3300ms, 5000ms, 8000ms, 15'000ms, 19'000ms})
    {
        CAPTURE(down_time.count());
        cell_world world(1, 20);
        world.lists_vms_ = true;
        world.deadly_.insert(deadly_task);
        world.deadly_down_time_ = down_time;
        world.run_for(50ms);
        world.submit("a", {cell_world::make_step(1, 900, 640ms)});
        world.run_for(60'000ms);
        CHECK(world.status("a") == job_status::failed);
        CHECK(world.crashes_by(deadly_task) <= max_unproved_crashes);
        CHECK(world.violations() == "");
    }
}

// Guards against crashes that are not counted since the owner that saw the
// worker go was replaced before the worker returned.
TEST_CASE("a task is given up although its owner is replaced after each crash")
{
    for (auto delay = 0ms; delay <= 6000ms; delay += 100ms)
    {
        for (auto const ids : all_restart_ids)
        {
            CAPTURE(delay.count());
            CAPTURE(static_cast<int>(ids));
            cell_world world(1, 20, ids);
            play_takeovers(world, delay);
            CHECK(world.status("a") == job_status::failed);
            CHECK(world.crashes_by(deadly_task) <= max_unproved_crashes);
            CHECK(world.violations() == "");
        }
    }
}

// Guards against crashes that are seen late since the platform's list shows the
// VM down or misses an incarnation.
TEST_CASE("the next incarnation's answer shows that a worker has crashed")
{
    cell_world world(1, 4);
    world.deadly_.insert(deadly_task);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(1, 900, 640ms)});
    world.run_for(5000ms);
    CHECK(world.stored_texts(record_kind::crashes).count("a") == 1);
    world.run_for(20'000ms);
    CHECK(world.status("a") == job_status::failed);
    CHECK(world.crashes_by(deadly_task) <= max_crashes);
}

// Guards against a crash under a start that was carried out late, which was
// taken for the crash of a long run.
TEST_CASE("a task whose starts are late is given up")
{
    for (std::uint32_t seed = 1; seed <= 8; ++seed)
    {
        CAPTURE(seed);
        cell_world world(seed, 20);
        world.lists_vms_ = true;
        world.deadly_.insert(deadly_task);
        world.run_for(50ms);
        world.faults_.calls_late_ = 90;
        world.submit("a", {cell_world::make_step(1, 900, 640ms)});
        world.run_for(120'000ms);
        CHECK(world.status("a") == job_status::failed);
        CHECK(world.violations() == "");
    }
}

// Guards against a crash that is not counted since a refused start, and no
// renewal, was the first sign of it.
TEST_CASE("a crash is counted if a refused start shows it first")
{
    for (auto const gap : {0ms, 10ms, 20ms, 22ms, 24ms, 26ms, 30ms, 40ms})
    {
        CAPTURE(gap.count());
        cell_world world(1, 1);
        world.lists_vms_ = true;
        world.deadly_.insert(deadly_task);
        world.run_for(50ms);
        auto lasting = cell_world::make_step(1, 900, 1000ms);
        lasting.long_running_ = true;
        world.submit("lasting", {lasting});
        world.run_for(5000ms);
        world.submit("a", {cell_world::make_step(1, 900, 640ms)});
        world.run_for(gap);
        world.submit("b", {cell_world::make_step(1, 900, 640ms)});
        world.run_for(5000ms);
        CHECK(world.stored_texts(record_kind::crashes).count("a") == 1);
        world.run_for(30'000ms);
        CHECK(world.status("a") == job_status::failed);
        CHECK(world.status("b") == job_status::completed);
        CHECK(world.running_tasks("lasting") == 1);
    }
}

// Guards against a crash that is not counted since its worker was idle and the
// crash broke the connection before the start was answered.
TEST_CASE(
    "a crash on an idle worker is counted although the start is unanswered")
{
    cell_world world(1, 2);
    world.lists_vms_ = true;
    world.run_for(5000ms);
    world.faults_.calls_lost_ = 100;
    world.submit("a", {cell_world::make_step(1, 900, 640ms)});
    world.run_for(20ms);
    REQUIRE(state_of(world, only_task).phase_ == task_phase::starting);
    auto const holder = await_start(world, only_task);
    REQUIRE(holder);
    lose_start_answer(world, only_task, *holder);
    world.crash(*holder);
    world.faults_ = {};
    world.run_for(1000ms);
    CHECK(world.stored_texts(record_kind::crashes).count("a") == 1);
}

namespace
{

/// The answer to the start of a run whose worker crashes.
enum class start_answer : std::uint8_t
{
    none,   ///< the worker crashes before it gets the start
    prompt, ///< the worker crashes 100 ms later
    late    ///< the answer comes once the owner has ceased to wait for it
};

/// The answers to a task's starts, after each of which the worker crashes.
struct start_answer_case
{
    char const* name_;
    start_answer answers_[max_crashes];
    /// Another owner takes over before this crash.
    std::size_t taken_over_ = max_crashes;
};

constexpr auto none = start_answer::none;
constexpr auto prompt = start_answer::prompt;
constexpr auto late = start_answer::late;

constexpr start_answer_case unproved_crash_cases[] = {
    {"no run has begun", {none, none, none}},
    {"the first run has begun", {prompt, none, none}},
    {"the first run has begun, by a late answer", {late, none, none}},
    {"the second run has begun", {none, prompt, none}},
    {"the last run has begun", {none, none, prompt}},
    {"the owner is replaced before the last crash", {prompt, none, none}, 2},
};

constexpr start_answer_case proved_crash_cases[] = {
    {"the first and the last run have begun", {prompt, none, prompt}},
    {"two runs have begun, one by a late answer", {prompt, late, none}},
};

/// Crashes the worker that the task is sent to next.
void crash_next_worker(cell_world& world, start_answer answer,
                       std::chrono::milliseconds down_time)
{
    auto const holder = await_start(world, only_task);
    REQUIRE(holder);
    if (answer == start_answer::prompt)
    {
        world.run_for(100ms);
        REQUIRE(world.worker_running(only_task) == holder);
    }
    else
    {
        lose_start_answer(world, only_task, *holder);
    }
    if (answer == start_answer::late)
    {
        // The start reaches the worker, and no renewal reports the run.
        world.run_for(1ms);
        REQUIRE(world.worker_running(only_task) == holder);
        answer_start(world, only_task, world.worker(*holder).entry_.id_,
                     call_outcome::accepted);
    }
    world.crash_for(*holder, down_time);
}

/// Crashes a worker after each start of the job "a" and lets the job end.
job_status play_crashes(start_answer_case const& crashes,
                        std::chrono::milliseconds down_time)
{
    cell_world world(1, worker_count);
    world.lists_vms_ = true;
    world.run_for(5000ms);
    world.submit("a", {cell_world::make_step(1, 900, 640ms)});
    for (std::size_t i = 0; i < max_crashes; ++i)
    {
        if (i == crashes.taken_over_)
        {
            world.take_over();
        }
        crash_next_worker(world, crashes.answers_[i], down_time);
    }
    world.run_for(30'000ms);
    CHECK(world.violations() == "");
    return world.status("a");
}

} // namespace

// Guards against a job that is shown as failed although two of the three
// workers that crashed had never begun its task.
TEST_CASE("crashes under starts without an answer do not fail a job")
{
    for (auto const& each : unproved_crash_cases)
    {
        for (auto const down_time : {500ms, 1500ms, 3000ms, 6000ms})
        {
            CAPTURE(std::string(each.name_));
            CAPTURE(down_time.count());
            CHECK(play_crashes(each, down_time) == job_status::completed);
        }
    }
}

// Guards against late answers to starts that are no evidence of their runs.
TEST_CASE("crashes under two runs that have begun fail a job")
{
    for (auto const& each : proved_crash_cases)
    {
        for (auto const down_time : {500ms, 1500ms, 3000ms})
        {
            CAPTURE(std::string(each.name_));
            CAPTURE(down_time.count());
            CHECK(play_crashes(each, down_time) == job_status::failed);
        }
    }
}

// Guards against sound tasks that are suspected of a crash that came right
// after another task's start.
TEST_CASE("a crash implicates the runs that began last")
{
    cell_world world(1, 1);
    world.lists_vms_ = true;
    world.deadly_.insert(deadly_task);
    world.run_for(50ms);
    world.submit("sound", {cell_world::make_step(6, 900, 3000ms)});
    world.run_for(1000ms);
    world.submit("a", {cell_world::make_step(1, 900, 640ms)});
    world.run_for(4500ms);
    auto const counts = world.stored_texts(record_kind::crashes);
    CHECK(counts.count("a") == 1);
    CHECK(counts.count("sound") == 0);
}

// Guards against sound tasks that were placed beside a task which crashed its
// worker each time.
TEST_CASE("a task that crashes its workers costs other tasks two runs at most")
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        cell_world world(seed, worker_count);
        world.lists_vms_ = true;
        world.deadly_.insert(deadly_task);
        world.run_for(50ms);
        world.submit("a", {cell_world::make_step(6, 900, 640ms)});
        for (int i = 0; i < 100; ++i)
        {
            world.submit("s" + std::to_string(i),
                         {cell_world::make_step(12, 900, 640ms)});
            world.run_for(180ms);
        }
        world.run_for(10'000ms);
        CHECK(world.status("a") == job_status::failed);
        for (int i = 0; i < 100; ++i)
        {
            CHECK(world.status("s" + std::to_string(i)) ==
                  job_status::completed);
        }
        CHECK(world.most_runs_lost() <= 2);
        CHECK(world.violations() == "");
    }
}

namespace
{

constexpr int loss_count = 14;

/// Workers that end for reasons that no task has a part in.
struct loss_case
{
    char const* name_;
    void (*lose_)(cell_world&, std::uint32_t worker);
    /// Minimum time between two such events.
    std::chrono::milliseconds pause_{0};
};

loss_case const loss_cases[] = {
    {"cuts",
     [](cell_world& world, std::uint32_t worker)
     {
         for (std::uint32_t i = 0; i < worker_count; ++i)
         {
             world.cut(i, i == worker);
         }
     }},
    {"restarts of drained workers",
     [](cell_world& world, std::uint32_t worker)
     {
         world.drain(worker);
         world.run_for(50ms);
         world.crash_for(worker, 500ms);
     }},
    {"ordered restarts",
     [](cell_world& world, std::uint32_t worker)
     {
         auto const vm = world.worker(worker).entry_.vm_;
         world.owner().reserve(vm);
         world.owner().on_vm_order_sent(vm, world.now());
         world.crash_for(worker, 500ms);
         world.run_for(1200ms);
         world.owner().end_reservation(vm, world.now());
     }},
    {"crashes of one worker each",
     [](cell_world& world, std::uint32_t worker)
     { world.crash_for(worker, 1500ms); },
     3000ms},
    {"crashes of a rack",
     [](cell_world& world, std::uint32_t worker)
     {
         for (std::uint32_t i = 0; i < 3; ++i)
         {
             world.crash_for((worker + i) % worker_count, 1500ms);
         }
     },
     6000ms},
};

} // namespace

// Guards against sound tasks that are given up since they were on workers that
// ended by themselves.
TEST_CASE("sound tasks are not given up when their workers are lost")
{
    for (auto const& each : loss_cases)
    {
        for (std::uint32_t seed = 1; seed <= 5; ++seed)
        {
            CAPTURE(std::string(each.name_));
            CAPTURE(seed);
            std::mt19937 random(seed);
            cell_world world(seed, worker_count);
            world.lists_vms_ = true;
            world.run_for(50ms);
            auto lasting = cell_world::make_step(3, 900, 1000ms);
            lasting.long_running_ = true;
            lasting.per_worker_ = 1;
            world.submit("lasting", {lasting});
            for (int i = 0; i < loss_count; ++i)
            {
                world.submit("s" + std::to_string(i),
                             {cell_world::make_step(6, 900, 1300ms)});
                world.run_for(each.pause_ +
                              std::chrono::milliseconds{random() % 1500});
                each.lose_(world, random() % worker_count);
            }
            for (std::uint32_t i = 0; i < worker_count; ++i)
            {
                world.cut(i, false);
            }
            world.run_for(20'000ms);
            for (int i = 0; i < loss_count; ++i)
            {
                CHECK(world.status("s" + std::to_string(i)) ==
                      job_status::completed);
            }
            CHECK(world.running_tasks("lasting") == 3);
            CHECK(world.violations() == "");
        }
    }
}

// Guards against tasks that are suspected since they were sent to a worker that
// had crashed unnoticed while it was idle.
TEST_CASE("a start that another incarnation refuses is no crash")
{
    cell_world world(1, 2);
    world.run_for(50ms);
    world.reuses_addresses_ = true;
    world.crash(0);
    world.crash(1);
    world.submit("a", {cell_world::make_step(4, 900, 640ms)});
    world.run_for(200ms);
    CHECK(world.stored_texts(record_kind::crashes).empty());
    world.run_for(5000ms);
    CHECK(world.status("a") == job_status::completed);
}

TEST_CASE("a start that a worker no longer received is no crash")
{
    cell_world world(1, 2);
    world.run_for(50ms);
    world.crash(0);
    world.crash(1);
    world.submit("a", {cell_world::make_step(4, 900, 640ms)});
    world.run_for(4000ms);
    world.list_vms();
    world.run_for(100ms);
    CHECK(world.stored_texts(record_kind::crashes).empty());
    world.run_for(5000ms);
    CHECK(world.status("a") == job_status::completed);
}

// Guards against a gang whose members took each other's workers for ever.
TEST_CASE("a gang that needs its whole pool runs after crashes of all workers")
{
    cell_world world(1, 2);
    world.lists_vms_ = true;
    world.run_for(50ms);
    auto step = cell_world::make_step(4, 8000, 1300ms);
    step.gang_ = true;
    world.submit("a", {step});
    for (int i = 0; i < 2; ++i)
    {
        world.run_for(300ms);
        world.crash_for(0, 1500ms);
        world.crash_for(1, 1500ms);
        world.run_for(2500ms);
    }
    world.run_for(12'000ms);
    CHECK(world.status("a") == job_status::completed);
}

// Guards against a job that failed for the late proof of crashes under a task
// which had ended well since.
TEST_CASE("a task that has ended is not given up")
{
    cell_world world(1, 8);
    world.lists_vms_ = true;
    world.run_for(50ms);
    auto longer = cell_world::make_step(1, 900, 25'000ms);
    world.submit("a", {cell_world::make_step(1, 900, 1300ms), longer});
    for (int i = 0; i < 3; ++i)
    {
        for (int wait = 0; wait < 600; ++wait)
        {
            world.run_for(10ms);
            auto const running = world.worker_running({job_id{"a"}, 0, 0, 0});
            if (running)
            {
                world.crash_for(*running, 8000ms);
                break;
            }
        }
    }
    world.run_for(60'000ms);
    CHECK(world.status("a") == job_status::completed);
}

TEST_CASE("a worker that answers after its lease is no crash")
{
    cell_world world(1, 2);
    world.lists_vms_ = true;
    world.run_for(50ms);
    auto step = cell_world::make_step(1, 900, 60'000ms);
    world.submit("a", {step});
    for (int i = 0; i < 4; ++i)
    {
        world.run_for(300ms);
        std::uint32_t const busy = world.worker(0).running_.empty() ? 1 : 0;
        world.cut(busy, true);
        world.run_for(4000ms);
        world.cut(busy, false);
    }
    world.run_for(1000ms);
    CHECK(world.running_tasks("a") == 1);
    CHECK(world.stored_texts(record_kind::crashes).empty());
}

TEST_CASE("crash counts outlive the owner and are deleted with the job")
{
    cell_world world(1, worker_count);
    world.lists_vms_ = true;
    world.deadly_.insert(deadly_task);
    world.run_for(50ms);
    world.submit("a", {cell_world::make_step(1, 900, 640ms)});
    world.run_for(4000ms);
    CHECK(world.stored_texts(record_kind::crashes) ==
          std::map<std::string, std::string>{{"a", "0 0 0 1 1\n"}});
    world.take_over();
    world.run_for(20'000ms);
    CHECK(world.status("a") == job_status::failed);
    CHECK(world.crashes_by(deadly_task) <= max_crashes);
    CHECK(world.stored_texts(record_kind::crashes).empty());
}
