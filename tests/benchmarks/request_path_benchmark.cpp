#include "kernel/gateway/gateway_world.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <utility>
#include <vector>

/// Measures the decisions of the request path in virtual time: several gateway
/// kernels, fake workers, a fake log and open-loop callers, all from one seed.
///   request_path_benchmark [SEED [load|routing|faults|cancellation]]
/// Only the costs of the last table depend on the machine.

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

constexpr duration deadline = 500ms;
constexpr duration warm_up = 1s;
constexpr duration measured = 5s;
constexpr double mean_run_seconds = 0.02;

/// One choice of strategies.
struct policy
{
    char const* name_;
    char const* routing_;
    char const* admission_;
    char const* retry_;
    std::uint32_t queue_limit_;
};

constexpr std::uint32_t unbounded = 1U << 30U;
constexpr policy baseline{"baseline", "round_robin", "bounded_queue",
                          "blind_three", unbounded};
constexpr policy chosen{"default", "fixed_share", "deadline_aware", "budgeted",
                        256};

/// One run.
struct run_plan
{
    policy policy_;
    std::uint64_t seed_ = 1;
    std::size_t gateways_ = 2;
    std::size_t workers_ = 6;
    double load_ = 1;
    /// Changes the world once the warm-up is over.
    std::function<void(gateway_world&)> fault_ = {};
};

struct run_result
{
    std::uint64_t requests_ = 0;
    std::uint64_t good_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t silent_ = 0;
    std::uint64_t attempts_ = 0;
    std::uint64_t refused_by_workers_ = 0;
    std::uint64_t faults_ = 0;
    std::vector<duration> answers_;
    std::vector<duration> refusals_;
};

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

double milliseconds(duration time)
{
    return 1000 * seconds(time);
}

duration draw_run_time(std::mt19937_64& random)
{
    // A fixed part and an exponential one; the sum has the mean above.
    double const uniform =
        (static_cast<double>(random() >> 11U) + 1) / 9007199254740993.0;
    double const value = mean_run_seconds * (0.25 - 0.75 * std::log(uniform));
    return duration{static_cast<duration::rep>(value * 1e6)};
}

duration quantile(std::vector<duration>& samples, double share)
{
    if (samples.empty())
    {
        return duration{0};
    }
    std::sort(samples.begin(), samples.end());
    auto const index = static_cast<std::size_t>(
        share * static_cast<double>(samples.size() - 1));
    return samples[index];
}

gateway_settings settings_of(policy const& what)
{
    gateway_settings settings;
    settings.routing_ = what.routing_;
    settings.admission_ = what.admission_;
    settings.retry_ = what.retry_;
    settings.queue_limit_ = what.queue_limit_;
    settings.claim_shards_ = 1;
    if (what.queue_limit_ == unbounded)
    {
        // The baseline ejects no worker, and asks a full one again at once in
        // its terms: after the shortest hold.
        settings.requests_.health_.max_ejected_ratio_ = 0;
        settings.requests_.full_hold_limit_ = settings.requests_.full_hold_;
    }
    return settings;
}

std::uint64_t dispatches(gateway_world const& world)
{
    std::uint64_t sum = 0;
    for (auto const& worker : world.workers_)
    {
        sum += worker.started_ + worker.refused_;
    }
    return sum;
}

/// Submits by an open loop for so long; returns the requests.
std::vector<request_id> offer(gateway_world& world, run_plan const& plan,
                              duration time, std::size_t first_gateway)
{
    std::vector<request_id> requests;
    double const rate =
        plan.load_ * static_cast<double>(plan.workers_) * 8 / mean_run_seconds;
    time_point const end = world.now_ + time;
    double ahead = 0;
    while (world.now_ < end)
    {
        ahead += rate / 1000;
        for (; ahead >= 1; ahead -= 1)
        {
            caller_request request;
            request.service_ = service_name{"quick"};
            request.deadline_ = deadline;
            std::size_t const gateway =
                first_gateway +
                world.random_() % (plan.gateways_ - first_gateway);
            requests.push_back(world.submit(gateway, std::move(request)));
        }
        world.run_for(1ms);
    }
    return requests;
}

void judge(gateway_world& world, request_id const& request, run_result& result)
{
    auto const& outcome = world.outcome(request);
    bool const false_refusal =
        outcome.kind_ == outcome_kind::refused && world.runs_of(request) != 0;
    result.faults_ += outcome.times_ > 1 || false_refusal ? 1U : 0U;
    switch (outcome.kind_)
    {
    case outcome_kind::answered:
        result.answers_.push_back(outcome.took_);
        result.good_ += outcome.took_ <= deadline ? 1U : 0U;
        break;
    case outcome_kind::refused:
        result.refusals_.push_back(outcome.took_);
        break;
    case outcome_kind::none:
        ++result.silent_;
        break;
    default:
        ++result.failed_;
        break;
    }
}

run_result run(run_plan const& plan, std::size_t gateways_lost = 0)
{
    gateway_world world(plan.seed_, settings_of(plan.policy_));
    world.run_time_ = draw_run_time;
    for (std::size_t i = 0; i < plan.workers_; ++i)
    {
        world.add_vm("a", "rack-" + std::to_string(i / 4));
    }
    for (std::size_t i = 0; i < plan.gateways_; ++i)
    {
        world.add_gateway("a");
    }
    world.run_for(200ms);
    offer(world, plan, warm_up, 0);
    auto const before = offer(world, plan, 200ms, 0);
    if (plan.fault_)
    {
        plan.fault_(world);
    }
    std::uint64_t const at_start = dispatches(world);
    auto requests = offer(world, plan, measured, gateways_lost);
    run_result result;
    result.requests_ = requests.size();
    world.run_for(2s);
    result.attempts_ = dispatches(world) - at_start;
    for (auto const& worker : world.workers_)
    {
        result.refused_by_workers_ += worker.refused_;
    }
    for (auto const& request : requests)
    {
        judge(world, request, result);
    }
    run_result in_flight;
    for (auto const& request : before)
    {
        judge(world, request, in_flight);
    }
    result.silent_ += in_flight.silent_;
    return result;
}

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0
               ? 0
               : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

void print_head()
{
    std::printf("%-28s %-10s %8s %8s %7s %8s %8s %8s %8s %8s %7s %8s %6s\n",
                "run", "policy", "requests", "good/s", "failed%", "ans.p50",
                "ans.p99", "ans.p999", "ref.p50", "ref.p99", "amplif", "full",
                "faults");
}

run_result print(std::string const& name, run_plan const& plan,
                 std::size_t gateways_lost = 0)
{
    run_result result = run(plan, gateways_lost);
    double const good = static_cast<double>(result.good_) / seconds(measured);
    double const amplification = static_cast<double>(result.attempts_) /
                                 static_cast<double>(result.requests_);
    std::printf("%-28s %-10s %8llu %8.0f %7.2f %8.1f %8.1f %8.1f %8.1f %8.1f "
                "%7.2f %8llu %6llu\n",
                name.c_str(), plan.policy_.name_,
                static_cast<unsigned long long>(result.requests_), good,
                percent(result.failed_ + result.silent_, result.requests_),
                milliseconds(quantile(result.answers_, 0.5)),
                milliseconds(quantile(result.answers_, 0.99)),
                milliseconds(quantile(result.answers_, 0.999)),
                milliseconds(quantile(result.refusals_, 0.5)),
                milliseconds(quantile(result.refusals_, 0.99)), amplification,
                static_cast<unsigned long long>(result.refused_by_workers_),
                static_cast<unsigned long long>(result.faults_));
    std::fflush(stdout);
    return result;
}

void measure_load(std::uint64_t seed)
{
    for (double const load : {0.5, 1.0, 2.0, 5.0, 10.0})
    {
        char name[32];
        std::snprintf(name, sizeof name, "load %.1f", load);
        for (auto const& what : {baseline, chosen})
        {
            run_plan plan{what, seed};
            plan.load_ = load;
            print(name, plan);
        }
    }
}

void measure_routing(std::uint64_t seed)
{
    for (double const load : {0.8, 1.0, 2.0, 10.0})
    {
        for (char const* routing :
             {"round_robin", "power_of_two", "fixed_share", "load_echo"})
        {
            run_plan plan{chosen, seed};
            plan.policy_.name_ = routing;
            plan.policy_.routing_ = routing;
            plan.load_ = load;
            plan.gateways_ = 3;
            char name[32];
            std::snprintf(name, sizeof name, "routing, load %.1f", load);
            print(name, plan);
        }
    }
}

void set_mode(gateway_world& world, std::size_t count, worker_mode mode)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        world.workers_[i].mode_ = mode;
    }
}

void measure_faults(std::uint64_t seed)
{
    struct fault
    {
        char const* name_;
        std::size_t workers_;
        worker_mode mode_;
        double load_;
        std::size_t gateways_lost_;
    };
    for (auto const& at :
         {fault{"1 in 10 failing", 1, worker_mode::failing, 0.7, 0},
          fault{"1 in 10 hanging", 1, worker_mode::hanging, 0.7, 0},
          fault{"1 in 10 gone", 1, worker_mode::gone, 0.7, 0},
          fault{"a rack of 4 in 10 gone", 4, worker_mode::gone, 0.5, 0},
          fault{"one gateway of 2 killed", 0, worker_mode::gone, 0.5, 1},
          fault{"all failing", 10, worker_mode::failing, 0.5, 0},
          fault{"all gone", 10, worker_mode::gone, 0.5, 0}})
    {
        for (auto const& what : {baseline, chosen})
        {
            run_plan plan{what, seed};
            plan.workers_ = 10;
            plan.load_ = at.load_;
            plan.fault_ = [at](gateway_world& world)
            {
                set_mode(world, at.workers_, at.mode_);
                if (at.gateways_lost_ != 0)
                {
                    world.kill_gateway(0);
                }
            };
            print(at.name_, plan, at.gateways_lost_);
        }
    }
}

double since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(
               std::chrono::steady_clock::now() - start)
        .count();
}

void measure_cancellation(std::uint64_t seed)
{
    std::printf("\ncancellations of waiting requests, machine time\n");
    for (int const count : {1000, 10000, 100000})
    {
        policy patient = chosen;
        patient.admission_ = "bounded_queue";
        patient.queue_limit_ = unbounded;
        gateway_world world(seed, settings_of(patient));
        world.add_vm("a", "rack");
        world.add_gateway("a");
        world.run_for(200ms);
        std::vector<request_id> requests;
        for (int i = 0; i < count; ++i)
        {
            caller_request request;
            request.service_ = service_name{"quick"};
            requests.push_back(world.submit(0, std::move(request)));
        }
        auto const start = std::chrono::steady_clock::now();
        for (auto const& request : requests)
        {
            world.send(0, caller_disconnected{request});
        }
        double const time = since(start);
        std::printf("%8d cancelled in %10.0f us, %6.2f us each\n", count, time,
                    time / count);
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::uint64_t const seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261203;
    std::printf("seed %llu, times in ms, capacity 2400/s at 6 workers\n",
                static_cast<unsigned long long>(seed));
    struct section
    {
        char const* name_;
        void (*measure_)(std::uint64_t);
    };
    std::string const wanted = argc > 2 ? argv[2] : "";
    print_head();
    for (auto const& at :
         {section{"load", measure_load}, section{"routing", measure_routing},
          section{"faults", measure_faults},
          section{"cancellation", measure_cancellation}})
    {
        if (wanted.empty() || wanted == at.name_)
        {
            at.measure_(seed);
        }
    }
    return 0;
}
