#ifndef CUMINFOLD_KERNEL_LOG_LOG_WRITER_HPP
#define CUMINFOLD_KERNEL_LOG_LOG_WRITER_HPP

#include "kernel/identifier.hpp"
#include "kernel/log/append_bucket.hpp"
#include "kernel/log/backoff.hpp"
#include "kernel/log/record_window.hpp"
#include "kernel/log_port.hpp"
#include "kernel/reason.hpp"
#include "kernel/record.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cuminfold
{

/// How a writer appends to a stream.
struct log_writer_options
{
    /// Records that one append carries at most.
    std::size_t group_limit_ = 256;
    /// Bytes of text that one append carries at most, unless its first record
    /// alone has more.
    std::size_t group_bytes_ = 1024 * 1024;
    /// An append without a reply is of unknown fate after this.
    duration timeout_ = std::chrono::seconds{2};
    duration backoff_first_ = std::chrono::milliseconds{50};
    duration backoff_limit_ = std::chrono::seconds{2};
    /// Shared by the writers of one process; none: no limit.
    std::shared_ptr<append_bucket> bucket_;
};

/// What became of a proposal.
enum class proposal_fate
{
    waiting,   ///< not read back yet
    settled,   ///< read back; the fold judged it
    withdrawn, ///< taken back before it was sent
    unknown    ///< its place in the stream was passed over by a snapshot
};

/// How the fold judged one record: empty, or why it folded to nothing.
struct record_verdict
{
    record_id id_;
    std::optional<reason> ignored_;
};

/// The fate of one proposal, for as long as it is remembered.
struct proposal_outcome
{
    proposal_fate fate_ = proposal_fate::waiting;
    /// The id under which it was read back; another one than proposed if it
    /// was overtaken.
    record_id id_;
    /// Why it folded to nothing.
    std::optional<reason> ignored_;
};

/// Appends one incarnation's records to one stream.
///
/// Records that wait go out together (group commit), one append at a time.
/// A reply is never trusted: a record is settled when it is read back. A
/// record whose append was acknowledged is not sent again before the reader
/// has passed that offset or a timeout is over; all others go out again, under
/// the same id, in the order of their sequences.
///
/// An append that was given up may land after its successors. The fold ignores
/// a sequence that is not above the last one that it accepted, so a record is
/// lost for good once a higher sequence of this writer was read back without
/// it: it was overtaken, and is proposed again under a new sequence. Since
/// that is decided by the stream's order alone, no record takes effect twice.
class log_writer
{
public:
    log_writer(stream_name stream, incarnation writer,
               log_writer_options options);

    /// Queues a record and returns its id. That id names the proposal in this
    /// class for good, also if the record is read back under another one.
    record_id propose(record_body body, log_offset config_offset = no_offset);

    /// Takes back a record that was not sent yet.
    /// @return false if it may be in the log already.
    bool withdraw(record_id const& id);

    /// The append to send now, if one is due.
    std::optional<log_append> poll(time_point now);

    /// Takes a reply. It only decides when the next append goes out.
    void take(time_point now, log_append_result const& result);

    /// An entry of the stream was folded: settles the records of ours in it.
    /// @param verdicts how the fold judged its records; may be empty
    void read_back(log_entry const& entry,
                   std::vector<record_verdict> const& verdicts = {});

    /// The reader went on from a snapshot with that window. What it may have
    /// passed over ends as unknown: whoever proposed it looks at the fold.
    void passed_over(record_window const& window);

    /// True if the proposal was read back, withdrawn or passed over.
    bool settled(record_id const& id) const;

    /// What became of a proposal; empty if that is no longer remembered.
    std::optional<proposal_outcome> outcome(record_id const& id) const;

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

    /// Appends whose reply did not come.
    std::uint64_t unknown_appends() const noexcept
    {
        return unknown_appends_;
    }

    /// Times that records were held back by the rate limit.
    std::uint64_t rate_limited() const noexcept
    {
        return rate_limited_;
    }

    /// Records that were overtaken and proposed again.
    std::uint64_t overtaken() const noexcept
    {
        return overtaken_;
    }

private:
    struct pending
    {
        record record_;
        /// Sequence of the id that `propose()` returned.
        std::uint64_t proposal_ = 0;
        bool sent_ = false;
        /// Offset of the append that was acknowledged with it.
        std::optional<log_offset> acknowledged_;
        time_point acknowledged_at_{};
    };

    /// The sequence that a proposal has now.
    std::uint64_t current(record_id const& id) const;
    bool due(pending const& item, time_point now) const;
    bool any_due(time_point now) const;
    bool only_low_value(time_point now) const;
    void fail(time_point now);
    void settle(std::map<std::uint64_t, pending>::iterator place,
                proposal_fate fate, std::optional<reason> ignored);
    void renew_overtaken(std::uint64_t sequence);
    void forget_acknowledgements(log_offset passed);

    stream_name stream_;
    incarnation writer_;
    log_writer_options options_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t next_ticket_ = 0;
    /// By sequence, so that an append keeps their order.
    std::map<std::uint64_t, pending> waiting_;
    /// Proposal to the sequence that it has now, where that is another one.
    std::map<std::uint64_t, std::uint64_t> renewed_;
    std::map<std::uint64_t, proposal_outcome> outcomes_;
    std::deque<std::uint64_t> outcome_order_;
    std::optional<std::uint64_t> ticket_;
    /// Sequences in the append that is out.
    std::vector<std::uint64_t> in_append_;
    time_point sent_at_{};
    time_point not_before_{};
    backoff backoff_;
    /// Highest own sequence read back.
    std::uint64_t last_read_ = 0;
    std::uint64_t unknown_appends_ = 0;
    std::uint64_t rate_limited_ = 0;
    std::uint64_t overtaken_ = 0;
    bool held_back_ = false;
};

} // namespace cuminfold

#endif
