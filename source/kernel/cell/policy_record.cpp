#include "kernel/cell/policy_record.hpp"

#include <chrono>
#include <sstream>
#include <stdexcept>

namespace cuminfold
{

namespace
{

using std::chrono::milliseconds;

milliseconds::rep to_milliseconds(duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

} // namespace

std::string encode(advice_policy const& policy)
{
    std::ostringstream text;
    text << to_milliseconds(policy.decision_time_) << ' '
         << to_milliseconds(policy.time_per_worker_) << ' '
         << to_milliseconds(policy.validity_);
    return text.str();
}

advice_policy decode_policy(std::string const& text)
{
    std::istringstream fields(text);
    milliseconds::rep decision = 0;
    milliseconds::rep per_worker = 0;
    milliseconds::rep validity = 0;
    std::string rest;
    fields >> decision >> per_worker >> validity;
    if (!fields || fields >> rest)
    {
        throw std::invalid_argument("not a policy: " + text);
    }
    return {milliseconds{decision}, milliseconds{per_worker},
            milliseconds{validity}};
}

} // namespace cuminfold
