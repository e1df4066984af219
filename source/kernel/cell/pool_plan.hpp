#ifndef CUMINFOLD_KERNEL_CELL_POOL_PLAN_HPP
#define CUMINFOLD_KERNEL_CELL_POOL_PLAN_HPP

#include "kernel/identifier.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cuminfold
{

/// What a pool has and what is asked of it.
struct pool_load
{
    pool_name pool_;
    bool standby_ = false;
    /// Workers that serve, and VMs that are on their way here.
    std::uint32_t workers_ = 0;
    std::uint32_t incoming_ = 0;
    /// Workers that hold lasting tasks, and so stay.
    std::uint32_t fixed_ = 0;
    /// Work that may be done now, in worker-seconds: of jobs that are still on
    /// time, and of late ones.
    double backlog_ = 0;
    double late_backlog_ = 0;
    /// Work that clients ask for, in worker-seconds a second.
    double rate_ = 0;
    /// VMs that may go elsewhere: without any task, and with tasks that end
    /// soon, the fewest first.
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

/// The workers that a pool should have.
std::uint32_t target_workers(pool_load const& load);

/// Moves free VMs from where they are not wanted to the pools that lack
/// workers, the largest lack first; those of standby pools go first.
std::vector<planned_move> plan_moves(std::vector<pool_load> const& loads);

} // namespace cuminfold

#endif
