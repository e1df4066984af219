#ifndef CUMINFOLD_PLATFORM_STAND_IN_PLATFORM_LOG_HPP
#define CUMINFOLD_PLATFORM_STAND_IN_PLATFORM_LOG_HPP

#include "kernel/identifier.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cuminfold
{

/// In-memory append-only log of the platform stand-in. Each stream has entries
/// with consecutive offsets from 0 and drops its oldest entries beyond a limit.
class platform_log
{
public:
    /// @param max_entries number of entries that each stream keeps
    explicit platform_log(std::size_t max_entries) : max_entries_(max_entries)
    {
    }

    /// Appends an entry and creates the stream if it does not exist.
    /// @return the entry's offset
    log_offset append(std::string const& stream, std::string bytes);

    /// Offset of the oldest retained entry; 0 for an unknown stream.
    log_offset earliest(std::string const& stream) const;
    /// Offset of the next entry to be appended; 0 for an unknown stream.
    log_offset end(std::string const& stream) const;

    /// Returns up to `limit` entries starting at `from`. The caller ensures
    /// that `from` is not before `earliest()`.
    std::vector<std::string> read(std::string const& stream, log_offset from,
                                  std::size_t limit) const;

    /// Drops the entries with offsets below `offset`.
    void drop_before(std::string const& stream, log_offset offset);

private:
    struct stream_data
    {
        log_offset first_ = 0;
        std::deque<std::string> entries_;
    };

    stream_data const* find(std::string const& stream) const;

    std::size_t max_entries_;
    std::map<std::string, stream_data> streams_;
};

} // namespace cuminfold

#endif
