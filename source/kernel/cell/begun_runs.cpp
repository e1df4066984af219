#include "kernel/cell/begun_runs.hpp"

namespace cuminfold
{

namespace
{

constexpr std::uint32_t recent_bits = 64;

} // namespace

void begun_runs::add(std::uint32_t run) noexcept
{
    if (run > latest_)
    {
        auto const newer = run - latest_;
        recent_ = newer < recent_bits ? recent_ << newer : 0;
        latest_ = run;
    }
    auto const age = latest_ - run;
    if (age < recent_bits)
    {
        recent_ |= std::uint64_t{1} << age;
    }
}

bool begun_runs::contains(std::uint32_t run) const noexcept
{
    auto const age = latest_ - run;
    return run <= latest_ && age < recent_bits &&
           ((recent_ >> age) & std::uint64_t{1}) != 0;
}

} // namespace cuminfold
