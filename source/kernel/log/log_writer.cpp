#include "kernel/log/log_writer.hpp"

#include "kernel/hash.hpp"
#include "kernel/log/record_value.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

constexpr std::size_t outcome_limit = 4096;

std::optional<reason> ignored_reason(record_id const& id,
                                     std::vector<record_verdict> const& all)
{
    auto const found =
        std::find_if(all.begin(), all.end(),
                     [&](record_verdict const& v) { return v.id_ == id; });
    return found == all.end() ? std::nullopt : found->ignored_;
}

} // namespace

log_writer::log_writer(stream_name stream, incarnation writer,
                       log_writer_options options)
    : stream_(std::move(stream)), writer_(std::move(writer)),
      options_(std::move(options)),
      backoff_(options_.backoff_first_, options_.backoff_limit_,
               stable_hash(stream_.text(), writer_.number_))
{
}

record_id log_writer::propose(record_body body, log_offset config_offset)
{
    record_id id{writer_, next_sequence_++};
    pending item;
    item.record_ = record{id, record_version, config_offset, std::move(body)};
    item.proposal_ = id.sequence_;
    waiting_.emplace(id.sequence_, std::move(item));
    return id;
}

bool log_writer::withdraw(record_id const& id)
{
    auto const found = waiting_.find(current(id));
    if (found == waiting_.end() || found->second.sent_)
    {
        return false;
    }
    settle(found, proposal_fate::withdrawn, std::nullopt);
    return true;
}

bool log_writer::due(pending const& item, time_point now) const
{
    return !item.acknowledged_ ||
           now - item.acknowledged_at_ > options_.timeout_;
}

bool log_writer::any_due(time_point now) const
{
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [&](auto const& item) { return due(item.second, now); });
}

bool log_writer::only_low_value(time_point now) const
{
    return std::all_of(waiting_.begin(), waiting_.end(),
                       [&](auto const& item) {
                           return !due(item.second, now) ||
                                  is_low_value(item.second.record_.body_);
                       });
}

std::optional<log_append> log_writer::poll(time_point now)
{
    if (ticket_ && now - sent_at_ > options_.timeout_)
    {
        ticket_.reset();
        ++unknown_appends_;
        fail(now);
    }
    if (ticket_ || now < not_before_ || !any_due(now))
    {
        return std::nullopt;
    }
    if (options_.bucket_ && !options_.bucket_->take(now, only_low_value(now)))
    {
        rate_limited_ += held_back_ ? 0 : 1;
        held_back_ = true;
        return std::nullopt;
    }
    held_back_ = false;
    log_append append;
    append.stream_ = stream_;
    append.ticket_ = next_ticket_++;
    in_append_.clear();
    std::size_t bytes = 0;
    for (auto& [sequence, item] : waiting_)
    {
        if (!due(item, now))
        {
            continue;
        }
        bytes += text_bytes(item.record_.body_);
        bool const full = append.records_.size() == options_.group_limit_ ||
                          bytes > options_.group_bytes_;
        if (full && !append.records_.empty())
        {
            break;
        }
        item.sent_ = true;
        item.acknowledged_.reset();
        in_append_.push_back(sequence);
        append.records_.push_back(item.record_);
    }
    ticket_ = append.ticket_;
    sent_at_ = now;
    return append;
}

bool log_writer::settled(record_id const& id) const
{
    return waiting_.count(current(id)) == 0;
}

std::uint64_t log_writer::current(record_id const& id) const
{
    auto const found = renewed_.find(id.sequence_);
    return found == renewed_.end() ? id.sequence_ : found->second;
}

std::optional<proposal_outcome> log_writer::outcome(record_id const& id) const
{
    if (!settled(id))
    {
        return proposal_outcome{proposal_fate::waiting, id, std::nullopt};
    }
    auto const found = outcomes_.find(id.sequence_);
    return found == outcomes_.end() ? std::nullopt
                                    : std::make_optional(found->second);
}

void log_writer::take(time_point now, log_append_result const& result)
{
    if (result.stream_ != stream_ || !ticket_ || *ticket_ != result.ticket_)
    {
        return;
    }
    ticket_.reset();
    if (result.status_ == log_append_status::appended)
    {
        backoff_.reset();
        for (auto const sequence : in_append_)
        {
            auto const found = waiting_.find(sequence);
            if (found != waiting_.end())
            {
                found->second.acknowledged_ = result.offset_;
                found->second.acknowledged_at_ = now;
            }
        }
        return;
    }
    unknown_appends_ += result.status_ == log_append_status::unknown ? 1 : 0;
    fail(now);
}

void log_writer::fail(time_point now)
{
    not_before_ = now + backoff_.next();
}

void log_writer::read_back(log_entry const& entry,
                           std::vector<record_verdict> const& verdicts)
{
    for (auto const& item : entry.records_)
    {
        std::uint64_t const sequence = item.id_.sequence_;
        if (item.id_.writer_ != writer_ || sequence <= last_read_)
        {
            continue;
        }
        last_read_ = sequence;
        auto const found = waiting_.find(sequence);
        if (found != waiting_.end())
        {
            settle(found, proposal_fate::settled,
                   ignored_reason(item.id_, verdicts));
        }
        renew_overtaken(sequence);
    }
    forget_acknowledgements(entry.offset_);
}

void log_writer::renew_overtaken(std::uint64_t sequence)
{
    while (!waiting_.empty() && waiting_.begin()->first < sequence)
    {
        pending item = std::move(waiting_.begin()->second);
        waiting_.erase(waiting_.begin());
        std::uint64_t const fresh = next_sequence_++;
        item.record_.id_.sequence_ = fresh;
        item.sent_ = false;
        item.acknowledged_.reset();
        renewed_[item.proposal_] = fresh;
        waiting_.emplace(fresh, std::move(item));
        ++overtaken_;
    }
}

void log_writer::forget_acknowledgements(log_offset passed)
{
    for (auto& [sequence, item] : waiting_)
    {
        if (item.acknowledged_ && *item.acknowledged_ <= passed)
        {
            item.acknowledged_.reset();
        }
    }
}

void log_writer::passed_over(record_window const& window)
{
    std::uint64_t const last = window.last(writer_);
    while (!waiting_.empty() && waiting_.begin()->first <= last)
    {
        settle(waiting_.begin(), proposal_fate::unknown, std::nullopt);
    }
    last_read_ = std::max(last_read_, last);
}

void log_writer::settle(std::map<std::uint64_t, pending>::iterator place,
                        proposal_fate fate, std::optional<reason> ignored)
{
    std::uint64_t const proposal = place->second.proposal_;
    outcomes_[proposal] = {fate, place->second.record_.id_, ignored};
    outcome_order_.push_back(proposal);
    renewed_.erase(proposal);
    waiting_.erase(place);
    if (outcome_order_.size() > outcome_limit)
    {
        outcomes_.erase(outcome_order_.front());
        outcome_order_.pop_front();
    }
}

} // namespace cuminfold
