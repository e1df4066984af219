#ifndef CUMINFOLD_KERNEL_LOG_LOG_TAIL_HPP
#define CUMINFOLD_KERNEL_LOG_LOG_TAIL_HPP

#include "kernel/identifier.hpp"
#include "kernel/log/backoff.hpp"
#include "kernel/log_port.hpp"
#include "kernel/time.hpp"

#include <optional>
#include <vector>

namespace cuminfold
{

/// How a reader follows a stream.
struct log_tail_options
{
    std::uint32_t batch_ = 512;
    /// How long the log may hold a read that has nothing to return.
    duration wait_ = std::chrono::milliseconds{500};
    /// A read without an answer is given up after this.
    duration timeout_ = std::chrono::seconds{3};
    duration backoff_first_ = std::chrono::milliseconds{50};
    duration backoff_limit_ = std::chrono::seconds{2};
};

/// Follows one stream of the log: one read is out at a time, answers to older
/// reads are dropped, entries are handed on once and in offset order.
class log_tail
{
public:
    log_tail(stream_name stream, log_tail_options options);

    /// The read to send now, if one is due.
    std::optional<log_read> poll(time_point now);

    /// Takes an answer. Returns the entries that are new, in order; an answer
    /// that skips, repeats or mixes offsets is taken up to the first fault.
    std::vector<log_entry> take(time_point now, log_read_result const& result);

    /// Goes on at that offset, after a snapshot was loaded.
    void restart_at(log_offset next);

    stream_name const& stream() const noexcept
    {
        return stream_;
    }
    /// Offset of the next entry to come.
    log_offset next() const noexcept
    {
        return next_;
    }
    /// True once the log was seen to hold nothing newer than was read.
    bool caught_up() const noexcept
    {
        return caught_up_;
    }
    /// True while retention has passed the reader.
    bool gap() const noexcept
    {
        return gap_;
    }
    /// The end of the stream as last heard.
    log_offset known_end() const noexcept
    {
        return known_end_;
    }
    /// Offset of the oldest entry kept, as last heard.
    log_offset earliest() const noexcept
    {
        return earliest_;
    }
    /// True if the last read had an answer.
    bool reachable() const noexcept
    {
        return reachable_;
    }

private:
    void fail(time_point now);
    /// Delays the next read after an answer that brought nothing on.
    void fail_unless(time_point now, bool progress);

    stream_name stream_;
    log_tail_options options_;
    log_offset next_ = 0;
    log_offset known_end_ = 0;
    log_offset earliest_ = 0;
    bool caught_up_ = false;
    bool gap_ = false;
    bool reachable_ = false;
    std::optional<time_point> sent_at_;
    time_point not_before_{};
    backoff backoff_;
};

} // namespace cuminfold

#endif
