#ifndef CUMINFOLD_KERNEL_LOG_RECORD_VALUE_HPP
#define CUMINFOLD_KERNEL_LOG_RECORD_VALUE_HPP

#include "kernel/record.hpp"

#include <cstddef>

namespace cuminfold
{

/// True for records that may wait while appends are at their share: nobody
/// waits for their effect.
bool is_low_value(record_body const& body);

/// Bytes of the texts that a record carries; a bound for grouping, not its
/// encoded size.
std::size_t text_bytes(record_body const& body);

/// The name of a record's kind, as it stands in the log.
char const* kind_of(record_body const& body);

} // namespace cuminfold

#endif
