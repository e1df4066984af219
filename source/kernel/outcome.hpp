#ifndef CUMINFOLD_KERNEL_OUTCOME_HPP
#define CUMINFOLD_KERNEL_OUTCOME_HPP

#include "kernel/reason.hpp"
#include "kernel/time.hpp"

#include <string>
#include <utility>
#include <variant>

/// What a caller's request can come to. "Not run" and "unknown" are types that
/// cannot be made from each other: a request that was dispatched has no way to
/// a `not_run` but through the proof that no worker started it.

namespace cuminfold
{

/// Proof that no worker started a request. Only `request_progress` makes one,
/// while nothing was dispatched or every dispatch is proved not started.
class not_started_proof
{
private:
    friend class request_progress;
    not_started_proof() = default;
};

/// Keeps what is known of the dispatches of one request.
class request_progress
{
public:
    /// A dispatch is handed to the transport.
    void dispatched()
    {
        ++open_;
    }

    /// A dispatch ended before any byte was sent, or the worker itself said
    /// that it did not start the request.
    void dispatch_not_started()
    {
        --open_;
    }

    /// A dispatch ended and may have run. There is no way back.
    void dispatch_may_have_run()
    {
        --open_;
        may_have_run_ = true;
    }

    bool may_have_run() const noexcept
    {
        return may_have_run_ || open_ > 0;
    }

    /// Dispatches whose end is not known yet.
    int open() const noexcept
    {
        return open_;
    }

    /// Calls `not_run(not_started_proof)` if no worker started the request,
    /// else `unknown()`.
    template <class NotRun, class Unknown>
    auto conclude(NotRun&& not_run, Unknown&& unknown) const
    {
        if (may_have_run())
        {
            return std::forward<Unknown>(unknown)();
        }
        return std::forward<NotRun>(not_run)(not_started_proof{});
    }

private:
    int open_ = 0;
    bool may_have_run_ = false;
};

/// A refusal: the request truly did not run.
class not_run
{
public:
    not_run(not_started_proof, reason cause, duration retry_after = duration{0})
        : cause_(cause), retry_after_(retry_after)
    {
    }

    reason cause() const noexcept
    {
        return cause_;
    }

    /// When to come back; zero: nothing is known about that.
    duration retry_after() const noexcept
    {
        return retry_after_;
    }

private:
    reason cause_;
    duration retry_after_;
};

/// The request may have run; the caller must not take it for not run.
class outcome_unknown
{
public:
    explicit outcome_unknown(reason cause, duration retry_after = duration{0})
        : cause_(cause), retry_after_(retry_after)
    {
    }

    reason cause() const noexcept
    {
        return cause_;
    }

    /// When the outcome may be known; zero: nothing is known about that.
    duration retry_after() const noexcept
    {
        return retry_after_;
    }

private:
    reason cause_;
    duration retry_after_;
};

} // namespace cuminfold

#endif
