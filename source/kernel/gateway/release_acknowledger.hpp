#ifndef CUMINFOLD_KERNEL_GATEWAY_RELEASE_ACKNOWLEDGER_HPP
#define CUMINFOLD_KERNEL_GATEWAY_RELEASE_ACKNOWLEDGER_HPP

#include "kernel/fleet/vm_table.hpp"
#include "kernel/identifier.hpp"
#include "kernel/log/log_writer.hpp"

#include <functional>
#include <map>

namespace cuminfold
{

/// Acknowledges the release or drain of a VM once this gateway holds no
/// request on it. Costs O(VMs whose release waits for it).
class release_acknowledger
{
public:
    /// The fold's view of a VM of the own data centre has changed.
    void update(vm_entry const& vm);
    void remove(vm_id const& vm);

    /// Acknowledges what `holds_requests(vm)` denies.
    void poll(log_writer& writer,
              std::function<bool(vm_id const&)> const& holds_requests);

private:
    /// VM to the generation of its release, not acknowledged yet.
    std::map<vm_id, generation> pending_;
    /// VM to the last release that was acknowledged.
    std::map<vm_id, generation> acknowledged_;
};

} // namespace cuminfold

#endif
