#include "kernel/log/log_tail.hpp"

#include "kernel/log/fake_log.hpp"
#include "property.hpp"

#include <string>
#include <vector>

using namespace cuminfold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

stream_name const stream{"fleet"};

fake_log make_log(std::uint64_t entries)
{
    fake_log log;
    for (std::uint64_t i = 0; i < entries; ++i)
    {
        log.append({});
    }
    return log;
}

} // namespace

TEST_CASE("entries are handed on once and in order over any answers")
{
    check_property("in order, once",
                   [](std::vector<std::uint16_t> const& draws)
                   {
                       fake_log const log = make_log(40);
                       log_tail_options options;
                       options.batch_ = 7;
                       log_tail tail(stream, options);
                       time_point now{};
                       std::vector<log_read_result> answers;
                       log_offset expected = 0;
                       auto const give = [&](log_read_result const& answer)
                       {
                           for (auto const& entry : tail.take(now, answer))
                           {
                               RC_ASSERT(entry.offset_ == expected);
                               ++expected;
                           }
                       };
                       for (auto const draw : draws)
                       {
                           now += milliseconds{draw % 700};
                           if (auto const read = tail.poll(now))
                           {
                               answers.push_back(log.read(*read));
                           }
                           if (answers.empty())
                           {
                               continue;
                           }
                           // Any earlier answer again, whole, truncated,
                           // shuffled or none.
                           auto answer = answers[draw / 8 % answers.size()];
                           switch (draw % 8)
                           {
                           case 0:
                               answer.entries_.resize(answer.entries_.size() /
                                                      2);
                               break;
                           case 1:
                               std::reverse(answer.entries_.begin(),
                                            answer.entries_.end());
                               break;
                           case 2:
                               answer.status_ = log_read_status::unavailable;
                               break;
                           case 3:
                               answer.end_ = 3;
                               break;
                           default:
                               break;
                           }
                           give(answer);
                       }
                       for (int i = 0; i < 100 && expected != log.end(); ++i)
                       {
                           now += seconds{5};
                           if (auto const read = tail.poll(now))
                           {
                               give(log.read(*read));
                           }
                       }
                       RC_ASSERT(expected == log.end());
                       RC_ASSERT(tail.caught_up());
                   });
}

TEST_CASE("an answer that brings nothing on is not asked again at once")
{
    struct row
    {
        char const* what_;
        log_read_status status_;
        log_offset earliest_;
        log_offset end_;
    };
    for (auto const& row :
         {row{"an end without entries", log_read_status::ok, 0, 1000},
          row{"a gap that is none", log_read_status::gap, 0, 5},
          row{"no answer", log_read_status::unavailable, 0, 0}})
    {
        CAPTURE(row.what_);
        log_tail tail(stream, {});
        time_point const now{};
        REQUIRE(tail.poll(now));
        log_read_result answer;
        answer.stream_ = stream;
        answer.status_ = row.status_;
        answer.earliest_ = row.earliest_;
        answer.end_ = row.end_;
        tail.take(now, answer);
        CHECK_FALSE(tail.gap());
        CHECK_FALSE(tail.caught_up());
        CHECK_FALSE(tail.poll(now));
        CHECK(tail.poll(now + milliseconds{60}));
    }
}

TEST_CASE("a reader behind retention says so and reads nothing")
{
    fake_log log = make_log(10);
    log.drop_before(4);
    log_tail tail(stream, {});
    time_point const now{};
    CHECK(tail.take(now, log.read(*tail.poll(now))).empty());
    CHECK(tail.gap());
    CHECK(tail.earliest() == 4);
    CHECK_FALSE(tail.poll(now + seconds{10}));
    tail.restart_at(6);
    CHECK(tail.take(now, log.read(*tail.poll(now))).size() == 4);
    CHECK(tail.caught_up());
}
