#include "platform_stand_in/platform_vms.hpp"

namespace cuminfold
{

void platform_vms::put(time_point now, std::string const& vm,
                       nlohmann::json description)
{
    description["vm"] = vm;
    vms_[vm] = std::move(description);
    ++version_;
    history_.emplace_back(now, current());
}

nlohmann::json platform_vms::find(std::string const& vm) const
{
    auto const found = vms_.find(vm);
    return found == vms_.end() ? nlohmann::json() : found->second;
}

nlohmann::json platform_vms::list(time_point now, duration lag)
{
    while (history_.size() > 1 && history_[1].first + lag <= now)
    {
        history_.pop_front();
    }
    bool const known = !history_.empty() && history_.front().first + lag <= now;
    if (!known)
    {
        return {{"version", 0}, {"vms", nlohmann::json::array()}};
    }
    return history_.front().second;
}

bool platform_vms::use_token(std::string const& token)
{
    return tokens_.insert(token).second;
}

nlohmann::json platform_vms::current() const
{
    nlohmann::json result = {{"version", version_},
                             {"vms", nlohmann::json::array()}};
    for (auto const& item : vms_)
    {
        result["vms"].push_back(item.second);
    }
    return result;
}

} // namespace cuminfold
