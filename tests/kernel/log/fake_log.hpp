#ifndef CUMINFOLD_TESTS_KERNEL_LOG_FAKE_LOG_HPP
#define CUMINFOLD_TESTS_KERNEL_LOG_FAKE_LOG_HPP

#include "kernel/log_port.hpp"

#include <algorithm>
#include <vector>

namespace cuminfold
{

/// One stream of the platform's log, in memory.
class fake_log
{
public:
    log_offset append(std::vector<record> records)
    {
        entries_.push_back({end(), std::move(records)});
        return entries_.back().offset_;
    }

    log_offset end() const
    {
        return first_ + entries_.size();
    }

    /// Retention: drops entries before an offset.
    void drop_before(log_offset offset)
    {
        while (first_ < offset && !entries_.empty())
        {
            entries_.erase(entries_.begin());
            ++first_;
        }
    }

    log_read_result read(log_read const& what) const
    {
        log_read_result result;
        result.stream_ = what.stream_;
        result.from_ = what.from_;
        result.earliest_ = first_;
        result.end_ = end();
        result.status_ =
            what.from_ < first_ ? log_read_status::gap : log_read_status::ok;
        if (result.status_ == log_read_status::ok && what.from_ < end())
        {
            auto const count = std::min<std::size_t>(
                what.limit_, static_cast<std::size_t>(end() - what.from_));
            auto const from = entries_.begin() +
                              static_cast<std::ptrdiff_t>(what.from_ - first_);
            result.entries_.assign(from,
                                   from + static_cast<std::ptrdiff_t>(count));
        }
        return result;
    }

    std::vector<log_entry> const& entries() const
    {
        return entries_;
    }

private:
    log_offset first_ = 0;
    std::vector<log_entry> entries_;
};

} // namespace cuminfold

#endif
