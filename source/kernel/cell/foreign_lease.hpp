#ifndef CUMINFOLD_KERNEL_CELL_FOREIGN_LEASE_HPP
#define CUMINFOLD_KERNEL_CELL_FOREIGN_LEASE_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/worker_clock.hpp"

#include <string>

namespace cuminfold
{

/// A lease that an incarnation of a worker may have from an order that was
/// computed by the clock of an earlier one. It may outlast the leases that
/// owners grant, so that it is stored for the next owner.
struct foreign_lease
{
    /// The start of the incarnation, as in `worker_registration`.
    calendar_time incarnation_start_{};
    /// The end of the lease on the clock of that incarnation.
    worker_clock until_{0};
};

std::string encode(foreign_lease const& lease);

/// @throws std::invalid_argument if `encode()` cannot have written the text
foreign_lease decode_foreign_lease(std::string const& text);

} // namespace cuminfold

#endif
