#include "kernel/cell/start_budget.hpp"

namespace cuminfold
{

namespace
{

/// From this number of lost runs on, every start counts.
constexpr std::uint32_t losses_before_bound = 3;
/// Starts that may follow.
constexpr std::uint32_t max_starts_after_losses = 2;

} // namespace

void start_budget::on_placed(std::uint32_t run) noexcept
{
    if (used_ >= losses_before_bound)
    {
        ++used_;
        counted_run_ = run;
    }
}

void start_budget::on_not_started(std::uint32_t run) noexcept
{
    if (used_ > 0 && counted_run_ == run)
    {
        --used_;
        counted_run_ = 0;
    }
}

void start_budget::on_lost(std::uint32_t run) noexcept
{
    if (counted_run_ != run)
    {
        ++used_;
        counted_run_ = run;
    }
}

void start_budget::on_worker_found(std::uint32_t /*run*/) noexcept
{
    used_ -= used_ > 0 ? 1 : 0;
}

void start_budget::restore(std::uint32_t used, std::uint32_t run) noexcept
{
    used_ = used;
    counted_run_ = used > losses_before_bound ? run : 0;
}

bool start_budget::is_spent() const noexcept
{
    return used_ >= losses_before_bound + max_starts_after_losses;
}

} // namespace cuminfold
