#ifndef CUMINFOLD_KERNEL_REQUEST_RETRY_BUDGET_HPP
#define CUMINFOLD_KERNEL_REQUEST_RETRY_BUDGET_HPP

#include "kernel/request/request_options.hpp"

#include <algorithm>

namespace cuminfold
{

/// A token bucket that limits retries to a small share of the successful
/// requests: each success adds part of a token, each retry takes one.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options)
        : options_(options), tokens_(options.limit_)
    {
    }

    /// Adds the tokens of one successful request, up to the limit.
    void on_success()
    {
        tokens_ = std::min(tokens_ + options_.per_success_, options_.limit_);
    }

    /// True if there is a token for a retry.
    bool available() const noexcept
    {
        return tokens_ >= 1;
    }

    /// Takes the token of one retry.
    /// @return false if there is none.
    bool take_token()
    {
        if (!available())
        {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    retry_budget_options options_;
    double tokens_;
};

} // namespace cuminfold

#endif
