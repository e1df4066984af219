#include "gateway/exchange_store.hpp"

#include <utility>

namespace cuminfold
{

namespace
{

using guard = std::lock_guard<std::mutex>;

} // namespace

bool exchange_store::open(request_id const& request, request_payload payload)
{
    guard const lock(mutex_);
    if (!reserve(payload.body_->size()))
    {
        return false;
    }
    entries_[request].payload_ = std::move(payload);
    return true;
}

std::optional<request_payload>
exchange_store::find(request_id const& request) const
{
    guard const lock(mutex_);
    auto const found = entries_.find(request);
    if (found == entries_.end())
    {
        return std::nullopt;
    }
    return found->second.payload_;
}

bool exchange_store::keep_reply(request_id const& request,
                                dispatch_number dispatch, http_response reply)
{
    guard const lock(mutex_);
    auto const found = entries_.find(request);
    if (found == entries_.end())
    {
        return true;
    }
    if (!reserve(reply.body_.size()))
    {
        return false;
    }
    found->second.replies_[dispatch] = std::move(reply);
    return true;
}

std::optional<http_response>
exchange_store::take_reply(request_id const& request, dispatch_number dispatch)
{
    guard const lock(mutex_);
    auto const found = entries_.find(request);
    if (found == entries_.end())
    {
        return std::nullopt;
    }
    auto const reply = found->second.replies_.find(dispatch);
    if (reply == found->second.replies_.end())
    {
        return std::nullopt;
    }
    http_response taken = std::move(reply->second);
    bytes_ -= taken.body_.size();
    found->second.replies_.erase(reply);
    return taken;
}

void exchange_store::drop_reply(request_id const& request,
                                dispatch_number dispatch)
{
    take_reply(request, dispatch);
}

void exchange_store::close(request_id const& request)
{
    guard const lock(mutex_);
    auto const found = entries_.find(request);
    if (found == entries_.end())
    {
        return;
    }
    bytes_ -= found->second.payload_.body_->size();
    for (auto const& reply : found->second.replies_)
    {
        bytes_ -= reply.second.body_.size();
    }
    entries_.erase(found);
}

std::size_t exchange_store::bytes() const
{
    guard const lock(mutex_);
    return bytes_;
}

bool exchange_store::reserve(std::size_t bytes)
{
    if (bytes_ + bytes > byte_limit_)
    {
        return false;
    }
    bytes_ += bytes;
    return true;
}

} // namespace cuminfold
