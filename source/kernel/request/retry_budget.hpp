#ifndef CUMINFOLD_KERNEL_REQUEST_RETRY_BUDGET_HPP
#define CUMINFOLD_KERNEL_REQUEST_RETRY_BUDGET_HPP

#include "kernel/request/request_options.hpp"

#include <algorithm>

namespace cuminfold
{

/// A token bucket that successes fill and retries empty, so that retries stay
/// a small share of the work that succeeds.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options)
        : options_(options), tokens_(options.limit_)
    {
    }

    void succeeded()
    {
        tokens_ = std::min(tokens_ + options_.per_success_, options_.limit_);
    }

    bool available() const noexcept
    {
        return tokens_ >= 1;
    }

    /// @return false if there is no token.
    bool take()
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
