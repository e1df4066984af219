#include "gateway/dispatch_reply.hpp"

#include "kernel/reason.hpp"

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace cuminfold
{

namespace
{

constexpr unsigned min_error_status = 500;
constexpr std::int64_t max_retry_after_ms = 24LL * 3600 * 1000;

std::string field(http_response const& response, char const* name)
{
    auto const found = response.fields_.find(name);
    return found == response.fields_.end() ? std::string() : found->second;
}

std::optional<std::int64_t> parse_number(std::string const& text)
{
    std::int64_t value = 0;
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

std::optional<reason> parse_reason(std::string const& name)
{
    for (auto const& entry : reason_table())
    {
        if (entry.name_ == name)
        {
            return entry.value_;
        }
    }
    return std::nullopt;
}

dispatch_end end_of(http_end end)
{
    switch (end)
    {
    case http_end::whole:
        return dispatch_end::answered;
    case http_end::not_sent:
        return dispatch_end::not_sent;
    case http_end::lost:
        return dispatch_end::lost;
    case http_end::timeout:
        return dispatch_end::timeout;
    case http_end::truncated:
        return dispatch_end::truncated;
    case http_end::mismatched:
        return dispatch_end::mismatched;
    case http_end::too_large:
        return dispatch_end::too_large;
    }
    return dispatch_end::lost;
}

dispatch_result classify_common(http_result const& reply)
{
    dispatch_result result;
    result.end_ = end_of(reply.end_);
    result.status_ = reply.response_.status_;
    result.content_type_ = field(reply.response_, "content-type");
    if (result.end_ == dispatch_end::answered &&
        result.status_ >= min_error_status)
    {
        result.end_ = dispatch_end::worker_error;
    }
    return result;
}

} // namespace

dispatch_result classify_worker_reply(http_result const& reply)
{
    dispatch_result result = classify_common(reply);
    if (reply.end_ != http_end::whole)
    {
        return result;
    }
    auto const busy =
        parse_number(field(reply.response_, "cuminfold-busy-slots"));
    if (busy && *busy >= 0 && *busy <= INT32_MAX)
    {
        result.busy_slots_ = static_cast<std::int32_t>(*busy);
    }
    result.worker_leaving_ =
        !field(reply.response_, "cuminfold-leaving").empty();
    if (!field(reply.response_, "cuminfold-not-started").empty())
    {
        result.end_ = dispatch_end::not_started;
    }
    return result;
}

dispatch_result classify_gateway_reply(http_result const& reply)
{
    dispatch_result result = classify_common(reply);
    std::string const outcome = field(reply.response_, "cuminfold-outcome");
    if (reply.end_ != http_end::whole || outcome.empty())
    {
        return result;
    }
    result.end_ =
        outcome == "not-run" ? dispatch_end::not_started : dispatch_end::lost;
    result.cause_ = parse_reason(field(reply.response_, "cuminfold-reason"));
    auto const wait =
        parse_number(field(reply.response_, "cuminfold-retry-after"));
    if (wait && *wait >= 0 && *wait <= max_retry_after_ms)
    {
        result.retry_after_ = std::chrono::milliseconds{*wait};
    }
    return result;
}

} // namespace cuminfold
