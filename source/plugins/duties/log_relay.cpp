#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/record_value.hpp"
#include "kernel/registry.hpp"
#include "kernel/snapshot/fleet_view.hpp"
#include "kernel/streams.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace cuminfold
{

namespace
{

/// Bounds of the cache of one stream, in entries and in bytes of text.
constexpr std::size_t max_cache_entries = 4096;
constexpr std::size_t max_cache_bytes = 4 * 1024 * 1024;
/// Bytes of text in one answer; a single larger entry is still sent.
constexpr std::size_t max_answer_bytes = 1024 * 1024;
/// Upper bound of the time that a reader is held for new entries.
constexpr duration max_wait = std::chrono::seconds{5};
/// A read of the platform's log that has no answer fails after this time.
constexpr duration upstream_timeout = std::chrono::seconds{8};
/// Readers that are held at the same time.
constexpr std::size_t max_waiting_readers = 1024;

/// A read request of a peer that has not been answered.
struct waiting_reader
{
    incarnation peer_;
    std::uint64_t ticket_ = 0;
    log_read read_;
    time_point deadline_{};
};

std::size_t text_bytes_of(log_entry const& entry)
{
    std::size_t bytes = 0;
    for (auto const& item : entry.records_)
    {
        bytes += text_bytes(item.body_);
    }
    return bytes;
}

/// The latest entries of a stream that this controller follows.
class entry_cache
{
public:
    /// Appends the entries of a successful read, and starts anew if they do not
    /// follow on the cached ones.
    void add(log_read_result const& result)
    {
        if (result.status_ != log_read_status::ok)
        {
            return;
        }
        earliest_ = std::max(earliest_, result.earliest_);
        end_ = std::max(end_, result.end_);
        if (entries_.empty() || result.from_ > next())
        {
            entries_.clear();
            bytes_ = 0;
            first_ = result.from_;
        }
        for (auto const& entry : result.entries_)
        {
            if (entry.offset_ == next())
            {
                bytes_ += text_bytes_of(entry);
                entries_.push_back(entry);
            }
        }
        evict();
    }

    /// Returns the offset after the last cached entry.
    log_offset next() const
    {
        return first_ + entries_.size();
    }

    bool contains(log_offset from) const
    {
        return from >= first_ && from < next();
    }

    /// Returns the cached entries from the offset of the read, bounded by its
    /// limit and by `max_answer_bytes`. The offset must be cached or `next()`.
    log_read_result answer(log_read const& read) const
    {
        log_read_result result;
        result.stream_ = read.stream_;
        result.from_ = read.from_;
        result.status_ = log_read_status::ok;
        result.earliest_ = std::min(earliest_, read.from_);
        result.end_ = std::max(end_, next());
        std::size_t bytes = 0;
        log_offset const stop =
            std::min<log_offset>(next(), read.from_ + read.limit_);
        for (log_offset at = read.from_; at < stop; ++at)
        {
            auto const& entry = entries_[at - first_];
            bytes += text_bytes_of(entry);
            if (bytes > max_answer_bytes && !result.entries_.empty())
            {
                break;
            }
            result.entries_.push_back(entry);
        }
        return result;
    }

private:
    void evict()
    {
        while (entries_.size() > max_cache_entries || bytes_ > max_cache_bytes)
        {
            bytes_ -= text_bytes_of(entries_.front());
            entries_.pop_front();
            ++first_;
        }
    }

    log_offset first_ = 0;
    log_offset earliest_ = 0;
    log_offset end_ = 0;
    std::size_t bytes_ = 0;
    std::deque<log_entry> entries_;
};

/// Reads and appends to the platform's log on behalf of gateways, and of
/// controllers that cannot reach it.
///
/// Reads of the streams that this controller follows are answered from the
/// entries that it has read itself. For other streams, readers at the same
/// offset share one read of the platform. Requests from a peer are never
/// forwarded to another peer.
class log_relay : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* received = std::get_if<peer_message>(&event))
        {
            on_peer_message(context, *received);
        }
        else if (auto const* result = std::get_if<log_read_result>(&event))
        {
            on_own_read(context, *result);
        }
        else if (auto const* read = std::get_if<relay_read_done>(&event))
        {
            on_relay_read_done(context, *read);
        }
        else if (auto const* append = std::get_if<relay_append_done>(&event))
        {
            context.actions_.emplace_back(send_message{
                append->peer_.node_, message{relayed_append_result{
                                         append->ticket_, append->result_}}});
        }
        else if (std::holds_alternative<tick>(event))
        {
            on_tick(context);
        }
        else if (auto const* lost = std::get_if<peer_disconnected>(&event))
        {
            on_peer_lost(lost->node_);
        }
    }

private:
    /// A read of the platform's log that several readers share.
    struct upstream_read
    {
        std::uint64_t ticket_ = 0;
        time_point deadline_{};
        std::vector<waiting_reader> readers_;
    };
    using read_position = std::pair<stream_name, log_offset>;

    void on_peer_message(duty_context& context, peer_message const& received)
    {
        auto const& body = received.message_.body_;
        if (auto const* read = std::get_if<relayed_read>(&body))
        {
            duration const wait =
                std::clamp(read->read_.wait_, duration{0}, max_wait);
            serve(context, {received.from_, read->ticket_, read->read_,
                            context.now_ + wait});
        }
        else if (auto const* append = std::get_if<relayed_append>(&body))
        {
            context.actions_.emplace_back(
                relay_append{received.from_, append->ticket_, append->append_});
        }
    }

    /// Returns the tail of a stream that this controller follows, else null.
    static log_tail const* tail_of(duty_context const& context,
                                   stream_name const& stream)
    {
        if (stream == config_stream())
        {
            return &context.view_->config_follower().tail();
        }
        if (stream == fleet_stream())
        {
            return &context.view_->fleet_follower().tail();
        }
        return nullptr;
    }

    /// Answers a read from the cache, holds it until new entries arrive, or
    /// forwards it to the platform's log.
    void serve(duty_context& context, waiting_reader reader)
    {
        log_read const& read = reader.read_;
        log_tail const* tail = tail_of(context, read.stream_);
        entry_cache const& cache = caches_[read.stream_];
        if (tail != nullptr && cache.contains(read.from_))
        {
            send(context, reader, cache.answer(read));
        }
        else if (tail != nullptr && read.from_ == cache.next() &&
                 tail->caught_up() && tail->reachable())
        {
            hold(context, std::move(reader));
        }
        else
        {
            read_from_platform(context, std::move(reader));
        }
    }

    void hold(duty_context& context, waiting_reader reader)
    {
        if (reader.deadline_ <= context.now_ ||
            held_readers_.size() >= max_waiting_readers)
        {
            send(context, reader,
                 caches_[reader.read_.stream_].answer(reader.read_));
            return;
        }
        held_readers_.push_back(std::move(reader));
    }

    void read_from_platform(duty_context& context, waiting_reader reader)
    {
        read_position const at{reader.read_.stream_, reader.read_.from_};
        auto const [it, inserted] =
            upstream_reads_.emplace(at, upstream_read{});
        if (inserted)
        {
            it->second.ticket_ = next_ticket_++;
            it->second.deadline_ = context.now_ + upstream_timeout;
            context.actions_.emplace_back(relay_read{
                context.settings_.self_, it->second.ticket_, reader.read_});
        }
        it->second.readers_.push_back(std::move(reader));
    }

    void on_own_read(duty_context& context, log_read_result const& result)
    {
        if (tail_of(context, result.stream_) == nullptr)
        {
            return;
        }
        entry_cache& cache = caches_[result.stream_];
        cache.add(result);
        serve_held(
            context,
            [&](waiting_reader const& reader)
            { return cache.contains(reader.read_.from_); },
            result.stream_);
    }

    /// Answers the held readers of the stream for which `is_due` returns true.
    template <class Condition>
    void serve_held(duty_context& context, Condition&& is_due,
                    stream_name const& stream)
    {
        auto const readers = std::move(held_readers_);
        held_readers_.clear();
        for (auto const& reader : readers)
        {
            if (reader.read_.stream_ == stream && is_due(reader))
            {
                send(context, reader, caches_[stream].answer(reader.read_));
            }
            else
            {
                held_readers_.push_back(reader);
            }
        }
    }

    void on_tick(duty_context& context)
    {
        for (auto const& stream : {config_stream(), fleet_stream()})
        {
            bool const reachable = tail_of(context, stream)->reachable();
            if (!reachable)
            {
                fail_held(context, stream);
            }
            serve_held(
                context,
                [&](waiting_reader const& reader)
                { return context.now_ >= reader.deadline_; },
                stream);
        }
        for (auto it = upstream_reads_.begin(); it != upstream_reads_.end();)
        {
            if (context.now_ < it->second.deadline_)
            {
                ++it;
                continue;
            }
            answer_all(context, it->second, {});
            it = upstream_reads_.erase(it);
        }
    }

    /// Fails the held readers of a stream. The log is unreachable, so an empty
    /// answer would wrongly state that there are no new entries.
    void fail_held(duty_context& context, stream_name const& stream)
    {
        auto const readers = std::move(held_readers_);
        held_readers_.clear();
        for (auto const& reader : readers)
        {
            if (reader.read_.stream_ == stream)
            {
                send(context, reader, {});
            }
            else
            {
                held_readers_.push_back(reader);
            }
        }
    }

    void on_relay_read_done(duty_context& context, relay_read_done const& done)
    {
        for (auto it = upstream_reads_.begin(); it != upstream_reads_.end();
             ++it)
        {
            if (it->second.ticket_ == done.ticket_)
            {
                answer_all(context, it->second, done.result_);
                upstream_reads_.erase(it);
                return;
            }
        }
    }

    static void answer_all(duty_context& context, upstream_read const& shared,
                           log_read_result const& result)
    {
        for (auto const& reader : shared.readers_)
        {
            send(context, reader, result);
        }
    }

    /// Sends a result to a reader. A default result reports that the log is
    /// unreachable.
    static void send(duty_context& context, waiting_reader const& reader,
                     log_read_result result)
    {
        result.stream_ = reader.read_.stream_;
        result.from_ = reader.read_.from_;
        context.actions_.emplace_back(send_message{
            reader.peer_.node_,
            message{relayed_read_result{reader.ticket_, std::move(result)}}});
    }

    void on_peer_lost(node_id const& node)
    {
        held_readers_.erase(
            std::remove_if(held_readers_.begin(), held_readers_.end(),
                           [&](waiting_reader const& reader)
                           { return reader.peer_.node_ == node; }),
            held_readers_.end());
    }

    std::map<stream_name, entry_cache> caches_;
    std::vector<waiting_reader> held_readers_;
    std::map<read_position, upstream_read> upstream_reads_;
    std::uint64_t next_ticket_ = 1;
};

registrar<controller_duty> const registered{
    "log_relay",
    [](controller_settings const&) { return std::make_unique<log_relay>(); }};

} // namespace

} // namespace cuminfold
