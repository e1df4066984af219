#include "config/sections/sections.hpp"

#include <array>
#include <chrono>
#include <cstdio>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cuminfold::detail
{

namespace
{

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

} // namespace

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

} // namespace cuminfold::detail
