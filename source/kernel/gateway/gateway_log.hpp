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

/// Reads and folds the streams `config` and `fleet`, and appends the gateway's
/// own fleet records.
class gateway_log
{
public:
    gateway_log(gateway_settings const& settings, config_merger merger);

    /// Folds the entries of a read; ignores streams other than `config` and
    /// `fleet`.
    /// @return The VMs whose entries may have changed.
    std::vector<vm_id> handle(time_point now, log_read_result const& result);
    void handle(time_point now, log_append_result const& result);

    /// Sends the reads and appends that are due.
    void poll(gateway_context& context);

    /// True if every fleet entry that the log held at the last read was folded.
    bool caught_up() const noexcept
    {
        return fleet_tail_.caught_up() && fleet_backlog_.empty();
    }

    /// True if no read of any stream was answered for at least `time`.
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
    /// Fleet entries that refer to a configuration version not yet read, and
    /// the entries after them.
    std::deque<log_entry> fleet_backlog_;
    /// Time of the last answered read of any stream; before that, of the first
    /// event.
    time_point last_contact_{};
    bool started_ = false;
};

} // namespace cuminfold

#endif
