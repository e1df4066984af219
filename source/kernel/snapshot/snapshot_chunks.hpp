#ifndef CUMINFOLD_KERNEL_SNAPSHOT_SNAPSHOT_CHUNKS_HPP
#define CUMINFOLD_KERNEL_SNAPSHOT_SNAPSHOT_CHUNKS_HPP

#include "kernel/identifier.hpp"
#include "kernel/record.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace cuminfold
{

/// Bytes of one chunk.
inline constexpr std::size_t snapshot_chunk_bytes = 64 * 1024;

/// Cuts an encoded state into chunks.
std::vector<snapshot_chunk> split_snapshot(stream_name const& stream,
                                           log_offset next,
                                           std::string const& bytes);

/// A snapshot whose chunks are all there and match its digest.
struct whole_snapshot
{
    log_offset next_ = 0;
    std::string bytes_;
};

/// Puts chunks together again. Chunks may come in any order, twice, from
/// several writers and not all; what does not match its digest, or lies about
/// its size, is dropped and counted.
class snapshot_assembler
{
public:
    explicit snapshot_assembler(stream_name stream);

    /// @return the snapshot that this chunk completes
    std::optional<whole_snapshot> add(incarnation const& writer,
                                      snapshot_chunk const& chunk);

    /// Snapshots that were dropped.
    std::uint64_t corrupt() const noexcept
    {
        return corrupt_;
    }

private:
    struct partial
    {
        std::uint32_t count_ = 0;
        std::uint64_t age_ = 0;
        std::map<std::uint32_t, std::string> chunks_;
    };
    using key = std::tuple<incarnation, log_offset, std::uint64_t>;

    void bound();

    stream_name stream_;
    std::map<key, partial> partials_;
    std::uint64_t added_ = 0;
    std::uint64_t corrupt_ = 0;
};

} // namespace cuminfold

#endif
