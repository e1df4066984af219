#ifndef CUMINFOLD_TRANSPORT_METRICS_HPP
#define CUMINFOLD_TRANSPORT_METRICS_HPP

#include "kernel/reason.hpp"
#include "kernel/time.hpp"

#include <memory>
#include <string>

namespace cuminfold
{

/// The process's counters, gauges and distributions, in Prometheus' text
/// form. Any thread may call.
class metrics
{
public:
    metrics();
    ~metrics();

    /// Counts a reason: `cuminfold_reason_total{class=...,reason=...}`. All
    /// reasons are there from the start, at 0.
    void count(reason cause);

    /// Adds to a counter, with one label or none.
    void add(std::string const& name, double value,
             std::string const& label = "", std::string const& value_of = "");

    /// Sets a gauge, with one label or none.
    void set(std::string const& name, double value,
             std::string const& label = "", std::string const& value_of = "");

    /// Adds a time to a distribution; shown as the gauges
    /// `NAME_seconds{quantile="0.5|0.9|0.99"}` and a counter `NAME_count`.
    void observe(std::string const& name, duration value);

    /// All of them as text.
    std::string write() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace cuminfold

#endif
