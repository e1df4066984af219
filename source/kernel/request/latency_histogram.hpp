#ifndef CUMINFOLD_KERNEL_REQUEST_LATENCY_HISTOGRAM_HPP
#define CUMINFOLD_KERNEL_REQUEST_LATENCY_HISTOGRAM_HPP

#include "kernel/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cuminfold
{

/// Learns the distribution of a duration from samples; old samples fade.
///
/// Buckets are logarithmic with eight steps an octave, so that a quantile is
/// at most an eighth too high. Adding is O(1); the figures that are read are
/// computed anew once in a few samples.
class latency_histogram
{
public:
    latency_histogram();

    void add(duration sample);

    /// Samples that count; fading lowers it.
    double weight() const noexcept
    {
        return weight_;
    }

    /// True once there are enough samples to rely on.
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
