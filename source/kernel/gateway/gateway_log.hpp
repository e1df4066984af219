#ifndef CUMINFOLD_KERNEL_GATEWAY_GATEWAY_LOG_HPP
#define CUMINFOLD_KERNEL_GATEWAY_GATEWAY_LOG_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/fleet/fleet_state.hpp"
#include "kernel/gateway/gateway_context.hpp"
#include "kernel/gateway/gateway_settings.hpp"
#include "kernel/log/log_tail.hpp"
#include "kernel/log/log_writer.hpp"

#include <deque>
#include <vector>

namespace cuminfold
{

/// Follows the streams `config` and `fleet`, folds them, and writes the
/// gateway's own fleet records.
class gateway_log
{
public:
    gateway_log(gateway_settings const& settings, config_merger merger);

    /// Takes an answer of the log.
    /// @return The VMs whose entries may have changed.
    std::vector<vm_id> take(time_point now, log_read_result const& result);
    void take(time_point now, log_append_result const& result);

    /// Sends the reads and appends that are due.
    void poll(gateway_context& context);

    /// True once all that the log held was folded.
    bool caught_up() const noexcept
    {
        return fleet_tail_.caught_up() && fleet_backlog_.empty();
    }

    /// Whether the log did not answer for that long.
    bool is_unreachable_for(time_point now, duration time) const;

    config_state const& config() const noexcept
    {
        return config_;
    }
    fleet_state const& fleet() const noexcept
    {
        return fleet_;
    }
    log_writer& fleet_writer() noexcept
    {
        return fleet_writer_;
    }

private:
    void fold_fleet(std::vector<vm_id>& changed);

    config_state config_;
    fleet_state fleet_;
    log_tail config_tail_;
    log_tail fleet_tail_;
    log_writer fleet_writer_;
    /// Entries that name configuration which is not read yet.
    std::deque<log_entry> fleet_backlog_;
    /// When the log last answered, or the first event.
    time_point last_contact_{};
    bool started_ = false;
};

} // namespace cuminfold

#endif
