#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/log_writer.hpp"
#include "kernel/registry.hpp"
#include "kernel/snapshot/fleet_view.hpp"
#include "kernel/streams.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

namespace cuminfold
{

namespace
{

/// Time by which a controller waits longer than the one ranked before it.
constexpr duration rank_delay = std::chrono::seconds{30};

/// Bytes of snapshot chunks in one append.
constexpr std::size_t max_append_bytes = 256 * 1024;

log_writer_options with_small_groups(log_writer_options options)
{
    options.group_bytes_ = max_append_bytes;
    return options;
}

/// Writes a snapshot of one stream after enough new entries, or after the
/// snapshot interval if there are any.
class stream_snapshots
{
public:
    stream_snapshots(stream_name stream, controller_settings const& settings)
        : stream_(std::move(stream)),
          writer_(snapshot_stream(stream_), settings.self_,
                  with_small_groups(settings.writer_))
    {
    }

    void handle(duty_context& context, controller_event const& event)
    {
        if (auto const* reply = std::get_if<log_append_result>(&event))
        {
            writer_.take(context.now_, *reply);
        }
        else if (auto const* read = std::get_if<log_read_result>(&event))
        {
            read_back(*read);
        }
        else if (std::holds_alternative<tick>(event))
        {
            write_if_due(context);
        }
        if (auto append = writer_.poll(context.now_))
        {
            context.actions_.emplace_back(std::move(*append));
        }
    }

private:
    stream_follower const& follower(duty_context const& context) const
    {
        return stream_ == config_stream() ? context.view_->config_follower()
                                          : context.view_->fleet_follower();
    }

    log_offset next(duty_context const& context) const
    {
        return stream_ == config_stream() ? context.config_.next()
                                          : context.fleet_.next();
    }

    void read_back(log_read_result const& read)
    {
        if (read.stream_ == snapshot_stream(stream_))
        {
            for (auto const& entry : read.entries_)
            {
                writer_.read_back(entry);
            }
        }
    }

    void write_if_due(duty_context& context)
    {
        auto const last = follower(context).last_snapshot();
        if (!snapshot_seen_at_ || last != last_snapshot_)
        {
            snapshot_seen_at_ = context.now_;
            last_snapshot_ = last;
        }
        // An older program does not understand all records of a newer one, so
        // its snapshot would be incomplete and must not be written.
        bool const complete = context.fleet_.data().unknown_kinds_.empty();
        if (!context.ready_ || !complete || writer_.waiting() != 0)
        {
            return;
        }
        log_offset const from = last.value_or(0);
        log_offset const at = next(context);
        duration const elapsed =
            context.now_ - *snapshot_seen_at_ -
            rank_delay * context.rank_of_all("snapshot-" + stream_.text());
        bool const enough_entries =
            at >= from + context.settings_.snapshot_entries_ &&
            elapsed >= duration{0};
        bool const interval_elapsed =
            at > from && elapsed >= context.settings_.snapshot_interval_;
        if (enough_entries || interval_elapsed)
        {
            write(context, at);
        }
    }

    void write(duty_context& context, log_offset at)
    {
        auto chunks =
            split_snapshot(stream_, at, context.view_->encode(stream_));
        for (auto& chunk : chunks)
        {
            writer_.propose(std::move(chunk));
        }
        // Delays the next snapshot until this one is read back.
        snapshot_seen_at_ = context.now_;
    }

    stream_name stream_;
    log_writer writer_;
    std::optional<time_point> snapshot_seen_at_;
    std::optional<log_offset> last_snapshot_;
};

/// Appends snapshots of the streams well before the log's retention removes
/// their entries. The controller of the lowest rank writes first.
class snapshots : public controller_duty
{
public:
    explicit snapshots(controller_settings const& settings)
        : enabled_(settings.snapshot_codec_ != nullptr),
          config_(config_stream(), settings), fleet_(fleet_stream(), settings)
    {
    }

    void handle(duty_context& context, controller_event const& event) override
    {
        if (enabled_)
        {
            config_.handle(context, event);
            fleet_.handle(context, event);
        }
    }

private:
    bool enabled_;
    stream_snapshots config_;
    stream_snapshots fleet_;
};

registrar<controller_duty> const registered{
    "snapshots", [](controller_settings const& settings)
    { return std::make_unique<snapshots>(settings); }};

} // namespace

} // namespace cuminfold
