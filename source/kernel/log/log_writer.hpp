#ifndef CUMINFOLD_KERNEL_LOG_LOG_WRITER_HPP
#define CUMINFOLD_KERNEL_LOG_LOG_WRITER_HPP

#include "kernel/identifier.hpp"
#include "kernel/log_port.hpp"
#include "kernel/record.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cuminfold
{

/// How a writer appends to a stream.
struct log_writer_options
{
    /// Records that one append carries at most.
    std::size_t group_limit_ = 256;
    /// An append without a reply is of unknown fate after this.
    duration timeout_ = std::chrono::seconds{2};
    duration backoff_first_ = std::chrono::milliseconds{50};
    duration backoff_limit_ = std::chrono::seconds{2};
};

/// Appends one incarnation's records to one stream.
///
/// Records that wait go out together (group commit), one append at a time.
/// A reply is never trusted: a record is settled when it is read back, and is
/// sent again under the same id until then. The fold ignores repeats.
class log_writer
{
public:
    log_writer(stream_name stream, incarnation writer,
               log_writer_options options);

    /// Queues a record and returns its id.
    record_id propose(record_body body, log_offset config_offset = no_offset);

    /// Takes back a record that was not sent yet.
    /// @return false if it may be in the log already.
    bool withdraw(record_id const& id);

    /// The append to send now, if one is due.
    std::optional<log_append> poll(time_point now);

    /// Takes a reply. It only decides when the next append goes out.
    void take(time_point now, log_append_result const& result);

    /// An entry of the stream was read: settles the records of ours in it.
    void read_back(log_entry const& entry);

    /// True if a record that this writer proposed was read back or withdrawn.
    bool settled(record_id const& id) const;

    /// Records that are not settled.
    std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }

    incarnation const& writer() const noexcept
    {
        return writer_;
    }

    /// Appends sent so far.
    std::uint64_t appends() const noexcept
    {
        return next_ticket_;
    }

private:
    struct pending
    {
        record record_;
        bool sent_ = false;
    };

    stream_name stream_;
    incarnation writer_;
    log_writer_options options_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t next_ticket_ = 0;
    /// By sequence, so that an append keeps their order.
    std::map<std::uint64_t, pending> waiting_;
    std::optional<std::uint64_t> ticket_;
    time_point sent_at_{};
    time_point not_before_{};
    duration backoff_{0};
};

} // namespace cuminfold

#endif
