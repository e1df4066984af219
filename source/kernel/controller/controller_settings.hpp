#ifndef CUMINFOLD_KERNEL_CONTROLLER_CONTROLLER_SETTINGS_HPP
#define CUMINFOLD_KERNEL_CONTROLLER_CONTROLLER_SETTINGS_HPP

#include "kernel/identifier.hpp"
#include "kernel/log/log_tail.hpp"
#include "kernel/log/log_writer.hpp"
#include "kernel/membership/membership.hpp"
#include "kernel/snapshot/snapshot_codec.hpp"
#include "kernel/time.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cuminfold
{

/// Settings of a controller's kernel.
struct controller_settings
{
    incarnation self_;
    data_centre_name data_centre_;
    std::string address_;
    /// Number n of claim streams, `claims-0` to `claims-<n-1>`.
    std::uint32_t claim_shards_ = 4;
    log_tail_options tail_;
    log_writer_options writer_;
    duration list_interval_ = std::chrono::seconds{1};
    duration probe_interval_ = std::chrono::seconds{1};
    /// A controller of rank r waits r times this long before it proposes, so
    /// that controllers rarely propose the same change.
    duration rank_step_ = std::chrono::milliseconds{500};
    /// Time for which a pool must lack VMs before VMs are moved to it. A
    /// shorter shortage may come from the lag of the platform's list.
    duration move_delay_ = std::chrono::seconds{5};
    /// Time after a reboot within which the VM must answer again; otherwise the
    /// VM counts as failed.
    duration return_timeout_ = std::chrono::minutes{5};
    /// Time within which an operator's change must be read back from the log;
    /// otherwise the operator is told that its outcome is unknown.
    duration change_timeout_ = std::chrono::seconds{10};
    membership_options membership_;
    /// A data centre counts as down if no controller has received a message
    /// from it for this long.
    duration unheard_after_ = std::chrono::seconds{30};
    /// Maximum appends per second of this process over all streams; 0 means no
    /// limit. The rates of all processes together must stay within this
    /// system's share of the platform's rate limit.
    std::uint32_t append_rate_ = 10;
    /// Maximum number of appends in a burst.
    std::uint32_t append_burst_ = 40;
    /// Encodes and decodes folded states; null disables snapshots.
    std::shared_ptr<snapshot_codec const> snapshot_codec_;
    /// A snapshot is due after `snapshot_interval_` if there are new entries,
    /// or after `snapshot_entries_` entries.
    duration snapshot_interval_ = std::chrono::minutes{30};
    std::uint32_t snapshot_entries_ = 5000;
    /// Lease of a job's attempt. The worker stops a task whose lease expires.
    duration job_lease_ = std::chrono::seconds{15};
    /// Minimum time for which an ended job is kept in the state.
    duration job_window_ = std::chrono::hours{24};
    /// Registered name of the placement strategy.
    std::string placement_ = "spread";
    /// Seed of the kernel's random engine.
    std::uint64_t seed_ = 1;
};

} // namespace cuminfold

#endif
