#include "worker/worker_faults.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

namespace cuminfold
{

namespace
{

constexpr std::size_t oversize_bytes = 16 * 1024 * 1024;

/// Maps a fault's JSON name to its member.
struct fault_switch
{
    char const* name_;
    bool worker_faults::*member_;
};

constexpr std::array<fault_switch, 9> switches = {{
    {"fail_all", &worker_faults::fail_all_},
    {"hang", &worker_faults::hang_},
    {"swap_ids", &worker_faults::swap_ids_},
    {"unhealthy", &worker_faults::unhealthy_},
    {"leaving", &worker_faults::leaving_},
    {"truncate", &worker_faults::truncate_},
    {"duplicate", &worker_faults::duplicate_},
    {"oversize", &worker_faults::oversize_},
    {"garbage", &worker_faults::garbage_},
}};

/// Serializes a response with the given content length, which may differ from
/// the body's size.
std::string to_bytes(http_response const& response, std::size_t length)
{
    std::string text =
        "HTTP/1.1 " + std::to_string(response.status_) + " Answer\r\n";
    for (auto const& field : response.fields_)
    {
        text += field.first + ": " + field.second + "\r\n";
    }
    text += "content-length: " + std::to_string(length) + "\r\n\r\n";
    return text + response.body_;
}

} // namespace

bool worker_faults::fails_at(time_point now) const
{
    bool const odd = flap_.count() > 0 &&
                     now.time_since_epoch().count() / flap_.count() % 2 != 0;
    return fail_all_ || odd;
}

void update_faults(worker_faults& faults, nlohmann::json const& changes)
{
    for (auto const& item : switches)
    {
        faults.*item.member_ = changes.value(item.name_, faults.*item.member_);
    }
    using std::chrono::milliseconds;
    auto const number = [&](char const* name, duration old)
    {
        auto const count =
            std::chrono::duration_cast<milliseconds>(old).count();
        return duration{milliseconds{changes.value(name, count)}};
    };
    faults.slowdown_ = changes.value("slowdown", faults.slowdown_);
    faults.late_ = number("late_ms", faults.late_);
    faults.flap_ = number("flap_ms", faults.flap_);
}

http_response apply_faults(worker_faults const& faults, http_response response)
{
    std::size_t const length = response.body_.size();
    if (faults.oversize_)
    {
        response.body_.assign(oversize_bytes, 'x');
    }
    else if (faults.garbage_)
    {
        response.raw_ = "\x01garbage\r\n\xff\r\n\r\n";
        response.raw_close_ = true;
    }
    else if (faults.truncate_)
    {
        response.body_.resize(length / 2);
        response.raw_ = to_bytes(response, length);
        response.raw_close_ = true;
    }
    else if (faults.duplicate_)
    {
        std::string const once = to_bytes(response, length);
        response.raw_ = once + once;
    }
    return response;
}

} // namespace cuminfold
