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

/// The stand-in's append-only log, in memory: streams of entries with dense
/// offsets, of which the oldest are dropped beyond a limit.
class platform_log
{
public:
    /// @param kept entries that each stream keeps
    explicit platform_log(std::size_t kept) : kept_(kept) {}

    /// @return the entry's offset
    log_offset append(std::string const& stream, std::string bytes);

    log_offset earliest(std::string const& stream) const;
    log_offset end(std::string const& stream) const;

    /// Entries from an offset on that is not before `earliest()`.
    std::vector<std::string> read(std::string const& stream, log_offset from,
                                  std::size_t limit) const;

    /// Drops entries before an offset.
    void drop_before(std::string const& stream, log_offset offset);

private:
    struct stream_data
    {
        log_offset first_ = 0;
        std::deque<std::string> entries_;
    };

    stream_data const* find(std::string const& stream) const;

    std::size_t kept_;
    std::map<std::string, stream_data> streams_;
};

} // namespace cuminfold

#endif
