#include "kernel/log/log_tail.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

log_tail::log_tail(stream_name stream, log_tail_options options)
    : stream_(std::move(stream)), options_(options),
      backoff_(options.backoff_first_, options.backoff_limit_,
               stable_hash(stream_.text()))
{
}

std::optional<log_read> log_tail::poll(time_point now)
{
    if (sent_at_ && now - *sent_at_ > options_.timeout_ + options_.wait_)
    {
        sent_at_.reset();
        fail(now);
    }
    if (sent_at_ || gap_ || now < not_before_)
    {
        return std::nullopt;
    }
    sent_at_ = now;
    return log_read{stream_, next_, options_.batch_,
                    caught_up_ ? options_.wait_ : duration{0}};
}

std::vector<log_entry> log_tail::take(time_point now,
                                      log_read_result const& result)
{
    if (!sent_at_ || result.from_ != next_)
    {
        return {};
    }
    sent_at_.reset();
    if (result.status_ == log_read_status::unavailable)
    {
        fail(now);
        return {};
    }
    reachable_ = true;
    earliest_ = std::max(earliest_, result.earliest_);
    known_end_ = std::max(known_end_, result.end_);
    if (result.status_ == log_read_status::gap)
    {
        gap_ = result.earliest_ > next_;
        caught_up_ = false;
        fail_unless(now, gap_);
        return {};
    }
    std::vector<log_entry> fresh;
    for (auto const& entry : result.entries_)
    {
        if (entry.offset_ != next_)
        {
            break;
        }
        fresh.push_back(entry);
        ++next_;
    }
    // An answer may be truncated, or name an end that is not true yet.
    caught_up_ = next_ >= known_end_;
    fail_unless(now, caught_up_ || !fresh.empty());
    return fresh;
}

void log_tail::restart_at(log_offset next)
{
    next_ = next;
    gap_ = false;
    caught_up_ = false;
    sent_at_.reset();
}

void log_tail::fail(time_point now)
{
    reachable_ = false;
    not_before_ = now + backoff_.next();
}

void log_tail::fail_unless(time_point now, bool progress)
{
    if (progress)
    {
        backoff_.reset();
        return;
    }
    not_before_ = now + backoff_.next();
}

} // namespace cuminfold
