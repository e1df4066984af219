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

/// Entries and bytes of text of one stream that are kept for readers.
constexpr std::size_t cache_entries = 4096;
constexpr std::size_t cache_bytes = 4 * 1024 * 1024;
/// Bytes of text that one answer carries.
constexpr std::size_t answer_bytes = 1024 * 1024;
/// A reader is held at most for this.
constexpr duration longest_wait = std::chrono::seconds{5};
/// A read of the platform without an answer is given up after this.
constexpr duration upstream_timeout = std::chrono::seconds{8};
/// Readers that wait at most.
constexpr std::size_t reader_limit = 1024;

/// A peer's read that waits for its answer.
struct waiting_reader
{
    incarnation peer_;
    std::uint64_t ticket_ = 0;
    log_read read_;
    time_point until_{};
};

std::size_t bytes_of(log_entry const& entry)
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
    void take(log_read_result const& result)
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
                bytes_ += bytes_of(entry);
                entries_.push_back(entry);
            }
        }
        bound();
    }

    log_offset next() const
    {
        return first_ + entries_.size();
    }

    bool holds(log_offset from) const
    {
        return from >= first_ && from < next();
    }

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
            bytes += bytes_of(entry);
            if (bytes > answer_bytes && !result.entries_.empty())
            {
                break;
            }
            result.entries_.push_back(entry);
        }
        return result;
    }

private:
    void bound()
    {
        while (entries_.size() > cache_entries || bytes_ > cache_bytes)
        {
            bytes_ -= bytes_of(entries_.front());
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

/// Reads and appends to the platform's log for gateways, and for controllers
/// that cannot reach it.
///
/// The streams that this controller follows are served from what it has read
/// itself. Of other streams, readers at one offset share one read of the
/// platform. What comes from a peer is never passed on to another peer.
class log_relay : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (auto const* received = std::get_if<peer_message>(&event))
        {
            pass_on(context, *received);
        }
        else if (auto const* own = std::get_if<log_read_result>(&event))
        {
            follow(context, *own);
        }
        else if (auto const* read = std::get_if<relay_read_done>(&event))
        {
            finish(context, *read);
        }
        else if (auto const* append = std::get_if<relay_append_done>(&event))
        {
            context.actions_.emplace_back(send_message{
                append->peer_.node_, message{relayed_append_result{
                                         append->ticket_, append->result_}}});
        }
        else if (std::holds_alternative<tick>(event))
        {
            expire(context);
        }
        else if (auto const* lost = std::get_if<peer_disconnected>(&event))
        {
            forget(lost->node_);
        }
    }

private:
    /// A read of the platform that readers share.
    struct upstream
    {
        std::uint64_t ticket_ = 0;
        time_point until_{};
        std::vector<waiting_reader> readers_;
    };
    using position = std::pair<stream_name, log_offset>;

    void pass_on(duty_context& context, peer_message const& received)
    {
        auto const& body = received.message_.body_;
        if (auto const* read = std::get_if<relayed_read>(&body))
        {
            duration const wait =
                std::clamp(read->read_.wait_, duration{0}, longest_wait);
            serve(context, {received.from_, read->ticket_, read->read_,
                            context.now_ + wait});
        }
        else if (auto const* append = std::get_if<relayed_append>(&body))
        {
            context.actions_.emplace_back(
                relay_append{received.from_, append->ticket_, append->append_});
        }
    }

    static log_tail const* followed(duty_context const& context,
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

    void serve(duty_context& context, waiting_reader reader)
    {
        log_read const& read = reader.read_;
        log_tail const* tail = followed(context, read.stream_);
        entry_cache const& cache = caches_[read.stream_];
        if (tail != nullptr && cache.holds(read.from_))
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
            ask_platform(context, std::move(reader));
        }
    }

    void hold(duty_context& context, waiting_reader reader)
    {
        if (reader.until_ <= context.now_ || held_.size() >= reader_limit)
        {
            send(context, reader,
                 caches_[reader.read_.stream_].answer(reader.read_));
            return;
        }
        held_.push_back(std::move(reader));
    }

    void ask_platform(duty_context& context, waiting_reader reader)
    {
        position const at{reader.read_.stream_, reader.read_.from_};
        auto const [place, fresh] = upstreams_.emplace(at, upstream{});
        if (fresh)
        {
            place->second.ticket_ = next_ticket_++;
            place->second.until_ = context.now_ + upstream_timeout;
            context.actions_.emplace_back(relay_read{
                context.settings_.self_, place->second.ticket_, reader.read_});
        }
        place->second.readers_.push_back(std::move(reader));
    }

    void follow(duty_context& context, log_read_result const& own)
    {
        if (followed(context, own.stream_) == nullptr)
        {
            return;
        }
        entry_cache& cache = caches_[own.stream_];
        cache.take(own);
        serve_held(
            context,
            [&](waiting_reader const& reader)
            { return cache.holds(reader.read_.from_); },
            own.stream_);
    }

    template <class Condition>
    void serve_held(duty_context& context, Condition&& due,
                    stream_name const& stream)
    {
        auto const held = std::move(held_);
        held_.clear();
        for (auto const& reader : held)
        {
            if (reader.read_.stream_ == stream && due(reader))
            {
                send(context, reader, caches_[stream].answer(reader.read_));
            }
            else
            {
                held_.push_back(reader);
            }
        }
    }

    void expire(duty_context& context)
    {
        for (auto const& stream : {config_stream(), fleet_stream()})
        {
            bool const reachable = followed(context, stream)->reachable();
            if (!reachable)
            {
                drop_held(context, stream);
            }
            serve_held(
                context,
                [&](waiting_reader const& reader)
                { return context.now_ >= reader.until_; },
                stream);
        }
        for (auto place = upstreams_.begin(); place != upstreams_.end();)
        {
            if (context.now_ < place->second.until_)
            {
                ++place;
                continue;
            }
            answer_all(context, place->second, {});
            place = upstreams_.erase(place);
        }
    }

    /// The log went out of reach: nobody can say that there is nothing new.
    void drop_held(duty_context& context, stream_name const& stream)
    {
        auto const held = std::move(held_);
        held_.clear();
        for (auto const& reader : held)
        {
            if (reader.read_.stream_ == stream)
            {
                send(context, reader, {});
            }
            else
            {
                held_.push_back(reader);
            }
        }
    }

    void finish(duty_context& context, relay_read_done const& done)
    {
        for (auto place = upstreams_.begin(); place != upstreams_.end();
             ++place)
        {
            if (place->second.ticket_ == done.ticket_)
            {
                answer_all(context, place->second, done.result_);
                upstreams_.erase(place);
                return;
            }
        }
    }

    static void answer_all(duty_context& context, upstream const& shared,
                           log_read_result const& result)
    {
        for (auto const& reader : shared.readers_)
        {
            send(context, reader, result);
        }
    }

    static void send(duty_context& context, waiting_reader const& reader,
                     log_read_result result)
    {
        result.stream_ = reader.read_.stream_;
        result.from_ = reader.read_.from_;
        context.actions_.emplace_back(send_message{
            reader.peer_.node_,
            message{relayed_read_result{reader.ticket_, std::move(result)}}});
    }

    void forget(node_id const& node)
    {
        held_.erase(std::remove_if(held_.begin(), held_.end(),
                                   [&](waiting_reader const& reader)
                                   { return reader.peer_.node_ == node; }),
                    held_.end());
    }

    std::map<stream_name, entry_cache> caches_;
    std::vector<waiting_reader> held_;
    std::map<position, upstream> upstreams_;
    std::uint64_t next_ticket_ = 1;
};

registrar<controller_duty> const registered{
    "log_relay",
    [](controller_settings const&) { return std::make_unique<log_relay>(); }};

} // namespace

} // namespace cuminfold
