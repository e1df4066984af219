#include "soak/soak_keys.hpp"

#include "platform/stand_in/platform_stand_in.hpp"

namespace cuminfold
{

namespace
{

using platform::platform_stand_in;
using std::chrono::milliseconds;

constexpr std::uint32_t longest_change_ms = 2500;
constexpr milliseconds probe_time{3000};
constexpr unsigned status_ok = 200;

std::string key_name(std::size_t number)
{
    return "key-" + std::to_string(number);
}

} // namespace

soak_keys::soak_keys(soak_system& system, soak_oracle& oracle,
                     std::uint32_t seed, bool enabled)
    : system_(system), oracle_(oracle), random_(seed), enabled_(enabled)
{
    if (enabled_)
    {
        publish();
    }
}

std::string soak_keys::authorization() const
{
    return enabled_ ? "Bearer " + key_name(newest_) : "";
}

void soak_keys::publish()
{
    std::vector<std::string> keys;
    for (auto number = revoked_ + 1; number <= newest_; ++number)
    {
        keys.push_back(key_name(number));
    }
    system_.set_keys(keys);
    next_change_ =
        clock::now() + milliseconds{500 + random_() % longest_change_ms};
}

void soak_keys::probe()
{
    bool const is_unknown = ++probes_ % 4 == 0;
    http_call call;
    call.address_ = system_.clients_address(random_() % system_.nodes());
    call.method_ = "GET";
    call.target_ = platform_stand_in::prefix_;
    call.fields_["host"] = platform_stand_in::host_;
    call.fields_["deadline-ms"] = std::to_string(probe_time.count());
    probe_name_ = is_unknown ? "never-a-key" : key_name(revoked_);
    call.fields_["authorization"] = "Bearer " + probe_name_;
    call.timeout_ = probe_time;
    probe_is_invalid_ =
        is_unknown ||
        clock::now() > revoked_at_ + soak_system::revocation_limit;
    probe_ = caller_.start(std::move(call));
}

void soak_keys::take_probe()
{
    auto const result = probe_.get();
    if (probe_is_invalid_ && result.end_ == http_end::whole &&
        result.response_.status_ == status_ok)
    {
        oracle_.key_accepted(probe_name_);
    }
}

void soak_keys::tick()
{
    if (!enabled_)
    {
        return;
    }
    if (clock::now() >= next_change_)
    {
        // A new key is added before the one that it replaces is revoked.
        bool const revokes = newest_ > revoked_ + 1;
        revokes ? ++revoked_ : ++newest_;
        publish();
        revoked_at_ = revokes ? clock::now() : revoked_at_;
    }
    if (!probe_.valid())
    {
        probe();
    }
    else if (probe_.wait_for(milliseconds{0}) == std::future_status::ready)
    {
        take_probe();
    }
}

} // namespace cuminfold
