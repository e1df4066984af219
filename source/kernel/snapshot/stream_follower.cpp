#include "kernel/snapshot/stream_follower.hpp"

#include "kernel/streams.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

/// Whole snapshots that are kept: the newest, and one to fall back on.
constexpr std::size_t whole_limit = 2;
/// Entries of chunks that one read asks for; they are large.
constexpr std::uint32_t snapshot_batch = 8;

log_tail_options with_small_batch(log_tail_options options)
{
    options.batch_ = snapshot_batch;
    return options;
}

} // namespace

stream_follower::stream_follower(stream_name stream, log_tail_options options,
                                 bool watch)
    : tail_(stream, options),
      snapshots_(snapshot_stream(stream), with_small_batch(options)),
      watch_(watch), assembler_(std::move(stream))
{
}

std::vector<log_read> stream_follower::poll(time_point now, bool hold)
{
    std::vector<log_read> reads;
    if (!hold)
    {
        if (auto read = tail_.poll(now))
        {
            reads.push_back(std::move(*read));
        }
    }
    if (watch_ || needed())
    {
        if (auto read = snapshots_.poll(now))
        {
            reads.push_back(std::move(*read));
        }
    }
    return reads;
}

std::vector<log_entry> stream_follower::take(time_point now,
                                             log_read_result const& result)
{
    if (result.stream_ == tail_.stream())
    {
        return tail_.take(now, result);
    }
    if (result.stream_ == snapshots_.stream())
    {
        for (auto const& entry : snapshots_.take(now, result))
        {
            take_chunks(entry);
        }
        if (snapshots_.gap())
        {
            // Older snapshots than the log keeps are not wanted.
            snapshots_.restart_at(snapshots_.earliest());
        }
    }
    return {};
}

void stream_follower::take_chunks(log_entry const& entry)
{
    for (auto const& item : entry.records_)
    {
        auto const* chunk = std::get_if<snapshot_chunk>(&item.body_);
        if (chunk == nullptr)
        {
            continue;
        }
        auto whole = assembler_.add(item.id_.writer_, *chunk);
        if (!whole)
        {
            continue;
        }
        last_snapshot_ = std::max(last_snapshot_.value_or(0), whole->next_);
        whole_.push_back(std::move(*whole));
        std::stable_sort(whole_.begin(), whole_.end(),
                         [](whole_snapshot const& a, whole_snapshot const& b)
                         { return a.next_ < b.next_; });
        if (whole_.size() > whole_limit)
        {
            whole_.pop_front();
        }
    }
}

whole_snapshot const* stream_follower::offer(log_offset folded) const
{
    if (!needed() || !snapshots_.caught_up() || whole_.empty())
    {
        return nullptr;
    }
    whole_snapshot const& newest = whole_.back();
    bool const usable =
        newest.next_ >= tail_.earliest() && newest.next_ > folded;
    return usable ? &newest : nullptr;
}

void stream_follower::restored(log_offset next)
{
    stuck_ = false;
    tail_.restart_at(next);
}

void stream_follower::reject()
{
    ++rejected_;
    whole_.pop_back();
}

} // namespace cuminfold
