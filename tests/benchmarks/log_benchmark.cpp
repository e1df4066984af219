#include "kernel/controller/controller_net.hpp"
#include "kernel/snapshot/fleet_view.hpp"
#include "kernel/streams.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cuminfold;

namespace
{

constexpr std::int64_t vms_per_pool = 26;
constexpr std::int64_t vms_per_rack = 4;

std::string pool_of(std::int64_t vm)
{
    return "p" + std::to_string(vm / vms_per_pool);
}

/// A fleet of so many VMs, all assigned.
struct fleet
{
    explicit fleet(std::int64_t vms) : vms_(vms)
    {
        std::string text = "pools:\n";
        std::string budgets = "budgets:\n";
        for (std::int64_t at = 0; at < vms; at += vms_per_pool)
        {
            text += "  " + pool_of(at) + ": {size: 26}\n";
            budgets += "  " + pool_of(at) + ": {need: 2, reserve: rack}\n";
        }
        config_change change;
        change.edits_.push_back(
            {file_name{"a.yaml"}, false, text + budgets, no_offset});
        config_.apply({0, {{{self_, 1}, record_version, no_offset, change}}});
        write(gateway_registered{data_centre_name{"dc-0"}, "10.0.0.1:80"});
        for (std::int64_t at = 0; at < vms; ++at)
        {
            write(vm_added{name(at), "10.0.0.1:8000",
                           data_centre_name{"dc-" + std::to_string(at % 8)},
                           rack_name{"r" + std::to_string(at / vms_per_rack)},
                           vm_shape{16, 65536, 0, 8, 64}});
            write(vm_assigned{name(at), entry(at).generation_,
                              pool_name{pool_of(at)}, "pool lacks it"});
        }
    }

    static vm_id name(std::int64_t at)
    {
        return vm_id{"vm-" + std::to_string(at)};
    }

    vm_entry const& entry(std::int64_t at) const
    {
        return *fleet_.vms().find(name(at));
    }

    void write(record_body body)
    {
        fleet_.apply(
            {fleet_.next(),
             {{{self_, ++sequence_}, record_version, 0, std::move(body)}}},
            config_);
    }

    fleet_snapshot snapshot() const
    {
        return {fleet_.data(), *config_.pin_of(fleet_.data().config_floor_)};
    }

    std::int64_t vms_;
    incarnation self_{node_id{"w"}, 1};
    std::uint64_t sequence_ = 0;
    config_state config_{&merge_files};
    fleet_state fleet_;
};

/// A drain's records, one VM after the other: grant, start, withdrawal.
void fold_record(benchmark::State& state)
{
    fleet f(state.range(0));
    std::int64_t at = 0;
    for (auto _ : state)
    {
        f.write(drain_granted{fleet::name(at), f.entry(at).generation_,
                              wave_name{"w"}});
        f.write(drain_started{fleet::name(at), f.entry(at).generation_});
        f.write(drain_withdrawn{fleet::name(at), f.entry(at).generation_,
                                reason::grant_withdrawn});
        at = (at + 1) % f.vms_;
    }
    state.SetItemsProcessed(state.iterations() * 3);
}

void encode_snapshot(benchmark::State& state)
{
    fleet const f(state.range(0));
    auto const codec = make_state_codec();
    std::size_t bytes = 0;
    for (auto _ : state)
    {
        bytes = codec->encode(f.snapshot()).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

void restore_snapshot(benchmark::State& state)
{
    fleet const f(state.range(0));
    auto const codec = make_state_codec();
    std::string const bytes = codec->encode(f.snapshot());
    for (auto _ : state)
    {
        auto snapshot = codec->decode_fleet(bytes);
        fleet_state fresh;
        config_state config(&merge_files);
        config.pin(snapshot->pin_);
        fresh.restore(std::move(snapshot->fleet_));
        benchmark::DoNotOptimize(fresh.next());
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}

enum log_case
{
    log_up,
    log_slow,
    log_from_one_data_centre
};

bool in_force_everywhere(controller_net& net, log_offset version)
{
    return std::all_of(net.nodes_.begin(), net.nodes_.end(),
                       [&](auto const& item)
                       {
                           auto const& node = item.second;
                           auto const& config = node.kernel_
                                                    ? node.kernel_->config()
                                                    : node.reader_->config();
                           return config.version() == version;
                       });
}

/// Virtual time from an operator's change to in force at 9 controllers and 9
/// gateways of 3 data centres.
void configuration_in_force(benchmark::State& state)
{
    std::vector<double> times;
    for (auto _ : state)
    {
        controller_net net;
        for (auto const* centre : {"a", "b", "c"})
        {
            for (auto const* number : {"1", "2", "3"})
            {
                std::string const name = std::string(centre) + number;
                net.add_controller(name, centre);
                net.add_reader("g-" + name, name);
            }
        }
        if (state.range(0) == log_slow)
        {
            net.log_delay_ = std::chrono::milliseconds{300};
        }
        net.run(std::chrono::seconds{5});
        if (state.range(0) == log_from_one_data_centre)
        {
            for (auto& [name, node] : net.nodes_)
            {
                node.reaches_log_ = name[0] == 'a';
            }
            net.run(std::chrono::seconds{5});
        }
        for (std::uint32_t i = 0; i < 20; ++i)
        {
            net.change("a1", i, "a.yaml",
                       "pools: {a: {size: " + std::to_string(i + 1) + "}}\n",
                       i == 0 ? no_offset : log_offset{i - 1});
            auto const took =
                net.run_until([&] { return in_force_everywhere(net, i); },
                              std::chrono::seconds{20});
            times.push_back(static_cast<double>(took.count()) / 1000.0);
            net.run(std::chrono::milliseconds{777});
        }
    }
    std::sort(times.begin(), times.end());
    state.counters["virtual_ms_median"] = times[times.size() / 2];
    state.counters["virtual_ms_max"] = times.back();
}

} // namespace

BENCHMARK(fold_record)->Arg(50)->Arg(500)->Arg(2900);
BENCHMARK(encode_snapshot)->Arg(50)->Arg(500)->Arg(2900);
BENCHMARK(restore_snapshot)->Arg(50)->Arg(500)->Arg(2900);
BENCHMARK(configuration_in_force)
    ->Arg(log_up)
    ->Arg(log_slow)
    ->Arg(log_from_one_data_centre)
    ->Iterations(1);

BENCHMARK_MAIN();
