#include "transport/metrics.hpp"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <mutex>

namespace cuminfold
{

namespace
{

namespace acc = boost::accumulators;

using quantile_set = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::p_square_quantile>>;

constexpr std::array<double, 3> quantiles = {0.5, 0.9, 0.99};

/// One accumulator for each of the quantiles.
struct distribution
{
    void add(double value)
    {
        for (auto& each : sets_)
        {
            each(value);
        }
    }

    std::array<quantile_set, quantiles.size()> sets_ = {
        quantile_set(acc::quantile_probability = quantiles[0]),
        quantile_set(acc::quantile_probability = quantiles[1]),
        quantile_set(acc::quantile_probability = quantiles[2])};
};

char const* class_name(reason_class value)
{
    static constexpr std::array<char const*, 9> names = {
        "refusal", "unknown_outcome", "retry", "dropped_reply", "job",
        "config",  "maintenance",     "log",   "peer"};
    return names[static_cast<std::size_t>(value)];
}

std::string quantile_text(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    return text;
}

} // namespace

class metrics::impl
{
public:
    impl()
    {
        auto& family = prometheus::BuildCounter()
                           .Name("cuminfold_reason_total")
                           .Help("Refusals, retries and other events by reason")
                           .Register(registry_);
        for (auto const& entry : reason_table())
        {
            reasons_[static_cast<std::size_t>(entry.value_)] =
                &family.Add({{"class", class_name(entry.class_)},
                             {"reason", std::string(entry.name_)}});
        }
    }

    void count(reason cause)
    {
        reasons_[static_cast<std::size_t>(cause)]->Increment();
    }

    void add(std::string const& name, double value, std::string const& label,
             std::string const& value_of)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto& family =
            prometheus::BuildCounter().Name(name).Register(registry_);
        family.Add(labels_of(label, value_of)).Increment(value);
    }

    void set(std::string const& name, double value, std::string const& label,
             std::string const& value_of)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        prometheus::BuildGauge()
            .Name(name)
            .Register(registry_)
            .Add(labels_of(label, value_of))
            .Set(value);
    }

    void observe(std::string const& name, duration value)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        distributions_[name].add(std::chrono::duration<double>(value).count());
    }

    std::string write()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        for (auto const& item : distributions_)
        {
            publish(item.first, item.second);
        }
        return prometheus::TextSerializer().Serialize(registry_.Collect());
    }

private:
    static prometheus::Labels labels_of(std::string const& label,
                                        std::string const& value_of)
    {
        return label.empty() ? prometheus::Labels{}
                             : prometheus::Labels{{label, value_of}};
    }

    void publish(std::string const& name, distribution const& values)
    {
        auto& family = prometheus::BuildGauge()
                           .Name(name + "_seconds")
                           .Register(registry_);
        for (std::size_t i = 0; i < quantiles.size(); ++i)
        {
            family.Add({{"quantile", quantile_text(quantiles[i])}})
                .Set(acc::p_square_quantile(values.sets_[i]));
        }
        prometheus::BuildGauge()
            .Name(name + "_count")
            .Register(registry_)
            .Add({})
            .Set(static_cast<double>(acc::count(values.sets_.front())));
    }

    std::mutex mutex_;
    prometheus::Registry registry_{prometheus::Registry::InsertBehavior::Merge};
    std::array<prometheus::Counter*, reason_count> reasons_{};
    std::map<std::string, distribution> distributions_;
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::count(reason cause)
{
    impl_->count(cause);
}

void metrics::add(std::string const& name, double value,
                  std::string const& label, std::string const& value_of)
{
    impl_->add(name, value, label, value_of);
}

void metrics::set(std::string const& name, double value,
                  std::string const& label, std::string const& value_of)
{
    impl_->set(name, value, label, value_of);
}

void metrics::observe(std::string const& name, duration value)
{
    impl_->observe(name, value);
}

std::string metrics::write() const
{
    return impl_->write();
}

} // namespace cuminfold
