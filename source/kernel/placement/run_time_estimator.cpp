#include "kernel/placement/run_time_estimator.hpp"

#include <algorithm>
#include <chrono>

namespace cuminfold
{

namespace
{

/// Weight of the newest run in the moving average.
constexpr double newest_weight = 0.2;
constexpr double margin = 1.25;
constexpr double ratio_limit = 1000.0;
/// Longest estimate.
constexpr duration estimate_limit = std::chrono::hours{24 * 30};

} // namespace

void run_time_estimator::learn(service_name const& service, duration declared,
                               duration observed)
{
    if (declared.count() <= 0 || observed.count() < 0)
    {
        return;
    }
    double const seen = std::min(static_cast<double>(observed.count()) /
                                     static_cast<double>(declared.count()),
                                 ratio_limit);
    auto const [place, fresh] = ratio_.emplace(service, seen);
    if (!fresh)
    {
        place->second += newest_weight * (seen - place->second);
    }
}

duration run_time_estimator::estimate(service_name const& service,
                                      duration declared) const
{
    auto const found = ratio_.find(service);
    double const ratio = found == ratio_.end() ? 1.0 : found->second;
    double const scaled =
        static_cast<double>(std::max(declared, duration{0}).count()) * ratio *
        margin;
    double const limit = static_cast<double>(estimate_limit.count());
    return duration{static_cast<duration::rep>(std::min(scaled, limit))};
}

} // namespace cuminfold
