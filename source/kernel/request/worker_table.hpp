#ifndef CUMINFOLD_KERNEL_REQUEST_WORKER_TABLE_HPP
#define CUMINFOLD_KERNEL_REQUEST_WORKER_TABLE_HPP

#include "kernel/fleet/vm_table.hpp"
#include "kernel/identifier.hpp"
#include "kernel/request/request_options.hpp"
#include "kernel/request/routing_strategy.hpp"
#include "kernel/request/worker_health.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// This gateway's view of one worker in its own data centre.
struct worker_entry
{
    worker_entry(vm_id vm, health_options const& options)
        : vm_(std::move(vm)), health_(options)
    {
    }

    vm_id vm_;
    std::string address_;
    pool_name pool_;
    std::uint32_t slots_ = 0;
    generation generation_ = 0;
    /// The fleet state allows the worker to take work.
    bool serves_ = false;
    /// Dispatches that this gateway sent and that have not ended.
    std::uint32_t in_flight_ = 0;
    /// Slots that other clients used according to the last echoed load.
    std::uint32_t used_by_others_ = 0;
    time_point echoed_at_{};
    bool echoed_ = false;
    /// The worker reported that all slots are busy; it gets no request before
    /// this time.
    time_point full_until_{};
    duration full_hold_{0};
    /// The worker is reported to be leaving; it gets no request before this
    /// time.
    time_point leaving_until_{};
    worker_health health_;
};

/// The workers of the own data centre, by VM and by pool. An update costs
/// O(log n) in all workers and O(w) in the workers of the pool; a query reads
/// the workers of one pool.
class worker_table
{
public:
    explicit worker_table(request_options const& options) : options_(&options)
    {
    }

    /// Applies the fleet state's entry of a VM in the own data centre.
    void update(vm_entry const& vm);
    /// Removes a VM that is no longer in the fleet state. An entry with
    /// dispatches in flight is kept, but gets no further ones.
    void remove(vm_id const& vm);

    /// Null if the VM is unknown.
    worker_entry* find(vm_id const& vm);

    /// True if a worker of the pool, other than those in `excluded`, may get
    /// requests now or as soon as it has a free slot.
    bool has_available_worker(time_point now, pool_name const& pool,
                              std::vector<vm_id> const& excluded = {}) const;

    /// Slots of the pool's available workers.
    std::uint32_t slots(time_point now, pool_name const& pool) const;

    /// Dispatches of this gateway in flight to the pool's workers.
    std::uint32_t in_flight(pool_name const& pool) const;

    /// Workers that may take a dispatch now, other than those in `excluded`.
    /// @param exclude_probing Also leaves out workers that are probed, unless
    /// all available workers of the pool are.
    std::vector<worker_entry*> candidates(time_point now, pool_name const& pool,
                                          std::vector<vm_id> const& excluded,
                                          bool exclude_probing);

    /// What the routing strategy sees of the worker.
    worker_view view(time_point now, worker_entry const& worker) const;

    /// Counts the end of a dispatch. Ejects the worker if its failure ratio
    /// exceeds that of the pool's other workers by the margin and the limit of
    /// ejected workers is not reached.
    /// @return true if the worker was ejected.
    bool count(time_point now, worker_entry& worker, bool succeeded);

    /// Applies a hint that the VM is leaving, or that it is not. A leaving VM
    /// gets no requests for `leaving_hold_` and is probed afterwards.
    /// @return true if the hint changes what was known; false also if the VM is
    /// unknown.
    bool hint(time_point now, vm_id const& vm, bool leaving);

    /// Workers of a pool that are ejected.
    std::uint32_t ejected(time_point now, pool_name const& pool) const;

    /// The worker reported that all its slots are busy. Each consecutive report
    /// doubles the time without requests, up to the limit.
    void mark_full(time_point now, worker_entry& worker) const;

    /// Stores the number of busy slots that the worker echoed; negative: the
    /// worker echoed none.
    void record_load(time_point now, worker_entry& worker,
                     std::int32_t busy) const;

private:
    using member_list = std::vector<worker_entry*>;

    bool is_available(time_point now, worker_entry const& worker) const;
    member_list const& members(pool_name const& pool) const;
    void add_to_pool(worker_entry& worker);
    void remove_from_pool(worker_entry& worker);
    /// True if the worker's failure ratio and the pool's limit allow it.
    bool may_eject(time_point now, worker_entry const& worker) const;

    request_options const* options_;
    std::map<vm_id, worker_entry> workers_;
    /// Workers that the fleet state allows to take work, by pool and then VM.
    std::map<pool_name, member_list> pools_;
};

} // namespace cuminfold

#endif
