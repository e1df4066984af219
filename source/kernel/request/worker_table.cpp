#include "kernel/request/worker_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminfold
{

namespace
{

bool contains(std::vector<vm_id> const& vms, vm_id const& vm)
{
    return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

} // namespace

void worker_table::update(vm_entry const& vm)
{
    auto const placed = workers_.try_emplace(vm.vm_, vm.vm_, options_->health_);
    worker_entry& worker = placed.first->second;
    if (worker.serves_)
    {
        remove_from_pool(worker);
    }
    bool const served = worker.serves_;
    worker.address_ = vm.address_;
    worker.pool_ = vm.pool_;
    worker.slots_ = vm.shape_.slots_;
    worker.serves_ = vm.accepts_work();
    if (worker.serves_ && !served && worker.generation_ < vm.generation_)
    {
        // The VM returned to service: older leaving hints no longer apply.
        worker.leaving_until_ = time_point{};
    }
    worker.generation_ = vm.generation_;
    if (worker.serves_)
    {
        add_to_pool(worker);
    }
}

void worker_table::remove(vm_id const& vm)
{
    auto const found = workers_.find(vm);
    if (found == workers_.end())
    {
        return;
    }
    if (found->second.serves_)
    {
        remove_from_pool(found->second);
        found->second.serves_ = false;
    }
    if (found->second.in_flight_ == 0)
    {
        workers_.erase(found);
    }
}

worker_entry* worker_table::find(vm_id const& vm)
{
    auto const found = workers_.find(vm);
    return found == workers_.end() ? nullptr : &found->second;
}

bool worker_table::has_available_worker(
    time_point now, pool_name const& pool,
    std::vector<vm_id> const& excluded) const
{
    auto const& all = members(pool);
    return std::any_of(all.begin(), all.end(),
                       [&](worker_entry const* worker) {
                           return is_available(now, *worker) &&
                                  !contains(excluded, worker->vm_);
                       });
}

std::uint32_t worker_table::slots(time_point now, pool_name const& pool) const
{
    std::uint32_t sum = 0;
    for (auto const* worker : members(pool))
    {
        if (is_available(now, *worker))
        {
            sum += worker->health_.limit(worker->slots_);
        }
    }
    return sum;
}

std::uint32_t worker_table::in_flight(pool_name const& pool) const
{
    std::uint32_t sum = 0;
    for (auto const* worker : members(pool))
    {
        sum += worker->in_flight_;
    }
    return sum;
}

std::vector<worker_entry*>
worker_table::candidates(time_point now, pool_name const& pool,
                         std::vector<vm_id> const& excluded,
                         bool exclude_probing)
{
    std::vector<worker_entry*> result;
    bool any_not_probing = false;
    for (auto* worker : members(pool))
    {
        if (!is_available(now, *worker))
        {
            continue;
        }
        any_not_probing = any_not_probing || !worker->health_.probing();
        bool const has_free_slot =
            now >= worker->full_until_ &&
            worker->in_flight_ < worker->health_.limit(worker->slots_);
        if (has_free_slot && !contains(excluded, worker->vm_))
        {
            result.push_back(worker);
        }
    }
    if (exclude_probing && any_not_probing)
    {
        auto const probing = [](worker_entry const* worker)
        { return worker->health_.probing(); };
        result.erase(std::remove_if(result.begin(), result.end(), probing),
                     result.end());
    }
    return result;
}

worker_view worker_table::view(time_point now, worker_entry const& worker) const
{
    worker_view view;
    view.limit_ = worker.health_.limit(worker.slots_);
    view.in_flight_ = worker.in_flight_;
    view.echoed_ =
        worker.echoed_ && now - worker.echoed_at_ < options_->echo_lifetime_;
    view.used_by_others_ = view.echoed_ ? worker.used_by_others_ : 0;
    return view;
}

bool worker_table::count(time_point now, worker_entry& worker, bool succeeded)
{
    worker.health_.count(now, succeeded);
    if (succeeded)
    {
        worker.full_hold_ = duration{0};
        worker.full_until_ = time_point{};
    }
    if (succeeded || !worker.serves_ || worker.health_.ejected(now) ||
        !worker.health_.failing() || !may_eject(now, worker))
    {
        return false;
    }
    worker.health_.eject(now);
    return true;
}

bool worker_table::hint(time_point now, vm_id const& vm, bool leaving)
{
    worker_entry* const worker = find(vm);
    if (worker == nullptr)
    {
        return false;
    }
    bool const known = now < worker->leaving_until_;
    if (leaving)
    {
        worker->leaving_until_ = now + options_->health_.leaving_hold_;
        worker->health_.probe();
    }
    else
    {
        worker->leaving_until_ = time_point{};
    }
    return known != leaving;
}

std::uint32_t worker_table::ejected(time_point now, pool_name const& pool) const
{
    auto const& all = members(pool);
    return static_cast<std::uint32_t>(
        std::count_if(all.begin(), all.end(),
                      [&](worker_entry const* worker)
                      { return worker->health_.ejected(now); }));
}

void worker_table::mark_full(time_point now, worker_entry& worker) const
{
    worker.full_hold_ = std::clamp(worker.full_hold_ * 2, options_->full_hold_,
                                   options_->full_hold_limit_);
    worker.full_until_ = now + worker.full_hold_;
}

void worker_table::record_load(time_point now, worker_entry& worker,
                               std::int32_t busy) const
{
    if (busy < 0)
    {
        return;
    }
    auto const slots = static_cast<std::uint32_t>(busy);
    worker.used_by_others_ =
        slots > worker.in_flight_ ? slots - worker.in_flight_ : 0;
    worker.echoed_ = true;
    worker.echoed_at_ = now;
}

bool worker_table::is_available(time_point now,
                                worker_entry const& worker) const
{
    return worker.serves_ && now >= worker.leaving_until_ &&
           !worker.health_.ejected(now);
}

worker_table::member_list const&
worker_table::members(pool_name const& pool) const
{
    static member_list const none;
    auto const found = pools_.find(pool);
    return found == pools_.end() ? none : found->second;
}

void worker_table::add_to_pool(worker_entry& worker)
{
    auto& all = pools_[worker.pool_];
    auto const place =
        std::lower_bound(all.begin(), all.end(), &worker,
                         [](worker_entry const* a, worker_entry const* b)
                         { return a->vm_ < b->vm_; });
    all.insert(place, &worker);
}

void worker_table::remove_from_pool(worker_entry& worker)
{
    auto& all = pools_[worker.pool_];
    all.erase(std::remove(all.begin(), all.end(), &worker), all.end());
}

bool worker_table::may_eject(time_point now, worker_entry const& worker) const
{
    auto const& all = members(worker.pool_);
    auto const size = static_cast<double>(all.size());
    double const max_ejected =
        std::floor(options_->health_.max_ejected_ratio_ * size);
    if (ejected(now, worker.pool_) + 1 > max_ejected)
    {
        return false;
    }
    // Averages the ratios of workers instead of summing up their dispatches:
    // a worker that fails fast gets the most dispatches and would dominate.
    double ratios = 0;
    double counted = 0;
    for (auto const* other : all)
    {
        dispatch_counts const& counts = other->health_.counts();
        if (other != &worker && !other->health_.ejected(now) &&
            counts.total() > 0)
        {
            ratios += counts.failure_ratio();
            counted += 1;
        }
    }
    double const others = counted > 0 ? ratios / counted : 0;
    return worker.health_.counts().failure_ratio() >=
           others + options_->health_.failure_ratio_margin_;
}

} // namespace cuminfold
