#include "kernel/snapshot/snapshot_chunks.hpp"

#include "kernel/hash.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

/// Chunks of the largest snapshot that is put together.
constexpr std::uint32_t chunk_limit = 1024;
/// Snapshots that are put together at once.
constexpr std::size_t partial_limit = 4;

} // namespace

std::vector<snapshot_chunk> split_snapshot(stream_name const& stream,
                                           log_offset next,
                                           std::string const& bytes)
{
    std::vector<snapshot_chunk> chunks;
    std::size_t const count = std::max<std::size_t>(
        1, (bytes.size() + snapshot_chunk_bytes - 1) / snapshot_chunk_bytes);
    for (std::size_t i = 0; i < count; ++i)
    {
        snapshot_chunk chunk;
        chunk.stream_ = stream;
        chunk.next_ = next;
        chunk.index_ = static_cast<std::uint32_t>(i);
        chunk.count_ = static_cast<std::uint32_t>(count);
        chunk.digest_ = stable_hash(bytes);
        chunk.bytes_ =
            bytes.substr(i * snapshot_chunk_bytes, snapshot_chunk_bytes);
        chunks.push_back(std::move(chunk));
    }
    return chunks;
}

snapshot_assembler::snapshot_assembler(stream_name stream)
    : stream_(std::move(stream))
{
}

std::optional<whole_snapshot>
snapshot_assembler::add(incarnation const& writer, snapshot_chunk const& chunk)
{
    key const at{writer, chunk.next_, chunk.digest_};
    auto const known = partials_.find(at);
    bool const wrong =
        chunk.stream_ != stream_ || chunk.count_ == 0 ||
        chunk.count_ > chunk_limit || chunk.index_ >= chunk.count_ ||
        chunk.bytes_.size() > snapshot_chunk_bytes ||
        (known != partials_.end() && known->second.count_ != chunk.count_);
    if (wrong)
    {
        ++corrupt_;
        return std::nullopt;
    }
    partial& part = partials_[at];
    part.count_ = chunk.count_;
    part.age_ = ++added_;
    part.chunks_[chunk.index_] = chunk.bytes_;
    if (part.chunks_.size() < part.count_)
    {
        bound();
        return std::nullopt;
    }
    whole_snapshot whole;
    whole.next_ = chunk.next_;
    for (auto const& item : part.chunks_)
    {
        whole.bytes_ += item.second;
    }
    partials_.erase(at);
    if (stable_hash(whole.bytes_) != chunk.digest_)
    {
        ++corrupt_;
        return std::nullopt;
    }
    return whole;
}

void snapshot_assembler::bound()
{
    if (partials_.size() <= partial_limit)
    {
        return;
    }
    auto const oldest =
        std::min_element(partials_.begin(), partials_.end(),
                         [](auto const& a, auto const& b)
                         { return a.second.age_ < b.second.age_; });
    partials_.erase(oldest);
    ++corrupt_;
}

} // namespace cuminfold
