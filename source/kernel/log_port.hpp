#ifndef CUMINFOLD_KERNEL_LOG_PORT_HPP
#define CUMINFOLD_KERNEL_LOG_PORT_HPP

#include "kernel/identifier.hpp"
#include "kernel/record.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <vector>

/// What a kernel asks of the platform's log, and what it hears back.
///
/// A controller's adapter asks the platform, or a peer that can reach it; a
/// gateway's adapter asks a controller of its data centre. The kernels cannot
/// tell which.

namespace cuminfold
{

/// Asks for entries of a stream. One read of a stream is out at a time; the
/// adapter may hold it until entries come or `wait_` is over.
struct log_read
{
    stream_name stream_;
    log_offset from_ = 0;
    std::uint32_t limit_ = 0;
    duration wait_{0};
};

/// How a read ended.
enum class log_read_status
{
    ok,         ///< `entries_` hold what there was, perhaps nothing
    gap,        ///< entries from `from_` are no longer kept; see `earliest_`
    unavailable ///< no answer, or not a whole one
};

/// The answer to `log_read`.
struct log_read_result
{
    stream_name stream_;
    log_offset from_ = 0;
    log_read_status status_ = log_read_status::unavailable;
    std::vector<log_entry> entries_;
    /// Offset of the oldest entry kept.
    log_offset earliest_ = 0;
    /// Offset that the next appended entry will get.
    log_offset end_ = 0;
};

/// Appends one entry.
struct log_append
{
    stream_name stream_;
    /// Chosen by the writer; names this try in the result.
    std::uint64_t ticket_ = 0;
    std::vector<record> records_;
};

/// How an append ended, as far as its reply tells. Only reading the records
/// back settles whether they are in the log.
enum class log_append_status
{
    appended,
    rejected, ///< the log said that it did not take it
    unknown   ///< no reply, or not a whole one
};

/// The reply to `log_append`.
struct log_append_result
{
    stream_name stream_;
    std::uint64_t ticket_ = 0;
    log_append_status status_ = log_append_status::unknown;
    log_offset offset_ = no_offset;
};

} // namespace cuminfold

#endif
