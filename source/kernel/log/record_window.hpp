#ifndef CUMINFOLD_KERNEL_LOG_RECORD_WINDOW_HPP
#define CUMINFOLD_KERNEL_LOG_RECORD_WINDOW_HPP

#include "kernel/identifier.hpp"
#include "kernel/record.hpp"

#include <cstdint>
#include <map>

namespace cuminfold
{

/// The last sequence accepted of each incarnation in one stream.
///
/// A record with that sequence or a lower one is a repeat, or was overtaken,
/// and folds to nothing.
class record_window
{
public:
    /// @return false if the record is to be ignored.
    bool accept(record_id const& id)
    {
        auto& last = last_[id.writer_];
        if (id.sequence_ <= last)
        {
            return false;
        }
        last = id.sequence_;
        return true;
    }

    /// The last sequence accepted of a writer; 0: none.
    std::uint64_t last(incarnation const& writer) const
    {
        auto const found = last_.find(writer);
        return found == last_.end() ? 0 : found->second;
    }

    /// Incarnation to last sequence.
    std::map<incarnation, std::uint64_t> last_;
};

} // namespace cuminfold

#endif
