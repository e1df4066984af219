#include "benchmarks/fleet_fixture.hpp"
#include "config/merge_files.hpp"
#include "kernel/controller/controller_kernel.hpp"
#include "kernel/gateway/gateway_kernel.hpp"
#include "kernel/registry.hpp"
#include "wire/message_codec.hpp"
#include "wire/record_codec.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <chrono>
#include <memory>
#include <string>

using namespace cuminfold;

namespace
{

using std::chrono::milliseconds;

controller_settings make_controller_settings()
{
    controller_settings settings;
    settings.self_ = incarnation{node_id{"ctl"}, 1};
    settings.data_centre_ = data_centre_name{"dc-0"};
    return settings;
}

gateway_settings make_gateway_settings()
{
    gateway_settings settings;
    settings.self_ = incarnation{node_id{"gw"}, 1};
    settings.data_centre_ = data_centre_name{"dc-0"};
    return settings;
}

double bytes_in_use()
{
    return static_cast<double>(mallinfo2().uordblks);
}

tick make_tick()
{
    return tick{wall_time{std::chrono::hours{24 * 365 * 50}}};
}

std::size_t size_of(benchmark::State const& state)
{
    return static_cast<std::size_t>(state.range(0));
}

/// Processor time of one tick of a controller that has read everything, and
/// the memory that it holds.
void controller_tick(benchmark::State& state)
{
    fleet_fixture const fleet(size_of(state));
    double const before = bytes_in_use();
    controller_kernel kernel(make_controller_settings(), &merge_files,
                             registry<controller_duty>::instance().names());
    time_point now{std::chrono::hours{1}};
    fleet.feed(kernel, make_tick(), now);
    state.counters["bytes"] = bytes_in_use() - before;
    state.counters["vms"] =
        static_cast<double>(kernel.fleet().vms().all().size());
    for (auto _ : state)
    {
        now += milliseconds{50};
        benchmark::DoNotOptimize(kernel.handle(now, make_tick()));
    }
}

/// The same of a gateway.
void gateway_idle_tick(benchmark::State& state)
{
    fleet_fixture const fleet(size_of(state));
    double const before = bytes_in_use();
    gateway_kernel kernel(make_gateway_settings(), &merge_files);
    time_point now{std::chrono::hours{1}};
    fleet.feed(kernel, gateway_tick{}, now);
    state.counters["bytes"] = bytes_in_use() - before;
    state.counters["vms"] =
        static_cast<double>(kernel.fleet().vms().all().size());
    for (auto _ : state)
    {
        now += milliseconds{5};
        benchmark::DoNotOptimize(kernel.handle(now, gateway_tick{}));
    }
}

/// One record folded into a fleet of that size: health of a VM, down and up.
void fold_record(benchmark::State& state)
{
    fleet_fixture const fleet(size_of(state));
    config_state config(&merge_files);
    fleet_state folded;
    for (auto const& entry : fleet.config())
    {
        config.apply(entry);
    }
    for (auto const& entry : fleet.fleet())
    {
        folded.apply(entry, config);
    }
    incarnation const writer{node_id{"health"}, 1};
    std::uint64_t sequence = 0;
    vm_id const vm{"vm-" + std::to_string(fleet.size() / 2)};
    for (auto _ : state)
    {
        generation const expected = folded.vms().find(vm)->generation_;
        ++sequence;
        log_entry const entry{folded.next(),
                              {{{writer, sequence},
                                record_version,
                                0,
                                vm_health{vm, expected, sequence % 2 == 0}}}};
        folded.apply(entry, config);
    }
}

/// Merging and checking all operators' files.
void merge_configuration(benchmark::State& state)
{
    fleet_fixture const fleet(size_of(state));
    auto const& change =
        std::get<config_change>(fleet.config()[0].records_[0].body_);
    config_files files;
    files[change.edits_[0].file_].text_ = change.edits_[0].text_;
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(merge_files(files));
    }
    state.counters["bytes"] =
        static_cast<double>(change.edits_[0].text_.size());
}

/// Encoding and decoding one record, and its bytes.
void record_codec(benchmark::State& state)
{
    fleet_fixture const fleet(1);
    std::vector<record> const one = {fleet.fleet()[0].records_[1]};
    std::string bytes;
    for (auto _ : state)
    {
        bytes = encode_records(one);
        benchmark::DoNotOptimize(decode_records(bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}

/// A heartbeat that carries news of that many members, and its bytes.
void heartbeat_codec(benchmark::State& state)
{
    heartbeat beat;
    beat.from_ = incarnation{node_id{"ctl-a1"}, 1'700'000'000'000};
    for (std::int64_t i = 0; i < state.range(0); ++i)
    {
        member_update news;
        news.node_ =
            incarnation{node_id{"gw-a" + std::to_string(i)}, 1'700'000'000'000};
        news.data_centre_ = data_centre_name{"dc-0"};
        news.address_ = "10.0.0.1:8080";
        beat.updates_.push_back(news);
    }
    std::string bytes;
    for (auto _ : state)
    {
        bytes = encode_message(message{beat});
        benchmark::DoNotOptimize(decode_message(bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}

BENCHMARK(controller_tick)->Arg(50)->Arg(500)->Arg(1500)->Arg(2900);
BENCHMARK(gateway_idle_tick)->Arg(50)->Arg(500)->Arg(1500)->Arg(2900);
BENCHMARK(fold_record)->Arg(50)->Arg(500)->Arg(1500)->Arg(2900);
BENCHMARK(merge_configuration)->Arg(50)->Arg(500)->Arg(1500)->Arg(2900);
BENCHMARK(record_codec);
BENCHMARK(heartbeat_codec)->Arg(0)->Arg(1)->Arg(8)->Arg(72);

} // namespace

BENCHMARK_MAIN();
