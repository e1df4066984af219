#ifndef CUMINFOLD_KERNEL_GATEWAY_RELEASE_ACKNOWLEDGER_HPP
#define CUMINFOLD_KERNEL_GATEWAY_RELEASE_ACKNOWLEDGER_HPP

#include "kernel/fleet/vm_table.hpp"
#include "kernel/identifier.hpp"
#include "kernel/log/log_writer.hpp"

#include <functional>
#include <map>

namespace cuminfold
{

/// Acknowledges the release or drain of a VM once this gateway has no request
/// in flight on it. A poll costs O(VMs whose acknowledgement is pending).
class release_acknowledger
{
public:
    /// Handles a changed entry of a VM of the gateway's data centre.
    void update(vm_entry const& vm);
    /// Drops a VM that was removed from the fleet.
    void remove(vm_id const& vm);

    /// Proposes the pending acknowledgements of VMs for which
    /// `has_requests(vm)` is false.
    void poll(log_writer& writer,
              std::function<bool(vm_id const&)> const& has_requests);

private:
    /// Maps a VM to the generation of its release that is not acknowledged yet.
    std::map<vm_id, generation> pending_;
    /// Maps a VM to the generation of its last acknowledged release.
    std::map<vm_id, generation> acknowledged_;
};

} // namespace cuminfold

#endif
