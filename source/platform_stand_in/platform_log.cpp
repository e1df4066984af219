#include "platform_stand_in/platform_log.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

log_offset platform_log::append(std::string const& stream, std::string bytes)
{
    auto& data = streams_[stream];
    data.entries_.push_back(std::move(bytes));
    log_offset const offset = data.first_ + data.entries_.size() - 1;
    if (data.entries_.size() > max_entries_)
    {
        data.entries_.pop_front();
        ++data.first_;
    }
    return offset;
}

log_offset platform_log::earliest(std::string const& stream) const
{
    auto const* data = find(stream);
    return data == nullptr ? 0 : data->first_;
}

log_offset platform_log::end(std::string const& stream) const
{
    auto const* data = find(stream);
    return data == nullptr ? 0 : data->first_ + data->entries_.size();
}

std::vector<std::string> platform_log::read(std::string const& stream,
                                            log_offset from,
                                            std::size_t limit) const
{
    std::vector<std::string> result;
    auto const* data = find(stream);
    if (data == nullptr)
    {
        return result;
    }
    log_offset const stop = std::min<log_offset>(from + limit, end(stream));
    for (log_offset at = from; at < stop; ++at)
    {
        result.push_back(data->entries_[at - data->first_]);
    }
    return result;
}

void platform_log::drop_before(std::string const& stream, log_offset offset)
{
    auto& data = streams_[stream];
    while (!data.entries_.empty() && data.first_ < offset)
    {
        data.entries_.pop_front();
        ++data.first_;
    }
}

platform_log::stream_data const*
platform_log::find(std::string const& stream) const
{
    auto const found = streams_.find(stream);
    return found == streams_.end() ? nullptr : &found->second;
}

} // namespace cuminfold
