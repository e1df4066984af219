#ifndef CUMINFOLD_KERNEL_CELL_POOL_PLAN_HPP
#define CUMINFOLD_KERNEL_CELL_POOL_PLAN_HPP

#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminfold
{

/// The capacity of a pool and the demand for it.
struct pool_load
{
    pool_name pool_;
    bool standby_ = false;
    /// Workers that serve, and VMs that are moving to the pool.
    std::uint32_t workers_ = 0;
    std::uint32_t incoming_ = 0;
    /// Workers with long-running tasks, which stay in the pool.
    std::uint32_t fixed_ = 0;
    /// Work that is ready to run, in worker-seconds: of jobs that can still end
    /// on time, and of late jobs.
    double backlog_ = 0;
    double late_backlog_ = 0;
    /// Work that clients submit, in worker-seconds per second.
    double rate_ = 0;
    /// VMs that may be moved: those without tasks, and those whose tasks end
    /// soon, ordered by the number of tasks.
    std::vector<vm_id> free_;
    std::vector<vm_id> emptying_;
};

/// One VM's move.
struct planned_move
{
    vm_id vm_;
    pool_name from_;
    pool_name to_;
};

/// The number of workers that a pool should have; 0 for a standby pool.
std::uint32_t target_workers(pool_load const& load);

/// Plans moves of surplus VMs to the pools that have fewer workers than their
/// target. Each VM goes to the pool with the smallest share of its target. VMs
/// of standby pools are moved first, then those of the largest surplus.
std::vector<planned_move> plan_moves(std::vector<pool_load> const& loads);

} // namespace cuminfold

#endif
