#include "node/config_follower.hpp"

#include "node/node_clock.hpp"
#include "platform/body_codec.hpp"
#include "platform/config_format.hpp"

#include <string>

namespace cuminfold
{

namespace
{

/// How long one read waits for changes, which bounds the configuration's age.
/// Several such reads fit into the time within which a change must take
/// effect.
constexpr duration config_read_wait = std::chrono::milliseconds{700};
constexpr char const* config_key = "config";
constexpr char const* wave_prefix = "wave/";

} // namespace

config_follower::config_follower(boost::asio::io_context& context,
                                 platform::store_client& store,
                                 decision_log& log,
                                 std::function<void()> on_changed)
    : log_(log), on_changed_(std::move(on_changed))
{
    topic_handler handler;
    handler.on_snapshot_ = [this](auto const& records) { on_records(records); };
    handler.on_records_ = [this](auto const& records, time_point)
    { on_records(records); };
    handler.on_reachable_changed_ = [this](bool reachable)
    {
        auto const now = node_now();
        store_lost_at_ = reachable ? std::nullopt : std::make_optional(now);
        log_.write(reachable ? "store_regained" : "store_lost",
                   {{"topic", "operators"}}, now);
    };
    follower_ = std::make_shared<topic_follower>(
        context, store, platform::store_topic::operators, config_read_wait,
        std::move(handler));
}

void config_follower::start()
{
    follower_->start();
}

void config_follower::stop()
{
    follower_->stop();
}

void config_follower::on_records(
    std::vector<platform::keyed_record> const& records)
{
    for (auto const& record : records)
    {
        if (!record.value_)
        {
            continue;
        }
        if (record.key_ == config_key)
        {
            apply_config(*record.value_);
        }
        else if (record.key_.rfind(wave_prefix, 0) == 0)
        {
            apply_wave(record.key_, *record.value_);
        }
    }
    on_changed_();
}

void config_follower::apply_config(std::string const& bytes)
{
    try
    {
        std::size_t skipped = 0;
        auto config = platform::read_config(bytes, skipped);
        bool const newer = config.version_ > config_.version_;
        newest_unreadable_ = false;
        log_.write("config_read",
                   {{"version", std::to_string(config.version_)},
                    {"routes", std::to_string(config.routes_.size())},
                    {"skipped", std::to_string(skipped)},
                    {"outcome", newer ? "in_force" : "not_newer"}},
                   node_now());
        if (newer)
        {
            config_ = std::move(config);
        }
    }
    catch (platform::format_error const& error)
    {
        newest_unreadable_ = true;
        log_.write("config_unreadable", {{"error", error.what()}}, node_now());
    }
}

void config_follower::apply_wave(std::string const& key,
                                 std::string const& bytes)
{
    try
    {
        auto wave = platform::read_wave(bytes);
        if (waves_.count(wave.number_) == 0)
        {
            log_.write("wave_read",
                       {{"wave", std::to_string(wave.number_)},
                        {"vms", std::to_string(wave.vms_.size())},
                        {"at_once", std::to_string(wave.max_at_once_)}},
                       node_now());
        }
        waves_[wave.number_] = std::move(wave);
    }
    catch (platform::format_error const& error)
    {
        log_.write("wave_unreadable", {{"key", key}, {"error", error.what()}},
                   node_now());
    }
}

} // namespace cuminfold
