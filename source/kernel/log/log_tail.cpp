#include "kernel/log/log_tail.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

log_tail::log_tail(stream_name stream, log_tail_options options)
    : stream_(std::move(stream)), options_(options)
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
    backoff_ = duration{0};
    earliest_ = result.earliest_;
    known_end_ = std::max(known_end_, result.end_);
    if (result.status_ == log_read_status::gap)
    {
        gap_ = true;
        caught_up_ = false;
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
    caught_up_ = next_ >= known_end_;
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
    backoff_ = std::clamp(backoff_ * 2, options_.backoff_first_,
                          options_.backoff_limit_);
    not_before_ = now + backoff_;
}

} // namespace cuminfold
