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

/// One worker of the own data centre, as the gateway sees it.
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
    /// The fleet's fold lets it take work.
    bool serves_ = false;
    /// Dispatches of this gateway that are open.
    std::uint32_t in_flight_ = 0;
    /// Slots that others held at the last echo.
    std::uint32_t used_by_others_ = 0;
    time_point echoed_at_{};
    bool echoed_ = false;
    /// It said that it is full; left alone until then.
    time_point full_until_{};
    duration full_hold_{0};
    /// It showed a sign of leaving; gets nothing until then.
    time_point leaving_until_{};
    worker_health health_;
};

/// The workers of the own data centre, by VM and by pool. Updates cost
/// O(change), a choice reads the workers of one pool.
class worker_table
{
public:
    explicit worker_table(request_options const& options) : options_(&options)
    {
    }

    /// The fold's view of a VM of the own data centre has changed.
    void update(vm_entry const& vm);
    /// The fold no longer knows the VM.
    void remove(vm_id const& vm);

    worker_entry* find(vm_id const& vm);

    /// Whether any worker of the pool, but for those in `excluded`, may get
    /// requests now or as soon as it has a free slot.
    bool has_available_worker(time_point now, pool_name const& pool,
                              std::vector<vm_id> const& excluded = {}) const;

    /// Slots of the pool's able workers.
    std::uint32_t slots(time_point now, pool_name const& pool) const;

    /// Open dispatches on the pool's workers.
    std::uint32_t in_flight(pool_name const& pool) const;

    /// Workers that may take a dispatch now, but for those in `excluded`.
    /// @param exclude_probing No worker that returns from an ejection, unless
    /// the pool has no other.
    std::vector<worker_entry*> candidates(time_point now, pool_name const& pool,
                                          std::vector<vm_id> const& excluded,
                                          bool exclude_probing);

    worker_view view(time_point now, worker_entry const& worker) const;

    /// A dispatch ended: counts it, and ejects the worker if it fails clearly
    /// more than the pool's others and not too many are ejected.
    /// @return true if the worker was ejected.
    bool count(time_point now, worker_entry& worker, bool succeeded);

    /// A sign that the VM is leaving, or that it is not.
    /// @return true if that is news.
    bool hint(time_point now, vm_id const& vm, bool leaving);

    /// Workers of a pool that are ejected.
    std::uint32_t ejected(time_point now, pool_name const& pool) const;

    /// The worker's slots are all busy, as it said itself.
    void mark_full(time_point now, worker_entry& worker) const;

    /// Slots that are busy, as the worker echoed them.
    void record_load(time_point now, worker_entry& worker,
                     std::int32_t busy) const;

private:
    using member_list = std::vector<worker_entry*>;

    bool takes_work(time_point now, worker_entry const& worker) const;
    member_list const& members(pool_name const& pool) const;
    void add_to_pool(worker_entry& worker);
    void remove_from_pool(worker_entry& worker);
    bool may_eject(time_point now, worker_entry const& worker) const;

    request_options const* options_;
    std::map<vm_id, worker_entry> workers_;
    /// Workers that serve, by pool.
    std::map<pool_name, member_list> pools_;
};

} // namespace cuminfold

#endif
