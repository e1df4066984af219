#ifndef CUMINFOLD_KERNEL_FLEET_FLEET_STATE_HPP
#define CUMINFOLD_KERNEL_FLEET_FLEET_STATE_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/fleet/gateway_table.hpp"
#include "kernel/fleet/job_table.hpp"
#include "kernel/fleet/vm_table.hpp"
#include "kernel/log/log_writer.hpp"
#include "kernel/log/record_window.hpp"
#include "kernel/log_port.hpp"
#include "kernel/reason.hpp"
#include "kernel/record.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminfold
{

/// The persistent state of the fleet, as stored in snapshots of the stream
/// `fleet`.
struct fleet_data
{
    /// Offset of the next entry to fold.
    log_offset next_ = 0;
    /// Number of records folded so far, including duplicate and stale ones.
    std::uint64_t order_ = 0;
    /// Highest `config` offset that a folded record refers to; `no_offset` if
    /// none does.
    log_offset config_floor_ = no_offset;
    record_window window_;
    gateway_table gateways_;
    vm_table vms_;
    job_table jobs_;
    /// Stopped waves, with the cause of the stop.
    std::map<wave_name, reason> stopped_waves_;
    /// Record kinds in the log that this version does not know.
    std::set<std::string> unknown_kinds_;
};

/// The fleet's state, folded from the stream `fleet`. It is a pure function of
/// the entries folded so far and of the configuration versions they refer to,
/// so every process computes the same state.
class fleet_state
{
public:
    /// Whether the configuration that an entry refers to can be read.
    enum class config_availability
    {
        known,
        not_yet_read, ///< arrives with later entries of `config`
        compacted     ///< no longer held: load a snapshot of `fleet`
    };
    /// Checks the configuration of an entry without folding the entry.
    config_availability check_config(log_entry const& entry,
                                     config_state const& config) const;

    /// Folds the entry at `next()`.
    /// @return false, without a change, if the entry is not the next one or if
    /// `config` does not hold the versions that the entry refers to: it has not
    /// read that far, or it was restored from a snapshot that no longer
    /// contains them. The caller retries later.
    bool apply(log_entry const& entry, config_state const& config);

    /// Replaces the state by that of a snapshot.
    /// @return false, without a change, if the snapshot is older than the state
    bool restore(fleet_data data);

    fleet_data const& data() const noexcept
    {
        return data_;
    }
    log_offset next() const noexcept
    {
        return data_.next_;
    }
    vm_table const& vms() const noexcept
    {
        return data_.vms_;
    }
    gateway_table const& gateways() const noexcept
    {
        return data_.gateways_;
    }
    job_table const& jobs() const noexcept
    {
        return data_.jobs_;
    }

    /// Gateways that have not yet acknowledged the VM's release or drain.
    std::set<incarnation> missing_acknowledgements(vm_entry const& vm) const;

    /// Outcome of each record of the last folded entry, in log order: applied
    /// or ignored, and why.
    std::vector<record_verdict> const& verdicts() const noexcept
    {
        return verdicts_;
    }

    /// Number of records, or of jobs in a cancel record, that were ignored for
    /// this cause since this object was created.
    std::uint64_t ignored(reason cause) const;

private:
    /// The record being folded, with its offset and the configuration in force.
    struct fold_context
    {
        record const& record_;
        log_offset offset_;
        intended_state const& intended_;
    };

    void apply_record(record const& item, log_offset offset,
                      intended_state const& intended);
    /// Counts the current record as ignored.
    void ignore(reason cause);
    /// Appends to the VM's history.
    void append_history(vm_id const& vm, std::string what);
    /// Returns the VM; null, with the record ignored as stale, if there is no
    /// such VM or its generation differs.
    vm_entry const* find_at_generation(vm_id const& vm, generation expected);

    void fold(gateway_registered const& body, fold_context const& at);
    void fold(gateway_left const& body, fold_context const& at);
    void fold(vm_added const& body, fold_context const& at);
    void fold(vm_removed const& body, fold_context const& at);
    void fold(vm_assigned const& body, fold_context const& at);
    void fold(move_released const& body, fold_context const& at);
    void fold(move_assigned const& body, fold_context const& at);
    void fold(move_cancelled const& body, fold_context const& at);
    void fold(vm_acknowledged const& body, fold_context const& at);
    void fold(drain_granted const& body, fold_context const& at);
    void fold(drain_started const& body, fold_context const& at);
    void fold(drain_withdrawn const& body, fold_context const& at);
    void fold(reboot_decided const& body, fold_context const& at);
    void fold(vm_returned const& body, fold_context const& at);
    void fold(vm_health const& body, fold_context const& at);
    void fold(data_centre_heard const& body, fold_context const& at);
    void fold(wave_stopped const& body, fold_context const& at);
    void fold(job_submitted const& body, fold_context const& at);
    void fold(job_placed const& body, fold_context const& at);
    void fold(job_checkpointed const& body, fold_context const& at);
    void fold(attempt_ended const& body, fold_context const& at);
    void fold(job_closed const& body, fold_context const& at);
    void fold(jobs_cancelled const& body, fold_context const& at);
    void fold(jobs_forgotten const& body, fold_context const& at);
    void fold(unknown_body const& body, fold_context const& at);
    template <class Other>
    void fold(Other const&, fold_context const&)
    {
        // Kinds of other streams do not change the fleet's state.
    }

    void remove_task(job_entry const& job);
    void end_job(job_id const& job, log_offset offset, job_phase phase,
                 std::string detail);

    fleet_data data_;
    std::array<std::uint64_t, reason_count> ignored_{};
    std::vector<record_verdict> verdicts_;
};

} // namespace cuminfold

#endif
