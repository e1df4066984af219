#include "kernel/request/latency_histogram.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

/// Buckets per octave.
constexpr std::uint64_t steps = 8;
constexpr int step_bits = 3;
constexpr std::size_t bucket_count = 40 * steps;
/// Total weight at which the weight of all samples is halved.
constexpr double weight_limit = 2000;
/// Samples between two computations of the mean and the quantiles.
constexpr std::uint32_t compute_interval = 16;

std::size_t bucket_of(duration sample)
{
    auto const value =
        static_cast<std::uint64_t>(std::max<duration::rep>(sample.count(), 0));
    if (value < steps)
    {
        return value;
    }
    int octave = 0;
    while ((value >> octave) >= 2 * steps)
    {
        ++octave;
    }
    std::size_t const index =
        (octave + 1) * steps + ((value >> octave) & (steps - 1));
    return std::min(index, bucket_count - 1);
}

/// The largest sample that falls into the bucket.
duration upper_end(std::size_t index)
{
    if (index < steps)
    {
        return duration{static_cast<duration::rep>(index)};
    }
    std::size_t const octave = index / steps - 1;
    std::uint64_t const low = (steps + index % steps) << octave;
    std::uint64_t const width = std::uint64_t{1} << octave;
    return duration{static_cast<duration::rep>(low + width - 1)};
}

static_assert(steps == std::uint64_t{1} << step_bits);

} // namespace

latency_histogram::latency_histogram() : buckets_(bucket_count) {}

void latency_histogram::add(duration sample)
{
    if (weight_ >= weight_limit)
    {
        decay();
    }
    buckets_[bucket_of(sample)] += 1;
    weight_ += 1;
    sum_ += static_cast<double>(sample.count());
    ++since_compute_;
    if (since_compute_ >= compute_interval || weight_ < 2 * min_weight)
    {
        compute();
    }
}

void latency_histogram::decay()
{
    for (auto& bucket : buckets_)
    {
        bucket /= 2;
    }
    weight_ /= 2;
    sum_ /= 2;
}

void latency_histogram::compute()
{
    since_compute_ = 0;
    mean_ = duration{static_cast<duration::rep>(sum_ / weight_)};
    p50_ = quantile(0.5);
    p95_ = quantile(0.95);
    p99_ = quantile(0.99);
}

duration latency_histogram::quantile(double share) const
{
    double below = 0;
    std::size_t last = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i)
    {
        if (buckets_[i] > 0)
        {
            last = i;
        }
        below += static_cast<double>(buckets_[i]);
        if (below >= share * weight_)
        {
            break;
        }
    }
    return upper_end(last);
}

} // namespace cuminfold
