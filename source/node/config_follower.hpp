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

namespace cuminfold
{

/// Follows what operators write: the configuration and waves. Versions of the
/// configuration only go up.
class config_follower
{
public:
    /// @param changed called after each change of either
    config_follower(boost::asio::io_context& context,
                    platform::store_client& store, decision_log& log,
                    std::function<void()> changed);

    void start();
    void stop();

    fleet_config const& config() const noexcept
    {
        return config_;
    }
    std::map<wave_number, wave_order> const& waves() const noexcept
    {
        return waves_;
    }
    /// The time for which `config()` is known to be the newest.
    time_point current_as_of() const noexcept
    {
        return follower_->current_as_of();
    }
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
    std::shared_ptr<topic_follower> follower_;
};

} // namespace cuminfold

#endif
