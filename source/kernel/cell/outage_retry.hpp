#ifndef CUMINFOLD_KERNEL_CELL_OUTAGE_RETRY_HPP
#define CUMINFOLD_KERNEL_CELL_OUTAGE_RETRY_HPP

#include "kernel/time.hpp"

namespace cuminfold
{

/// When a client that is refused during an outage of the store should come
/// back. The time grows with the age of the outage, so that a client with a few
/// retries outlasts it, and is bounded, so that a client doesn't stay away long
/// after it has ended.
/// @param outage the age of the outage
duration outage_retry_after(duration outage);

} // namespace cuminfold

#endif
