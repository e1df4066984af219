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

/// All that lasts of the fleet: what a snapshot of the stream `fleet` holds.
struct fleet_data
{
    /// Offset of the next entry to fold.
    log_offset next_ = 0;
    /// Records folded so far, repeats and stale ones included.
    std::uint64_t order_ = 0;
    /// Highest config offset that a record has named; `no_offset`: none.
    log_offset config_floor_ = no_offset;
    record_window window_;
    gateway_table gateways_;
    vm_table vms_;
    job_table jobs_;
    /// Waves that were stopped, and why.
    std::map<wave_name, reason> stopped_waves_;
    /// Kinds of records that were met and are not known.
    std::set<std::string> unknown_kinds_;
};

/// The fold of the stream `fleet`: a pure function of the entries read so far
/// and of the configuration that they name.
class fleet_state
{
public:
    /// Whether the configuration that an entry relies on is there.
    enum class config_availability
    {
        known,
        not_yet_read, ///< it comes with later entries of `config`
        compacted     ///< only a snapshot of `fleet` helps
    };
    config_availability check_config(log_entry const& entry,
                                     config_state const& config) const;

    /// Folds the entry at `next()`.
    /// @return false, and changes nothing, while `config` cannot tell what was
    /// in force at the offsets that the entry relies on: it has not read that
    /// far, or went on from a snapshot that no longer holds it. The caller
    /// tries again later.
    bool apply(log_entry const& entry, config_state const& config);

    /// Replaces all by a snapshot.
    /// @return false, and changes nothing, if it is older than what is held.
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

    /// Gateways whose acknowledgement a release or drain still lacks.
    std::set<incarnation> missing_acknowledgements(vm_entry const& vm) const;

    /// How the records of the last folded entry were judged, in their order.
    std::vector<record_verdict> const& verdicts() const noexcept
    {
        return verdicts_;
    }

    /// Times that a record folded to nothing, by reason.
    std::uint64_t ignored(reason cause) const;

private:
    struct place
    {
        record const& record_;
        log_offset offset_;
        intended_state const& intended_;
    };

    void apply_record(record const& item, log_offset offset,
                      intended_state const& intended);
    void ignore(reason cause);
    void append_history(vm_id const& vm, std::string what);
    vm_entry const* find_at_generation(vm_id const& vm, generation expected);

    void fold(gateway_registered const& body, place const& at);
    void fold(gateway_left const& body, place const& at);
    void fold(vm_added const& body, place const& at);
    void fold(vm_removed const& body, place const& at);
    void fold(vm_assigned const& body, place const& at);
    void fold(move_released const& body, place const& at);
    void fold(move_assigned const& body, place const& at);
    void fold(move_cancelled const& body, place const& at);
    void fold(vm_acknowledged const& body, place const& at);
    void fold(drain_granted const& body, place const& at);
    void fold(drain_started const& body, place const& at);
    void fold(drain_withdrawn const& body, place const& at);
    void fold(reboot_decided const& body, place const& at);
    void fold(vm_returned const& body, place const& at);
    void fold(vm_health const& body, place const& at);
    void fold(data_centre_heard const& body, place const& at);
    void fold(wave_stopped const& body, place const& at);
    void fold(job_submitted const& body, place const& at);
    void fold(job_placed const& body, place const& at);
    void fold(job_checkpointed const& body, place const& at);
    void fold(attempt_ended const& body, place const& at);
    void fold(job_closed const& body, place const& at);
    void fold(jobs_cancelled const& body, place const& at);
    void fold(jobs_forgotten const& body, place const& at);
    void fold(unknown_body const& body, place const& at);
    template <class Other>
    void fold(Other const&, place const&)
    {
        // Kinds of the other streams mean nothing here.
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
