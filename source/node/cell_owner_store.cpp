#include "node/cell_owner.hpp"

#include "node/node_clock.hpp"
#include "node/node_records.hpp"
#include "wire/cell_codec.hpp"
#include "wire/decode_error.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <stdexcept>
#include <utility>

namespace cuminfold
{

namespace
{

using platform::append_outcome;
using platform::store_topic;

constexpr duration load_retry_interval = std::chrono::milliseconds{150};
constexpr duration first_batch_retry_pause = std::chrono::milliseconds{10};
constexpr duration max_batch_retry_pause = std::chrono::milliseconds{400};
/// Interval at which an owner without batches confirms its epoch.
constexpr duration confirm_interval = std::chrono::milliseconds{500};
/// Interval at which the owner's record is renewed in the store.
constexpr duration heartbeat_interval = std::chrono::milliseconds{300};
/// Key prefixes in the cell's partition.
constexpr char const* job_prefix = "j";
constexpr char const* progress_prefix = "p";
constexpr char const* vm_order_prefix = "v";
constexpr char const* wave_prefix = "w";
constexpr char const* crashes_prefix = "c";
constexpr char const* starts_prefix = "s";
constexpr char const* losses_prefix = "l";
constexpr char const* policy_prefix = "q";
constexpr char const* incarnation_prefix = "b";
constexpr char const* foreign_lease_prefix = "f";
constexpr char const* confirmed_runs_prefix = "r";

char const* key_prefix(record_kind kind)
{
    switch (kind)
    {
    case record_kind::request:
        return job_prefix;
    case record_kind::progress:
        return progress_prefix;
    case record_kind::vm_order:
        return vm_order_prefix;
    case record_kind::wave:
        return wave_prefix;
    case record_kind::crashes:
        return crashes_prefix;
    case record_kind::starts:
        return starts_prefix;
    case record_kind::losses:
        return losses_prefix;
    case record_kind::policy:
        return policy_prefix;
    case record_kind::incarnation:
        return incarnation_prefix;
    case record_kind::foreign_lease:
        return foreign_lease_prefix;
    case record_kind::confirmed_runs:
        return confirmed_runs_prefix;
    }
    return progress_prefix;
}

} // namespace

void cell_owner::load()
{
    environment_.store_.read_newest(
        store_topic::cell,
        [self = shared_from_this()](
            std::optional<platform::topic_content> const& content)
        {
            if (self->stopped_)
            {
                return;
            }
            if (content)
            {
                self->on_content_read(*content);
                return;
            }
            self->call_later(load_retry_interval, &cell_owner::load);
        });
}

void cell_owner::call_later(duration pause, void (cell_owner::*step)())
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(
        environment_.context_, pause);
    timer->async_wait(
        [self = shared_from_this(), timer,
         step](boost::system::error_code error)
        {
            if (!error && !self->stopped_)
            {
                ((*self).*step)();
            }
        });
}

void cell_owner::on_content_read(platform::topic_content const& content)
{
    auto const now = node_now();
    std::map<std::string, std::string> progress;
    std::map<std::string, std::string> crashes;
    std::map<std::string, std::string> starts;
    std::map<std::string, std::string> losses;
    std::map<std::string, std::string> incarnations;
    std::map<std::string, std::string> foreign_leases;
    std::map<std::string, std::string> confirmed_runs;
    std::size_t jobs = 0;
    for (auto const& record : content.records_)
    {
        auto const id = record.key_.substr(1);
        if (!record.value_ || record.value_->empty())
        {
            continue;
        }
        try
        {
            if (record.key_.rfind(job_prefix, 0) == 0)
            {
                cell_.restore(decode_job(*record.value_), now);
                ++jobs;
            }
            else if (record.key_.rfind(progress_prefix, 0) == 0)
            {
                progress[id] = *record.value_;
            }
            else if (record.key_.rfind(crashes_prefix, 0) == 0)
            {
                crashes[id] = *record.value_;
            }
            else if (record.key_.rfind(starts_prefix, 0) == 0)
            {
                starts[id] = *record.value_;
            }
            else if (record.key_.rfind(policy_prefix, 0) == 0)
            {
                cell_.restore_policy(id, *record.value_);
            }
            else if (record.key_.rfind(losses_prefix, 0) == 0)
            {
                losses[id] = *record.value_;
            }
            else if (record.key_.rfind(incarnation_prefix, 0) == 0)
            {
                incarnations[id] = *record.value_;
            }
            else if (record.key_.rfind(foreign_lease_prefix, 0) == 0)
            {
                foreign_leases[id] = *record.value_;
            }
            else if (record.key_.rfind(confirmed_runs_prefix, 0) == 0)
            {
                confirmed_runs[id] = *record.value_;
            }
            else if (record.key_.rfind(vm_order_prefix, 0) == 0)
            {
                fleet_.restore_order(vm_id{id}, *record.value_, now);
            }
            else if (record.key_.rfind(wave_prefix, 0) == 0)
            {
                fleet_.restore_wave(std::stoll(id));
            }
        }
        catch (std::exception const& error)
        {
            environment_.log_.write(
                "record_skipped",
                {{"key", record.key_}, {"error", error.what()}}, now);
        }
    }
    auto const restore_each =
        [&](char const* prefix,
            std::map<std::string, std::string> const& records,
            auto const& restore)
    {
        for (auto const& item : records)
        {
            try
            {
                restore(item.first, item.second);
            }
            catch (std::exception const& error)
            {
                environment_.log_.write(
                    "record_skipped",
                    {{"key", prefix + item.first}, {"error", error.what()}},
                    now);
            }
        }
    };
    restore_each(progress_prefix, progress,
                 [&](std::string const& job, std::string const& bytes)
                 { cell_.restore_progress(job, decode_progress(bytes), now); });
    restore_each(crashes_prefix, crashes,
                 [&](std::string const& job, std::string const& text)
                 { cell_.restore_crash_counts(job, text, now); });
    restore_each(starts_prefix, starts,
                 [&](std::string const& job, std::string const& text)
                 { cell_.restore_start_counts(job, text); });
    restore_each(losses_prefix, losses,
                 [&](std::string const& job, std::string const& text)
                 { cell_.restore_lost_runs(job, text, now); });
    restore_each(confirmed_runs_prefix, confirmed_runs,
                 [&](std::string const& job, std::string const& text)
                 { cell_.restore_confirmed_runs(job, text); });
    restore_each(incarnation_prefix, incarnations,
                 [&](std::string const& worker, std::string const& start)
                 { cell_.restore_incarnation(worker, start, now); });
    restore_each(foreign_lease_prefix, foreign_leases,
                 [&](std::string const& worker, std::string const& text)
                 { cell_.restore_foreign_lease(worker, text, now); });
    environment_.log_.write(
        "cell_loaded",
        {{"epoch", std::to_string(record_.epoch_)},
         {"open_jobs", std::to_string(jobs)},
         {"records", std::to_string(content.records_.size())}},
        now);
    content_ready_ = true;
    follower_->start();
    serve_if_ready();
}

void cell_owner::append_batch()
{
    if (batch_in_flight_)
    {
        return;
    }
    auto const batch = cell_.next_batch(node_now());
    if (!batch)
    {
        return;
    }
    batch_ = {};
    batch_.topic_ = store_topic::cell;
    batch_.epoch_ = record_.epoch_;
    batch_.sequence_ = ++sequence_;
    for (auto const& record : batch->records_)
    {
        platform::keyed_record encoded;
        encoded.key_ = key_prefix(record.kind_) + record.name_;
        if (record.request_)
        {
            encoded.value_ = encode_job(*record.request_);
        }
        else if (record.progress_)
        {
            encoded.value_ = encode_progress(*record.progress_);
        }
        else if (record.text_)
        {
            encoded.value_ = *record.text_;
        }
        batch_.records_.push_back(std::move(encoded));
    }
    batch_in_flight_ = true;
    batch_retry_pause_ = first_batch_retry_pause;
    send_batch();
}

void cell_owner::send_batch()
{
    auto const sent = node_now();
    environment_.store_.append(
        batch_, append_timeout_.timeout(),
        [self = shared_from_this(), sent](platform::append_result const& result)
        {
            if (!self->stopped_)
            {
                self->on_batch_response(result, sent);
            }
        });
}

void cell_owner::on_batch_response(platform::append_result const& result,
                                   time_point sent)
{
    auto const now = node_now();
    environment_.metrics_.observe("cuminfold_append", now - sent);
    on_append_response(result, sent);
    if (stopped_)
    {
        return;
    }
    if (result.outcome_ == append_outcome::rejected)
    {
        on_batch_rejected(result);
        return;
    }
    if (result.outcome_ == append_outcome::stored)
    {
        if (!batch_rest_.empty())
        {
            batch_.sequence_ = ++sequence_;
        }
        if (!send_rest())
        {
            batch_in_flight_ = false;
            cell_.on_batch_stored(now);
            pump();
        }
        return;
    }
    environment_.log_.write("append_repeated",
                            {{"sequence", std::to_string(batch_.sequence_)},
                             {"cause", result.detail_}},
                            now);
    call_later(batch_retry_pause_, &cell_owner::send_batch);
    batch_retry_pause_ =
        std::min(batch_retry_pause_ * 2, max_batch_retry_pause);
}

void cell_owner::on_batch_rejected(platform::append_result const& result)
{
    auto const now = node_now();
    environment_.metrics_.add("cuminfold_appends_rejected_total", 1, "cause",
                              result.detail_);
    if (batch_.records_.size() == 1)
    {
        auto const& record = batch_.records_.front();
        environment_.log_.write(
            "record_rejected",
            {{"key", record.key_},
             {"bytes",
              std::to_string(record.value_ ? record.value_->size() : 0)},
             {"cause", result.detail_}},
            now);
        cell_.on_record_rejected(record.key_.substr(1), now);
    }
    else
    {
        environment_.log_.write(
            "batch_rejected",
            {{"records", std::to_string(batch_.records_.size())},
             {"cause", result.detail_}},
            now);
        std::move(batch_.records_.begin(), batch_.records_.end(),
                  std::back_inserter(batch_rest_));
    }
    if (!send_rest())
    {
        // Nothing was stored under this sequence number.
        --sequence_;
        batch_in_flight_ = false;
        cell_.on_batch_stored(now);
        post_pump();
    }
}

bool cell_owner::send_rest()
{
    if (batch_rest_.empty())
    {
        return false;
    }
    batch_.records_.clear();
    batch_.records_.push_back(std::move(batch_rest_.front()));
    batch_rest_.pop_front();
    send_batch();
    return true;
}

void cell_owner::on_append_response(platform::append_result const& result,
                                    time_point sent)
{
    auto const now = node_now();
    if (result.outcome_ == append_outcome::unanswered)
    {
        append_timeout_.unanswered();
    }
    else if (result.outcome_ == append_outcome::stored)
    {
        append_timeout_.answered(now - sent);
        confirmed_at_ = sent;
        cell_.on_epoch_confirmed(sent);
        next_confirm_ = now + confirm_interval;
        if (!unproven_answers_.empty())
        {
            post_pump();
        }
    }
    check_fenced(result);
}

void cell_owner::check_fenced(platform::append_result const& result)
{
    if (result.outcome_ == append_outcome::fenced)
    {
        end_ownership("fenced");
    }
    else if (result.outcome_ == append_outcome::out_of_sequence)
    {
        end_ownership("out_of_sequence");
    }
}

void cell_owner::confirm_epoch()
{
    auto const now = node_now();
    bool const is_due = now >= next_confirm_ || !unproven_answers_.empty();
    if (confirm_in_flight_ || batch_in_flight_ || !is_due)
    {
        return;
    }
    confirm_in_flight_ = true;
    platform::append_call call;
    call.topic_ = store_topic::cell;
    call.epoch_ = record_.epoch_;
    environment_.store_.append(
        call, append_timeout_.timeout(),
        [self = shared_from_this(), now](platform::append_result const& result)
        {
            self->confirm_in_flight_ = false;
            if (self->stopped_)
            {
                return;
            }
            // Repeated at once if the store did not answer.
            bool const unanswered =
                result.outcome_ == append_outcome::unanswered;
            self->next_confirm_ =
                node_now() + (unanswered ? duration{0} : confirm_interval / 2);
            self->on_append_response(result, now);
        });
}

platform::append_call cell_owner::next_heartbeat_call() const
{
    auto record = record_;
    ++record.heartbeat_;
    platform::append_call call;
    call.topic_ = store_topic::owner;
    call.epoch_ = record.epoch_;
    call.sequence_ = heartbeat_sequence_ + 1;
    call.records_.push_back({owner_key, encode_owner(record)});
    return call;
}

void cell_owner::send_heartbeat()
{
    auto const now = node_now();
    if (heartbeat_in_flight_ || now < next_heartbeat_)
    {
        return;
    }
    heartbeat_in_flight_ = true;
    next_heartbeat_ = now + heartbeat_interval;
    environment_.store_.append(
        next_heartbeat_call(), append_timeout_.timeout(),
        [self = shared_from_this()](platform::append_result const& result)
        {
            self->heartbeat_in_flight_ = false;
            if (self->stopped_)
            {
                return;
            }
            if (result.outcome_ == append_outcome::stored)
            {
                ++self->heartbeat_sequence_;
                ++self->record_.heartbeat_;
            }
            self->check_fenced(result);
        });
}

} // namespace cuminfold
