#ifndef CUMINFOLD_KERNEL_INTENDED_STATE_HPP
#define CUMINFOLD_KERNEL_INTENDED_STATE_HPP

#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// What a pool holds back so that it still meets its need after a failure.
enum class reserve_kind
{
    none,
    vm,  ///< one VM
    rack ///< the largest rack's share of the pool's available VMs
};

/// A pool of VMs that serve the same services.
struct pool_spec
{
    pool_name name_;
    /// VMs that the pool should have, in all data centres together.
    std::uint32_t size_ = 0;
    /// VMs wanted in each data centre; empty: spread evenly.
    std::map<data_centre_name, std::uint32_t> spread_;
    /// True for the pool that VMs without a need elsewhere return to.
    bool spare_ = false;
};

/// A service that callers address; it runs on the VMs of one pool.
struct service_spec
{
    service_name name_;
    pool_name pool_;
    /// The run time that its owners declare; a first guess only.
    duration declared_run_time_ = std::chrono::milliseconds{100};
    /// Time that a caller allows when it names none.
    duration deadline_ = std::chrono::seconds{2};
    /// Whether a request that does not say may be run twice.
    bool idempotent_ = false;
};

/// A pool's availability budget.
struct budget_spec
{
    pool_name pool_;
    /// Available VMs that the pool must always keep.
    std::uint32_t need_ = 0;
    reserve_kind reserve_ = reserve_kind::rack;
    /// Upper bound of VMs of the pool in a drain at once; 0: no bound.
    std::uint32_t max_draining_ = 0;
};

/// A weekly time in which planned stops may start.
struct window_spec
{
    std::string name_;
    /// Pools and data centres it holds for; empty: all.
    std::vector<pool_name> pools_;
    std::vector<data_centre_name> data_centres_;
    /// Bit 0 is Monday.
    std::uint8_t days_ = 0x7f;
    /// Start, counted from local midnight.
    std::chrono::minutes start_{0};
    std::chrono::minutes length_{24 * 60};
    std::chrono::minutes utc_offset_{0};
};

/// A maintenance wave: every VM that it names is drained, rebooted, probed
/// and returned once.
struct wave_spec
{
    wave_name name_;
    /// Pools whose VMs it covers.
    std::vector<pool_name> pools_;
    /// Single VMs that it covers besides.
    std::vector<vm_id> vms_;
    /// Window in which it may run; empty: at any time.
    std::string window_;
    /// Registered name of the wave strategy.
    std::string strategy_ = "fewest_moves";
    /// VMs of the first, careful step.
    std::uint32_t canary_ = 1;
};

/// A team that submits work, with its quota.
struct team_spec
{
    team_name name_;
    /// Worker slots that the team is entitled to.
    std::uint32_t slots_ = 0;
    /// Whether it may use slots that other teams leave idle.
    bool may_borrow_ = true;
};

/// The operators' files merged in the order of their names.
struct intended_state
{
    std::map<pool_name, pool_spec> pools_;
    std::map<service_name, service_spec> services_;
    std::map<pool_name, budget_spec> budgets_;
    std::map<std::string, window_spec> windows_;
    std::map<wave_name, wave_spec> waves_;
    std::map<team_name, team_spec> teams_;
    /// Key path (`pools.tally.size`) to the file that its value came from.
    std::map<std::string, file_name> provenance_;
};

} // namespace cuminfold

#endif
