#include "kernel/log/log_writer.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

log_writer::log_writer(stream_name stream, incarnation writer,
                       log_writer_options options)
    : stream_(std::move(stream)), writer_(std::move(writer)), options_(options)
{
}

record_id log_writer::propose(record_body body, log_offset config_offset)
{
    record_id id{writer_, next_sequence_++};
    pending entry;
    entry.record_ = record{id, record_version, config_offset, std::move(body)};
    waiting_.emplace(id.sequence_, std::move(entry));
    return id;
}

bool log_writer::withdraw(record_id const& id)
{
    auto const found = waiting_.find(id.sequence_);
    if (found == waiting_.end() || found->second.sent_)
    {
        return false;
    }
    waiting_.erase(found);
    return true;
}

std::optional<log_append> log_writer::poll(time_point now)
{
    if (ticket_ && now - sent_at_ > options_.timeout_)
    {
        ticket_.reset();
    }
    if (ticket_ || waiting_.empty() || now < not_before_)
    {
        return std::nullopt;
    }
    log_append append;
    append.stream_ = stream_;
    append.ticket_ = next_ticket_++;
    for (auto& item : waiting_)
    {
        if (append.records_.size() == options_.group_limit_)
        {
            break;
        }
        item.second.sent_ = true;
        append.records_.push_back(item.second.record_);
    }
    ticket_ = append.ticket_;
    sent_at_ = now;
    return append;
}

bool log_writer::settled(record_id const& id) const
{
    return waiting_.count(id.sequence_) == 0;
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
        // The records come back by the reader; until then they are not sent
        // again, unless that takes longer than a lost reply would.
        backoff_ = duration{0};
        not_before_ = now + options_.backoff_first_;
        return;
    }
    backoff_ = std::clamp(backoff_ * 2, options_.backoff_first_,
                          options_.backoff_limit_);
    not_before_ = now + backoff_;
}

void log_writer::read_back(log_entry const& entry)
{
    for (auto const& record : entry.records_)
    {
        if (record.id_.writer_ == writer_)
        {
            waiting_.erase(record.id_.sequence_);
            not_before_ = time_point{};
        }
    }
}

} // namespace cuminfold
