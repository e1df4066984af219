#ifndef CUMINFOLD_NODE_FORWARD_WATCH_HPP
#define CUMINFOLD_NODE_FORWARD_WATCH_HPP

#include "kernel/cell/owner_record.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace cuminfold
{

/// Finds forwarded calls that were lost on their way, or whose answers were,
/// since their connections have fallen silent. Decides when to ask the owner
/// which of the calls without an answer it executes. A call that it does not
/// execute by two checks was lost; one check may overtake a call on the way. A
/// busy owner reads a check after the calls, a slow one executes them, and a
/// stopped one does not answer checks, so that none gets a call twice.
class forward_watch
{
public:
    /// @param delay time without an answer after which a call is checked
    explicit forward_watch(duration delay) : delay_(delay) {}

    /// Adds a call that was written to a connection to the owner of `epoch`.
    /// Calls to an earlier owner are not checked any more.
    /// @param bytes of the call, which take time on a slow link
    /// @param repeats how often the call was lost before
    void add(std::uint64_t call, owner_epoch epoch, std::size_t bytes,
             std::uint32_t repeats, time_point now);
    /// Removes a call that has ended or was cancelled.
    void remove(std::uint64_t call);

    /// Returns the calls to check now, and begins a check unless there are
    /// none. One check is in flight at a time.
    std::vector<std::uint64_t> begin_check(time_point now);
    /// Ends the check.
    /// @param executing those of the checked calls that the owner executes
    /// @return the checked calls that have no answer and are lost
    std::vector<std::uint64_t>
    end_check(std::vector<std::uint64_t> const& executing, time_point now);
    /// Ends a check without an answer; it is due again.
    void fail_check();
    /// Ends a check of an owner that does not support checks: the calls are not
    /// checked again.
    void reject_check();

private:
    struct call_state
    {
        duration delay_{0};
        time_point check_at_{};
        /// Checks in a row by which the owner did not execute it.
        std::uint32_t misses_ = 0;
    };

    duration delay_;
    owner_epoch epoch_ = 0;
    std::map<std::uint64_t, call_state> calls_;
    /// Calls of the check in flight.
    std::vector<std::uint64_t> checked_;
    time_point next_check_{};
};

} // namespace cuminfold

#endif
