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

/// What a controller's kernel is told at its start.
struct controller_settings
{
    incarnation self_;
    data_centre_name data_centre_;
    std::string address_;
    /// Streams `claims-0` to `claims-<n-1>`.
    std::uint32_t claim_shards_ = 4;
    log_tail_options tail_;
    log_writer_options writer_;
    duration list_interval_ = std::chrono::seconds{1};
    duration probe_interval_ = std::chrono::seconds{1};
    /// A controller of rank r waits r of these before it proposes.
    duration rank_step_ = std::chrono::milliseconds{500};
    /// A lack of VMs that lasts so long is a lack; a lagging list is not.
    duration move_delay_ = std::chrono::seconds{5};
    /// A VM that is not back so long after its reboot has failed.
    duration return_timeout_ = std::chrono::minutes{5};
    /// An operator's change that is not read back by then is of unknown fate.
    duration change_timeout_ = std::chrono::seconds{10};
    membership_options membership_;
    /// A data centre that nobody has heard for so long counts as down.
    duration unheard_after_ = std::chrono::seconds{30};
    /// Appends per second of this process, over all streams; 0: no limit. All
    /// processes together stay within the share of the platform's rate.
    std::uint32_t append_rate_ = 10;
    /// Appends that may follow each other at once.
    std::uint32_t append_burst_ = 40;
    /// States to bytes and back; none: no snapshots.
    std::shared_ptr<snapshot_codec const> snapshot_codec_;
    /// A snapshot is due after this time, or after so many entries.
    duration snapshot_interval_ = std::chrono::minutes{30};
    std::uint32_t snapshot_entries_ = 5000;
    /// Lease of a job's attempt; the worker stops a task whose lease lapses.
    duration job_lease_ = std::chrono::seconds{15};
    /// Time for which an ended job is remembered at least.
    duration job_window_ = std::chrono::hours{24};
    /// Registered name of the placement strategy.
    std::string placement_ = "spread";
    /// Seed of the kernel's random engine.
    std::uint64_t seed_ = 1;
};

} // namespace cuminfold

#endif
