#include "kernel/maintenance/window.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace cuminfold;

namespace
{

using std::chrono::hours;
using std::chrono::minutes;

/// Monday 2026-11-30 00:00 UTC.
constexpr wall_time monday{std::chrono::seconds{1795996800}};

constexpr std::uint8_t on_monday = 1;
constexpr std::uint8_t on_sunday = 1U << 6U;
constexpr std::uint8_t every_day = 0x7f;

window_spec make_window(std::uint8_t days, minutes start, minutes length,
                        minutes offset)
{
    window_spec window;
    window.days_ = days;
    window.start_ = start;
    window.length_ = length;
    window.utc_offset_ = offset;
    return window;
}

struct window_case
{
    char const* what_;
    std::uint8_t days_;
    minutes start_;
    minutes length_;
    minutes offset_;
    minutes at_; ///< since Monday 00:00 UTC
    bool open_;
};

window_case const cases[] = {
    {"first minute", on_monday, hours{9}, hours{2}, hours{0}, hours{9}, true},
    {"one minute before the start", on_monday, hours{9}, hours{2}, hours{0},
     hours{9} - minutes{1}, false},
    {"end is exclusive", on_monday, hours{9}, hours{2}, hours{0}, hours{11},
     false},
    {"past midnight belongs to the day of the start", on_monday, hours{22},
     hours{8}, hours{0}, hours{24 + 5}, true},
    {"the second night is closed", on_monday, hours{22}, hours{8}, hours{0},
     hours{24 + 23}, false},
    {"Sunday's window extends into Monday", on_sunday, hours{22}, hours{8},
     hours{0}, hours{3}, true},
    {"local day starts before the UTC day", on_monday, hours{2}, hours{1},
     hours{12}, -hours{10} + minutes{30}, true},
    {"local day starts after the UTC day", on_monday, hours{23}, hours{1},
     -hours{3}, hours{24 + 2}, true},
    {"all day", every_day, hours{0}, hours{24}, hours{0}, hours{71}, true},
    {"no day", 0, hours{0}, hours{24}, hours{0}, hours{71}, false},
};

} // namespace

TEST_CASE("a window is open only in its weekly hours")
{
    for (auto const& each : cases)
    {
        CAPTURE(each.what_);
        window_spec const window =
            make_window(each.days_, each.start_, each.length_, each.offset_);
        CHECK(window_open(window, monday + each.at_) == each.open_);
        CHECK(window_open(window, monday + each.at_ + hours{7 * 24}) ==
              each.open_);
    }
}

TEST_CASE("a window is open for its configured length, also before the epoch")
{
    window_spec const window =
        make_window(every_day, hours{22}, hours{8}, hours{12});
    int open = 0;
    for (int minute = -14 * 24 * 60; minute < 0; ++minute)
    {
        open += window_open(window, wall_time{} + minutes{minute}) ? 1 : 0;
    }
    CHECK(open == 14 * 8 * 60);
}
