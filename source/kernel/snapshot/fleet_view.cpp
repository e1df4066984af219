#include "kernel/snapshot/fleet_view.hpp"

#include "kernel/streams.hpp"

#include <chrono>
#include <utility>

namespace cuminfold
{

namespace
{

/// Peers are asked again after this.
constexpr duration ask_interval = std::chrono::seconds{1};
/// Answers of peers are waited for from the first one on.
constexpr duration answer_window = std::chrono::milliseconds{500};
/// Entries of `fleet` that wait for `config` at most.
constexpr std::size_t backlog_limit = 4096;

} // namespace

fleet_view::fleet_view(log_tail_options options, config_merger merger,
                       std::shared_ptr<snapshot_codec const> codec,
                       bool watch_snapshots)
    : codec_(std::move(codec)), config_(std::move(merger)),
      config_follower_(config_stream(), options, watch_snapshots && codec_),
      fleet_follower_(fleet_stream(), options, watch_snapshots && codec_),
      config_answers_(config_stream()), fleet_answers_(fleet_stream())
{
}

std::vector<log_read> fleet_view::poll(time_point now)
{
    auto reads = config_follower_.poll(now);
    for (auto& read :
         fleet_follower_.poll(now, fleet_backlog_.size() >= backlog_limit))
    {
        reads.push_back(std::move(read));
    }
    return reads;
}

void fleet_view::take(time_point now, log_read_result const& result)
{
    for (auto& entry : config_follower_.take(now, result))
    {
        config_.apply(entry);
        folded_config_.push_back(std::move(entry));
    }
    for (auto& entry : fleet_follower_.take(now, result))
    {
        fleet_backlog_.push_back(std::move(entry));
    }
    fold_fleet();
    load_snapshots();
    was_caught_up_ = was_caught_up_ || caught_up();
}

void fleet_view::fold_fleet()
{
    while (!fleet_backlog_.empty() &&
           fleet_.apply(fleet_backlog_.front(), config_))
    {
        folded_fleet_.push_back(
            {std::move(fleet_backlog_.front()), fleet_.verdicts()});
        fleet_backlog_.pop_front();
        config_.forget_before(fleet_.data().config_floor_);
    }
    if (!fleet_backlog_.empty() &&
        fleet_.check_config(fleet_backlog_.front(), config_) ==
            fleet_state::config_availability::compacted)
    {
        fleet_follower_.need_snapshot();
    }
}

void fleet_view::load_snapshots()
{
    if (!codec_)
    {
        return;
    }
    while (auto const* offered = config_follower_.offer(config_.next()))
    {
        log_offset const next = offered->next_;
        if (restore_config(offered->bytes_))
        {
            config_follower_.restored(next);
            break;
        }
        config_follower_.reject();
    }
    while (auto const* offered = fleet_follower_.offer(fleet_.next()))
    {
        log_offset const next = offered->next_;
        if (restore_fleet(offered->bytes_))
        {
            fleet_follower_.restored(next);
            break;
        }
        fleet_follower_.reject();
    }
    fold_fleet();
}

bool fleet_view::restore_config(std::string const& bytes)
{
    auto data = codec_->decode_config(bytes);
    if (!data || !config_.restore(std::move(*data)))
    {
        return false;
    }
    folded_config_.clear();
    config_restored_ = true;
    return true;
}

bool fleet_view::restore_fleet(std::string const& bytes)
{
    auto data = codec_->decode_fleet(bytes);
    if (!data || data->fleet_.next_ < fleet_.next() || !config_.pin(data->pin_))
    {
        return false;
    }
    fleet_.restore(std::move(data->fleet_));
    fleet_backlog_.clear();
    folded_fleet_.clear();
    fleet_restored_ = true;
    return true;
}

void fleet_view::settle(log_writer* config_writer, log_writer& fleet_writer)
{
    if (config_restored_ && config_writer != nullptr)
    {
        config_writer->passed_over(config_.window());
    }
    if (fleet_restored_)
    {
        fleet_writer.passed_over(fleet_.data().window_);
    }
    for (auto const& entry : folded_config_)
    {
        if (config_writer != nullptr)
        {
            config_writer->read_back(entry);
        }
    }
    for (auto const& folded : folded_fleet_)
    {
        fleet_writer.read_back(folded.entry_, folded.verdicts_);
    }
    config_restored_ = false;
    fleet_restored_ = false;
    folded_config_.clear();
    folded_fleet_.clear();
}

std::vector<state_request> fleet_view::ask_peers(time_point now)
{
    bool const asked = asked_at_ && now - *asked_at_ < ask_interval;
    if (!codec_ || known() || log_reachable() || asked)
    {
        return {};
    }
    asked_at_ = now;
    return {state_request{config_stream(), config_.next()},
            state_request{fleet_stream(), fleet_.next()}};
}

void fleet_view::take(time_point now, state_reply const& reply)
{
    if (!codec_ || known())
    {
        return;
    }
    auto& answers = reply.chunk_.stream_ == config_stream() ? config_answers_
                                                            : fleet_answers_;
    auto whole = answers.assembler_.add(reply.from_, reply.chunk_);
    if (!whole)
    {
        return;
    }
    if (!first_answer_)
    {
        first_answer_ = now;
    }
    if (!answers.best_ || answers.best_->next_ < whole->next_)
    {
        answers.best_ = std::move(*whole);
    }
}

void fleet_view::pass(time_point now)
{
    if (!first_answer_ || now - *first_answer_ < answer_window)
    {
        return;
    }
    first_answer_.reset();
    auto const config = std::move(config_answers_.best_);
    auto const fleet = std::move(fleet_answers_.best_);
    config_answers_.best_.reset();
    fleet_answers_.best_.reset();
    if (known() || !config || !fleet)
    {
        return;
    }
    if (restore_config(config->bytes_))
    {
        config_follower_.restored(config->next_);
    }
    if (restore_fleet(fleet->bytes_))
    {
        fleet_follower_.restored(fleet->next_);
        from_peers_ = true;
    }
}

std::vector<snapshot_chunk>
fleet_view::answer(state_request const& request) const
{
    bool const of_config = request.stream_ == config_stream();
    bool const of_fleet = request.stream_ == fleet_stream();
    log_offset const next = of_config ? config_.next() : fleet_.next();
    if (!codec_ || !known() || (!of_config && !of_fleet) ||
        next < request.at_least_)
    {
        return {};
    }
    return split_snapshot(request.stream_, next, encode(request.stream_));
}

std::string fleet_view::encode(stream_name const& stream) const
{
    if (stream == config_stream())
    {
        return codec_->encode(config_.data());
    }
    auto const pin = config_.pin_of(fleet_.data().config_floor_);
    return codec_->encode(
        fleet_snapshot{fleet_.data(), pin.value_or(config_pin{})});
}

bool fleet_view::known() const noexcept
{
    return (was_caught_up_ || from_peers_) && fleet_backlog_.empty() &&
           !config_follower_.needed() && !fleet_follower_.needed();
}

bool fleet_view::caught_up() const noexcept
{
    return config_follower_.tail().caught_up() &&
           fleet_follower_.tail().caught_up() && fleet_backlog_.empty();
}

bool fleet_view::log_reachable() const noexcept
{
    return config_follower_.tail().reachable() &&
           fleet_follower_.tail().reachable();
}

std::uint64_t fleet_view::corrupt_snapshots() const noexcept
{
    return config_follower_.corrupt() + fleet_follower_.corrupt() +
           config_answers_.assembler_.corrupt() +
           fleet_answers_.assembler_.corrupt();
}

} // namespace cuminfold
