#include "node/forward_watch.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace cuminfold;
using namespace std::chrono_literals;

namespace
{

using call_list = std::vector<std::uint64_t>;

constexpr duration delay = 250ms;
constexpr time_point start{100s};

/// Plays checks every 50 ms whose answers come at once.
class played_watch
{
public:
    explicit played_watch(std::size_t bytes = 0, std::uint32_t repeats = 0)
    {
        watch_.add(1, 1, bytes, repeats, start);
    }

    /// @return whether the call was lost by `until`
    bool is_lost_by(duration until, call_list const& executing)
    {
        for (; now_ <= start + until; now_ += 50ms)
        {
            if (watch_.begin_check(now_).empty())
            {
                continue;
            }
            ++checks_;
            if (!watch_.end_check(executing, now_).empty())
            {
                return true;
            }
        }
        return false;
    }

    forward_watch watch_{delay};
    time_point now_ = start;
    int checks_ = 0;
};

} // namespace

// Guards against a call that waits for its whole time on a silent connection,
// and against one that is sent twice to a slow owner or over a slow link.
TEST_CASE("a call is lost once two checks in a row do not find it")
{
    struct row
    {
        char const* name_;
        std::size_t bytes_;
        std::uint32_t repeats_;
        call_list executing_;
        duration until_;
        bool is_lost_;
        int checks_;
    };
    row const rows[] = {
        {"not checked yet", 0, 0, {}, 200ms, false, 0},
        {"one check", 0, 0, {}, 250ms, false, 1},
        {"two checks", 0, 0, {}, 300ms, true, 2},
        {"a slow owner", 0, 0, {1}, 3s, false, 3},
        {"another call is executed", 0, 0, {2}, 300ms, true, 2},
        {"a large call on its way", 256 * 1024, 0, {}, 1200ms, false, 0},
        {"a large call that was lost", 256 * 1024, 0, {}, 1300ms, true, 2},
        {"lost again", 0, 1, {}, 450ms, false, 0},
        {"lost again, later", 0, 1, {}, 550ms, true, 2},
    };
    for (auto const& each : rows)
    {
        CAPTURE(std::string(each.name_));
        played_watch played(each.bytes_, each.repeats_);
        CHECK(played.is_lost_by(each.until_, each.executing_) == each.is_lost_);
        CHECK(played.checks_ == each.checks_);
    }
}

TEST_CASE("a check without the call's absence loses no call")
{
    struct row
    {
        char const* name_;
        void (*play_)(forward_watch&);
        bool is_checked_again_;
    };
    row const rows[] = {
        {"a stopped owner", [](forward_watch& watch) { watch.fail_check(); },
         true},
        {"an owner of an earlier version",
         [](forward_watch& watch) { watch.reject_check(); }, false},
        {"an answer during the check",
         [](forward_watch& watch)
         {
             watch.remove(1);
             CHECK(watch.end_check({}, start + 300ms).empty());
         },
         false},
        {"a new owner during the check",
         [](forward_watch& watch)
         {
             watch.add(2, 2, 0, 0, start + 5s);
             CHECK(watch.end_check({}, start + 300ms).empty());
         },
         false},
    };
    for (auto const& each : rows)
    {
        CAPTURE(std::string(each.name_));
        forward_watch watch{delay};
        watch.add(1, 1, 0, 0, start);
        for (auto now = start; now < start + 2s; now += 50ms)
        {
            if (watch.begin_check(now).empty())
            {
                continue;
            }
            // One check is in flight at a time.
            CHECK(watch.begin_check(now).empty());
            each.play_(watch);
            CHECK(watch.begin_check(now + 600ms).empty() !=
                  each.is_checked_again_);
            break;
        }
    }
}
