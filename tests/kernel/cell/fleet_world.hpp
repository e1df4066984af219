#ifndef CUMINFOLD_TESTS_KERNEL_CELL_FLEET_WORLD_HPP
#define CUMINFOLD_TESTS_KERNEL_CELL_FLEET_WORLD_HPP

#include "kernel/cell/cell_world.hpp"
#include "kernel/cell/fleet_plan.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cuminfold
{

/// A fleet plan with its cell, and a platform that carries out the orders of
/// waves and refuses all moves as too many at once.
class fleet_world
{
public:
    explicit fleet_world(std::uint32_t workers, std::uint32_t seed = 1);

    /// Replaces the owner.
    void take_over();

    /// Sets wave 1, over the first VMs.
    void set_wave(std::uint32_t vms, std::uint32_t at_once);
    void set_wave(wave_number number, std::vector<vm_id> vms,
                  std::uint32_t at_once);

    /// Starts a new worker on the VM of one that was lost.
    void replace_worker(std::uint32_t number);

    void run_for(std::chrono::milliseconds time);

    cell_world jobs_;
    fleet_plan plan_;
    /// That of the present owner, if it was replaced.
    std::optional<fleet_plan> next_plan_;
    std::vector<listed_vm> vms_;
    std::map<vm_id, time_point> down_;
    std::map<vm_id, time_point> ordered_;
    std::size_t max_down_ = 0;
    /// Long-running tasks that ran on a VM when its maintenance began.
    std::size_t tasks_ended_by_orders_ = 0;
    /// The platform refuses this many orders, as too many at once.
    std::uint32_t throttled_orders_ = 0;
    /// After these, it rejects this many as invalid.
    std::uint32_t rejected_orders_ = 0;
    /// The platform answers no requests for lists.
    bool is_silent_ = false;
    /// VMs that are missing in the list.
    std::set<vm_id> unlisted_;
    /// Rows of the list were malformed.
    bool has_malformed_rows_ = false;
    /// The platform answers a request for a list after this time, with its
    /// state at the request.
    std::chrono::milliseconds list_latency_{0};
    /// The store shows the entry of a VM's previous incarnation 100 ms after
    /// the order.
    bool delays_entries_ = false;
    std::set<bool> reported_;
    /// Waves that were reported as completed.
    std::set<wave_number> completed_;
    /// Number of the plan's decisions, by event.
    std::map<std::string, std::size_t> decisions_;

private:
    fleet_plan& plan()
    {
        return next_plan_ ? *next_plan_ : plan_;
    }

    void carry_out(fleet_action const& action);
    void maintain(maintain_vm const& order);
    void restart_vms();
    void answer_lists();

    std::multimap<time_point, std::pair<time_point, vm_list>> lists_;
    std::multimap<time_point, worker_registration> delayed_entries_;
};

} // namespace cuminfold

#endif
