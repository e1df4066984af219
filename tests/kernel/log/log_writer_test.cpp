#include "kernel/log/log_writer.hpp"

#include "kernel/log/fake_log.hpp"
#include "property.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace cuminfold;
using std::chrono::milliseconds;

namespace
{

stream_name const stream{"fleet"};
incarnation const self{node_id{"n"}, 1};

record_body make_body(std::size_t number)
{
    return wave_stopped{wave_name{std::to_string(number)},
                        reason::wave_stopped};
}

/// A log that delays, loses, repeats and reorders appends and their replies,
/// and a reader that applies the window's rule.
struct run
{
    run() : writer_(stream, self, log_writer_options{}) {}

    void send(log_append const& append)
    {
        in_flight_.push_back(append);
    }

    void land(std::size_t index, bool keep)
    {
        log_append const append = in_flight_[index];
        if (!keep)
        {
            in_flight_.erase(in_flight_.begin() +
                             static_cast<std::ptrdiff_t>(index));
        }
        log_offset const offset = log_.append(append.records_);
        replies_.push_back({append.stream_, append.ticket_,
                            log_append_status::appended, offset});
    }

    void read()
    {
        if (read_ == log_.end())
        {
            return;
        }
        log_entry const& entry = log_.entries()[read_++];
        for (auto const& item : entry.records_)
        {
            if (window_.accept(item.id_))
            {
                ++effects_[std::get<wave_stopped>(item.body_).wave_.text()];
            }
        }
        writer_.read_back(entry);
    }

    void poll()
    {
        if (auto append = writer_.poll(now_))
        {
            send(*append);
        }
    }

    /// Lets all go well until nothing waits.
    void finish()
    {
        for (int i = 0; i < 1000 && writer_.waiting() != 0; ++i)
        {
            now_ += milliseconds{2500};
            poll();
            while (!in_flight_.empty())
            {
                land(0, false);
            }
            while (read_ != log_.end())
            {
                read();
            }
        }
    }

    time_point now_{};
    log_writer writer_;
    fake_log log_;
    log_offset read_ = 0;
    record_window window_;
    std::map<std::string, int> effects_;
    std::vector<log_append> in_flight_;
    std::vector<log_append_result> replies_;
};

/// One step of a schedule, by a number drawn at random.
void step(run& r, std::vector<record_id>& ids, std::uint32_t draw)
{
    std::uint32_t const argument = draw / 16;
    std::size_t const flying = r.in_flight_.size();
    switch (draw % 16)
    {
    case 0:
    case 1:
    case 2:
        ids.push_back(r.writer_.propose(make_body(ids.size())));
        break;
    case 3:
    case 4:
    case 5:
        r.poll();
        break;
    case 6:
    case 7:
    case 8:
        if (flying != 0)
        {
            r.land(argument % flying, argument % 5 == 0);
        }
        break;
    case 9:
        if (flying != 0)
        {
            // Lost on the way: its reply says nothing.
            auto const at = r.in_flight_.begin() +
                            static_cast<std::ptrdiff_t>(argument % flying);
            r.writer_.take(r.now_, {stream, at->ticket_,
                                    log_append_status::unknown, no_offset});
            if (argument % 2 == 0)
            {
                r.in_flight_.erase(at);
            }
        }
        break;
    case 10:
    case 11:
        if (!r.replies_.empty())
        {
            r.writer_.take(r.now_, r.replies_[argument % r.replies_.size()]);
        }
        break;
    case 12:
        // An acknowledgement of what never lands.
        if (flying != 0)
        {
            log_append const lie = r.in_flight_[argument % flying];
            r.in_flight_.erase(r.in_flight_.begin() +
                               static_cast<std::ptrdiff_t>(argument % flying));
            r.writer_.take(r.now_,
                           {stream, lie.ticket_, log_append_status::appended,
                            r.log_.end() + argument % 3});
        }
        break;
    case 13:
        r.now_ += milliseconds{argument % 3000};
        break;
    default:
        r.read();
        break;
    }
}

} // namespace

TEST_CASE("each proposal takes effect exactly once over any schedule")
{
    check_property("exactly once",
                   [](std::vector<std::uint32_t> const& draws)
                   {
                       run r;
                       std::vector<record_id> ids;
                       for (auto const draw : draws)
                       {
                           step(r, ids, draw);
                       }
                       r.finish();
                       RC_ASSERT(r.writer_.waiting() == 0U);
                       for (std::size_t i = 0; i < ids.size(); ++i)
                       {
                           RC_ASSERT(r.effects_[std::to_string(i)] == 1);
                           auto const outcome = r.writer_.outcome(ids[i]);
                           RC_ASSERT(outcome.has_value());
                           RC_ASSERT(
                               (outcome->fate_ == proposal_fate::settled));
                       }
                       // What was given up lands after all: nothing happens
                       // again.
                       auto const late = r.in_flight_;
                       for (auto const& append : late)
                       {
                           r.log_.append(append.records_);
                       }
                       while (r.read_ != r.log_.end())
                       {
                           r.read();
                       }
                       for (auto const& effect : r.effects_)
                       {
                           RC_ASSERT(effect.second == 1);
                       }
                   });
}

TEST_CASE("a record that was overtaken is proposed under a new sequence")
{
    run r;
    auto const first = r.writer_.propose(make_body(0));
    auto const lost = r.writer_.poll(r.now_);
    REQUIRE(lost);
    // The log says that it took the append, which does not land.
    r.writer_.take(r.now_, {stream, lost->ticket_, log_append_status::appended,
                            log_offset{5}});
    auto const second = r.writer_.propose(make_body(1));
    r.poll();
    REQUIRE(r.in_flight_.size() == 1);
    CHECK(r.in_flight_[0].records_.size() == 1);
    r.land(0, false);
    r.writer_.take(r.now_, r.replies_.back());
    r.read();
    CHECK(r.writer_.settled(second));
    CHECK_FALSE(r.writer_.settled(first));
    CHECK(r.writer_.overtaken() == 1);
    // The first append lands now: the fold ignores it, the writer too.
    r.log_.append(lost->records_);
    r.read();
    CHECK_FALSE(r.writer_.settled(first));
    CHECK(r.effects_.count("0") == 0);
    r.finish();
    CHECK(r.effects_["0"] == 1);
    REQUIRE(r.writer_.outcome(first));
    CHECK(r.writer_.outcome(first)->id_.sequence_ == 3);
}

TEST_CASE("a proposer learns why its record folded to nothing")
{
    run r;
    auto const id = r.writer_.propose(make_body(0));
    auto const append = r.writer_.poll(r.now_);
    REQUIRE(append);
    r.writer_.read_back({0, append->records_}, {{id, reason::record_stale}});
    auto const outcome = r.writer_.outcome(id);
    REQUIRE(outcome);
    CHECK(outcome->ignored_ == reason::record_stale);
}

TEST_CASE("what a snapshot passed over ends as unknown")
{
    run r;
    auto const old = r.writer_.propose(make_body(0));
    auto const fresh = r.writer_.propose(make_body(1));
    r.poll();
    record_window window;
    window.accept(old);
    r.writer_.passed_over(window);
    CHECK(r.writer_.outcome(old)->fate_ == proposal_fate::unknown);
    CHECK_FALSE(r.writer_.settled(fresh));
}

TEST_CASE("records of low value wait while appends are at their share")
{
    log_writer_options options;
    options.bucket_ = std::make_shared<append_bucket>(10, 4);
    log_writer writer(stream, self, options);
    time_point now{milliseconds{1}};
    auto const append = [&](record_body body)
    {
        writer.propose(std::move(body));
        auto const sent = writer.poll(now);
        if (sent)
        {
            writer.take(now, {stream, sent->ticket_,
                              log_append_status::appended, sent->ticket_});
            writer.read_back({sent->ticket_, sent->records_});
        }
        return sent ? sent->records_.size() : 0;
    };
    CHECK(append(make_body(0)) == 1);
    CHECK(append(make_body(1)) == 1);
    CHECK(append(jobs_forgotten{1}) == 0);
    CHECK(writer.rate_limited() == 1);
    // It goes along with one that may not wait.
    CHECK(append(make_body(2)) == 2);
    CHECK(append(make_body(3)) == 1);
    CHECK(append(make_body(4)) == 0);
    now += milliseconds{150};
    CHECK(writer.poll(now).has_value());
}

TEST_CASE("failures are retried after capped delays with jitter")
{
    log_writer writer(stream, self, {});
    writer.propose(make_body(0));
    time_point now{};
    duration longest{0};
    for (int i = 0; i < 12; ++i)
    {
        time_point const failed = now;
        auto const sent = writer.poll(now);
        REQUIRE(sent);
        writer.take(now, {stream, sent->ticket_, log_append_status::rejected,
                          no_offset});
        time_point at = now;
        while (!log_writer(writer).poll(at))
        {
            at += milliseconds{1};
            REQUIRE(at - failed <= milliseconds{2001});
        }
        longest = std::max(longest, at - failed);
        now = at;
    }
    CHECK(longest > milliseconds{900});
}
