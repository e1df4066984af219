#ifndef CUMINFOLD_KERNEL_CELL_POLICY_RECORD_HPP
#define CUMINFOLD_KERNEL_CELL_POLICY_RECORD_HPP

#include "kernel/cell/fleet_config.hpp"

#include <string>

namespace cuminfold
{

/// Encodes a queue's policy as text, times in milliseconds. It is stored while
/// the queue has jobs, since it applies to them after the queue was removed.
std::string encode(advice_policy const& policy);

/// @throws std::invalid_argument if `encode()` cannot have written the text
advice_policy decode_policy(std::string const& text);

} // namespace cuminfold

#endif
