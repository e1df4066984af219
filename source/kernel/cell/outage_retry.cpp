#include "kernel/cell/outage_retry.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

constexpr duration min_retry_after = std::chrono::seconds{1};
constexpr duration max_retry_after = std::chrono::seconds{3};

} // namespace

duration outage_retry_after(duration outage)
{
    return std::clamp(outage / 2, min_retry_after, max_retry_after);
}

} // namespace cuminfold
