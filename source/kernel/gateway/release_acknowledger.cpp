#include "kernel/gateway/release_acknowledger.hpp"

namespace cuminfold
{

void release_acknowledger::update(vm_entry const& vm)
{
    bool const released =
        vm.phase_ == vm_phase::releasing || vm.phase_ == vm_phase::draining;
    auto const last = acknowledged_.find(vm.vm_);
    bool const done =
        last != acknowledged_.end() && last->second == vm.released_;
    if (released && !done)
    {
        pending_[vm.vm_] = vm.released_;
    }
    else
    {
        pending_.erase(vm.vm_);
    }
}

void release_acknowledger::remove(vm_id const& vm)
{
    pending_.erase(vm);
    acknowledged_.erase(vm);
}

void release_acknowledger::poll(
    log_writer& writer, std::function<bool(vm_id const&)> const& has_requests)
{
    for (auto it = pending_.begin(); it != pending_.end();)
    {
        if (has_requests(it->first))
        {
            ++it;
            continue;
        }
        writer.propose(vm_acknowledged{it->first, it->second});
        acknowledged_[it->first] = it->second;
        it = pending_.erase(it);
    }
}

} // namespace cuminfold
