#ifndef CUMINFOLD_NODE_CONFIG_FOLLOWER_HPP
#define CUMINFOLD_NODE_CONFIG_FOLLOWER_HPP

#include "kernel/cell/fleet_config.hpp"
#include "kernel/cell/wave_order.hpp"
#include "node/decision_log.hpp"
#include "node/topic_follower.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace cuminfold
{

/// Follows the operators' topic: the configuration and the waves. A
/// configuration takes effect only if its version is higher than the present
/// one; records that cannot be decoded are logged and skipped.
class config_follower
{
public:
    /// @param on_changed called after each batch of records that was read
    config_follower(boost::asio::io_context& context,
                    platform::store_client& store, decision_log& log,
                    std::function<void()> on_changed);

    /// Starts the reads; callbacks run on the context's thread.
    void start();
    /// Ends the reads; no callback follows.
    void stop();

    /// The newest configuration that was read; version 0: none yet.
    fleet_config const& config() const noexcept
    {
        return config_;
    }
    /// All waves that were read, by number.
    std::map<wave_number, wave_order> const& waves() const noexcept
    {
        return waves_;
    }
    /// How long the store has been out of reach; 0 while it is in reach.
    duration store_outage(time_point now) const
    {
        return store_lost_at_ ? now - *store_lost_at_ : duration{0};
    }
    /// The latest time at which `config()` is known to have been the newest.
    time_point current_as_of() const noexcept
    {
        return follower_->current_as_of();
    }
    /// As `topic_follower::proven_as_of()`, for `config()` being the newest. No
    /// time at all while the newest configuration can't be decoded.
    time_point proven_as_of() const noexcept
    {
        return newest_unreadable_ ? time_point{} : follower_->proven_as_of();
    }
    /// The store answered the last read.
    bool reachable() const noexcept
    {
        return follower_->reachable();
    }

private:
    void on_records(std::vector<platform::keyed_record> const& records);
    void apply_config(std::string const& bytes);
    void apply_wave(std::string const& key, std::string const& bytes);

    decision_log& log_;
    std::function<void()> on_changed_;
    fleet_config config_;
    std::map<wave_number, wave_order> waves_;
    /// When the store stopped answering reads; empty while it answers.
    std::optional<time_point> store_lost_at_;
    bool newest_unreadable_ = false;
    std::shared_ptr<topic_follower> follower_;
};

} // namespace cuminfold

#endif
