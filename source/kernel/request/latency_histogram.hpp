#ifndef CUMINFOLD_KERNEL_REQUEST_LATENCY_HISTOGRAM_HPP
#define CUMINFOLD_KERNEL_REQUEST_LATENCY_HISTOGRAM_HPP

#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminfold
{

/// Estimates the distribution of a duration from samples; the weight of old
/// samples decays.
///
/// Buckets are logarithmic with eight steps per octave, so that a quantile is
/// at most an eighth too high. Adding a sample costs O(1) on average; the mean
/// and the quantiles are recomputed once in 16 samples, or with each sample
/// while there are few.
class latency_histogram
{
public:
    latency_histogram();

    void add(duration sample);

    /// Total weight of the samples; each one starts with weight 1.
    double weight() const noexcept
    {
        return weight_;
    }

    /// True once the mean and the quantiles are reliable.
    bool has_enough_samples() const noexcept
    {
        return weight_ >= min_weight;
    }

    duration mean() const noexcept
    {
        return mean_;
    }
    duration p50() const noexcept
    {
        return p50_;
    }
    duration p95() const noexcept
    {
        return p95_;
    }
    duration p99() const noexcept
    {
        return p99_;
    }

private:
    static constexpr double min_weight = 20;

    void decay();
    void compute();
    duration quantile(double share) const;

    std::vector<float> buckets_;
    double weight_ = 0;
    double sum_ = 0;
    std::uint32_t since_compute_ = 0;
    duration mean_{0};
    duration p50_{0};
    duration p95_{0};
    duration p99_{0};
};

} // namespace cuminfold

#endif
