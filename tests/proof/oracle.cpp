#include "proof/oracle.hpp"

#include <algorithm>
#include <utility>

namespace cuminfold
{

namespace
{

/// "No new work after a few seconds".
constexpr duration leaving_limit = std::chrono::seconds{2};

} // namespace

void oracle::run_started(std::string const& vm, std::string const& pool,
                         std::string const& request, std::string const& key,
                         bool idempotent)
{
    ++looks_["one pool"];
    auto& now = running_[vm];
    if (!now.requests_.empty() && now.pool_ != pool)
    {
        breach("one pool", vm + " runs work of " + now.pool_ + " and " + pool);
    }
    now.pool_ = pool;
    now.requests_.insert(request);
    started_.insert(request);
    ++looks_["not run is true"];
    if (refused_.count(request) != 0)
    {
        breach("not run is true", request + " ran after its refusal");
    }
    if (!idempotent)
    {
        ++looks_["at most once"];
        if (++runs_by_key_[key] > 1)
        {
            breach("at most once", key + " ran again on " + vm);
        }
    }
}

void oracle::run_ended(std::string const& vm, std::string const& request)
{
    running_[vm].requests_.erase(request);
}

void oracle::request_over(std::string const& request)
{
    for (auto& item : running_)
    {
        item.second.requests_.erase(request);
    }
}

void oracle::answered(std::string const& request, std::string const& body)
{
    ++looks_["whole own answer"];
    if (body != "answer to " + request)
    {
        breach("whole own answer", request + " got '" + body + "'");
    }
}

void oracle::refused_as_not_run(std::string const& request)
{
    ++looks_["not run is true"];
    refused_.insert(request);
    if (started_.count(request) != 0)
    {
        breach("not run is true", request + " had run");
    }
}

void oracle::vm_lost(std::string const& vm)
{
    running_[vm].requests_.clear();
}

void oracle::rebooted(std::string const& vm, std::size_t tasks)
{
    ++looks_["graceful stop"];
    auto const& cut = running_[vm].requests_;
    if (!cut.empty() || tasks != 0)
    {
        breach("graceful stop",
               vm + " was rebooted with " + std::to_string(cut.size()) +
                   " requests and " + std::to_string(tasks) + " tasks");
    }
    running_[vm].requests_.clear();
}

void oracle::told_leaving(time_point now, std::string const& gateway,
                          std::string const& vm, leaving_source source)
{
    leaving_.emplace(std::make_tuple(gateway, vm, source), now);
}

void oracle::no_longer_leaving(std::string const& gateway,
                               std::string const& vm, leaving_source source)
{
    leaving_.erase({gateway, vm, source});
}

void oracle::dispatched(time_point now, std::string const& gateway,
                        std::string const& vm)
{
    ++looks_["leaving VM gets no work"];
    for (auto const source : {leaving_source::log, leaving_source::worker})
    {
        auto const found = leaving_.find({gateway, vm, source});
        if (found != leaving_.end() && now - found->second > leaving_limit)
        {
            char const* const who =
                source == leaving_source::log ? "the log" : "its worker";
            breach("leaving VM gets no work", gateway + " sent work to " + vm +
                                                  " that " + who +
                                                  " had said was leaving");
        }
    }
}

void oracle::saw_config(std::string const& life, std::uint64_t next,
                        std::string const& content)
{
    ++looks_["config never reverts"];
    auto& before = config_next_[life];
    if (next < before)
    {
        breach("config never reverts", life + " went back from " +
                                           std::to_string(before) + " to " +
                                           std::to_string(next));
    }
    before = next;
    auto const known = config_content_.emplace(next, content);
    if (known.first->second != content)
    {
        breach("config never reverts",
               life + " has other files at " + std::to_string(next));
    }
}

void oracle::saw_pools(std::uint64_t fleet_next,
                       std::map<std::string, std::string> const& vm_to_pool)
{
    ++looks_["one pool"];
    auto const known = pools_at_.emplace(fleet_next, vm_to_pool);
    if (known.first->second != vm_to_pool)
    {
        breach("one pool", "two nodes disagree at fleet offset " +
                               std::to_string(fleet_next));
    }
}

void oracle::saw_fleet(std::map<std::string, pool> const& pools,
                       std::vector<vm> const& vms)
{
    for (auto const& item : pools)
    {
        std::uint32_t available = 0;
        std::uint32_t failed = 0;
        std::uint32_t planned = 0;
        std::map<std::string, std::uint32_t> racks;
        for (auto const& each : vms)
        {
            if (each.pool_ != item.first)
            {
                continue;
            }
            ++racks[each.rack_];
            available += each.up_ && !each.planned_out_ ? 1 : 0;
            failed += !each.up_ && !each.planned_out_ ? 1 : 0;
            planned += each.planned_out_ ? 1 : 0;
        }
        if (planned == 0)
        {
            continue;
        }
        ++looks_["within budget"];
        std::uint32_t reserve = 0;
        if (item.second.rack_reserve_)
        {
            for (auto const& rack : racks)
            {
                reserve = std::max(reserve, rack.second);
            }
        }
        // Failures beyond the reserve are not the planner's doing.
        if (available < item.second.need_ && failed <= reserve)
        {
            breach("within budget",
                   item.first + " has " + std::to_string(available) + " of " +
                       std::to_string(item.second.need_) + " with " +
                       std::to_string(planned) + " in planned stops and " +
                       std::to_string(failed) + " failed");
        }
    }
}

void oracle::config_late(std::string const& life)
{
    breach("config in force in time", life + " lacks an accepted change");
}

void oracle::never_answered(std::string const& request)
{
    breach("answer in time", request + " never had an answer");
}

void oracle::breach(std::string const& check, std::string const& what)
{
    breaches_.push_back(check + ": " + what);
}

} // namespace cuminfold
