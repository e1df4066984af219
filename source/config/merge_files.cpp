#include "config/merge_files.hpp"

#include "config/section_reader.hpp"

#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace cuminfold
{

namespace
{

using section = std::map<std::string, located_map>;
using errors = std::vector<config_error>;

/// Longest operators' file, in bytes.
constexpr std::size_t file_size_limit = 256 * 1024;

constexpr std::uint32_t count_limit = 100'000;
constexpr duration run_time_limit = std::chrono::hours{24 * 30};

template <class Name>
std::vector<Name> to_names(std::vector<std::string> const& words)
{
    std::vector<Name> names;
    names.reserve(words.size());
    for (auto const& word : words)
    {
        names.emplace_back(word);
    }
    return names;
}

void read_pool(section_reader& in, std::string const& name,
               intended_state& state)
{
    pool_spec pool;
    pool.name_ = pool_name{name};
    std::map<std::string, std::uint32_t> spread;
    in.read("size", pool.size_, 0, count_limit);
    in.read("spread", spread);
    in.read("spare", pool.spare_);
    std::uint64_t total = 0;
    for (auto const& item : spread)
    {
        pool.spread_[data_centre_name{item.first}] = item.second;
        total += item.second;
    }
    if (!spread.empty() && !in.has("size"))
    {
        pool.size_ = static_cast<std::uint32_t>(total);
    }
    else if (!spread.empty() && total != pool.size_)
    {
        in.fail("spread", "adds up to " + std::to_string(total) +
                              ", not to the size " +
                              std::to_string(pool.size_));
    }
    state.pools_[pool.name_] = std::move(pool);
}

void read_service(section_reader& in, std::string const& name,
                  intended_state& state)
{
    service_spec service;
    service.name_ = service_name{name};
    std::string pool;
    in.require("pool");
    in.read("pool", pool);
    service.pool_ = pool_name{pool};
    in.read("run_time", service.declared_run_time_,
            std::chrono::microseconds{1}, run_time_limit);
    in.read("deadline", service.deadline_, std::chrono::milliseconds{1},
            run_time_limit);
    in.read("idempotent", service.idempotent_);
    if (!pool.empty() && state.pools_.count(service.pool_) == 0)
    {
        in.fail("pool", "no pool '" + pool + "'");
    }
    state.services_[service.name_] = std::move(service);
}

void read_budget(section_reader& in, std::string const& name,
                 intended_state& state)
{
    budget_spec budget;
    budget.pool_ = pool_name{name};
    std::size_t reserve = static_cast<std::size_t>(reserve_kind::rack);
    in.require("need");
    in.read("need", budget.need_, 0, count_limit);
    in.read_choice("reserve", {"none", "vm", "rack"}, reserve);
    in.read("max_draining", budget.max_draining_, 0, count_limit);
    budget.reserve_ = static_cast<reserve_kind>(reserve);
    auto const pool = state.pools_.find(budget.pool_);
    if (pool == state.pools_.end())
    {
        in.fail("need", "no pool '" + name + "'");
    }
    else if (budget.need_ > pool->second.size_)
    {
        in.fail("need", "more than the pool's size " +
                            std::to_string(pool->second.size_));
    }
    state.budgets_[budget.pool_] = budget;
}

std::optional<std::chrono::minutes> parse_clock(std::string const& text)
{
    int hour = 0;
    int minute = 0;
    int used = 0;
    int const got =
        std::sscanf(text.c_str(), "%2d:%2d%n", &hour, &minute, &used);
    bool const whole = static_cast<std::size_t>(used) == text.size();
    if (got != 2 || !whole || hour < 0 || hour > 24 || minute < 0 ||
        minute > 59 || hour * 60 + minute > 24 * 60)
    {
        return std::nullopt;
    }
    return std::chrono::minutes{hour * 60 + minute};
}

void read_clock(section_reader& in, std::string const& key,
                std::chrono::minutes& target)
{
    std::string text;
    in.read(key, text);
    if (text.empty())
    {
        return;
    }
    auto const value = parse_clock(text);
    if (!value)
    {
        in.fail(key,
                "expected a time of day such as 09:30, not '" + text + "'");
        return;
    }
    target = *value;
}

void read_days(section_reader& in, window_spec& window)
{
    static std::array<std::string, 7> const names = {"mon", "tue", "wed", "thu",
                                                     "fri", "sat", "sun"};
    std::vector<std::string> days;
    in.read("days", days);
    if (days.empty())
    {
        return;
    }
    window.days_ = 0;
    for (auto const& day : days)
    {
        std::size_t index = 0;
        while (index < names.size() && names[index] != day)
        {
            ++index;
        }
        if (index == names.size())
        {
            in.fail("days", "unknown day '" + day + "'; known: mon, tue, " +
                                "wed, thu, fri, sat, sun");
            return;
        }
        window.days_ = static_cast<std::uint8_t>(window.days_ | (1U << index));
    }
}

/// `+12:00` or `-01:30`.
void read_utc_offset(section_reader& in, window_spec& window)
{
    std::string text;
    in.read("utc_offset", text);
    if (text.empty())
    {
        return;
    }
    bool const sign = text[0] == '+' || text[0] == '-';
    auto const value = sign ? parse_clock(text.substr(1)) : std::nullopt;
    if (!value)
    {
        in.fail("utc_offset",
                "expected an offset such as +12:00, not '" + text + "'");
        return;
    }
    window.utc_offset_ = text[0] == '-' ? -*value : *value;
}

void read_window(section_reader& in, std::string const& name,
                 intended_state& state)
{
    window_spec window;
    window.name_ = name;
    std::vector<std::string> pools;
    std::vector<std::string> data_centres;
    in.read("pools", pools);
    in.read("data_centres", data_centres);
    read_days(in, window);
    std::chrono::minutes to{24 * 60};
    read_clock(in, "from", window.start_);
    read_clock(in, "to", to);
    read_utc_offset(in, window);
    // A window that ends before it starts goes on past midnight.
    window.length_ = to > window.start_
                         ? to - window.start_
                         : to + std::chrono::hours{24} - window.start_;
    window.pools_ = to_names<pool_name>(pools);
    window.data_centres_ = to_names<data_centre_name>(data_centres);
    for (auto const& pool : window.pools_)
    {
        if (state.pools_.count(pool) == 0)
        {
            in.fail("pools", "no pool '" + pool.text() + "'");
        }
    }
    state.windows_[name] = std::move(window);
}

void read_wave(section_reader& in, std::string const& name,
               intended_state& state)
{
    wave_spec wave;
    wave.name_ = wave_name{name};
    std::vector<std::string> pools;
    std::vector<std::string> vms;
    in.read("pools", pools);
    in.read("vms", vms);
    in.read("window", wave.window_);
    in.read("strategy", wave.strategy_);
    in.read("canary", wave.canary_, 1, count_limit);
    wave.pools_ = to_names<pool_name>(pools);
    wave.vms_ = to_names<vm_id>(vms);
    for (auto const& pool : wave.pools_)
    {
        if (state.pools_.count(pool) == 0)
        {
            in.fail("pools", "no pool '" + pool.text() + "'");
        }
    }
    if (!wave.window_.empty() && state.windows_.count(wave.window_) == 0)
    {
        in.fail("window", "no window '" + wave.window_ + "'");
    }
    if (wave.pools_.empty() && wave.vms_.empty())
    {
        in.fail("pools", "a wave names pools or vms");
    }
    state.waves_[wave.name_] = std::move(wave);
}

void read_team(section_reader& in, std::string const& name,
               intended_state& state)
{
    team_spec team;
    team.name_ = team_name{name};
    in.require("slots");
    in.read("slots", team.slots_, 0, count_limit);
    in.read("may_borrow", team.may_borrow_);
    state.teams_[team.name_] = team;
}

using reader = void (*)(section_reader&, std::string const&, intended_state&);

struct section_entry
{
    char const* name_;
    reader read_;
};

/// In an order in which each section names only those before it.
constexpr std::array<section_entry, 6> sections = {{
    {"pools", &read_pool},
    {"services", &read_service},
    {"budgets", &read_budget},
    {"windows", &read_window},
    {"waves", &read_wave},
    {"teams", &read_team},
}};

/// Lays one file's values over what the earlier files gave.
void overlay(file_name const& file, YAML::Node const& root,
             std::map<std::string, section>& merged, errors& faults)
{
    located_map const top = locate(file, root, "", faults);
    section_reader reader(top, "", faults);
    for (auto const& entry : sections)
    {
        for (auto const& item : reader.read_map(entry.name_))
        {
            std::string const path =
                std::string(entry.name_) + "." + item.first;
            auto& names = merged[entry.name_];
            if (item.second.node_.IsNull())
            {
                names.erase(item.first);
                continue;
            }
            auto& values = names[item.first];
            for (auto const& value :
                 locate(file, item.second.node_, path, faults))
            {
                values[value.first] = value.second;
            }
        }
    }
    reader.finish();
}

void parse_file(file_name const& file, std::string const& text,
                std::map<std::string, section>& merged, errors& faults)
{
    if (text.size() > file_size_limit)
    {
        faults.push_back({file, 0, "", "larger than 256 KiB"});
        return;
    }
    try
    {
        overlay(file, YAML::Load(text), merged, faults);
    }
    catch (YAML::Exception const& error)
    {
        auto const line = static_cast<std::uint32_t>(error.mark.line + 1);
        faults.push_back({file, line, "", error.msg});
    }
}

void note_provenance(section_entry const& entry, std::string const& name,
                     located_map const& values, intended_state& state)
{
    for (auto const& value : values)
    {
        state.provenance_[std::string(entry.name_) + "." + name + "." +
                          value.first] = value.second.file_;
    }
}

} // namespace

merge_result merge_files(config_files const& files)
{
    merge_result result;
    std::map<std::string, section> merged;
    for (auto const& item : files)
    {
        parse_file(item.first, item.second.text_, merged, result.errors_);
    }
    auto state = std::make_shared<intended_state>();
    for (auto const& entry : sections)
    {
        for (auto const& item : merged[entry.name_])
        {
            section_reader in(item.second,
                              std::string(entry.name_) + "." + item.first,
                              result.errors_);
            entry.read_(in, item.first, *state);
            in.finish();
            note_provenance(entry, item.first, item.second, *state);
        }
    }
    if (result.errors_.empty())
    {
        result.state_ = std::move(state);
    }
    return result;
}

} // namespace cuminfold
