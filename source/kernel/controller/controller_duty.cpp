#include "kernel/controller/controller_duty.hpp"

#include "kernel/log/log_writer.hpp"
#include "kernel/log/record_value.hpp"
#include "kernel/membership/membership.hpp"

#include <utility>

namespace cuminfold
{

record_id duty_context::propose(record_body body)
{
    if (fleet_.data().unknown_kinds_.count(kind_of(body)) != 0)
    {
        actions_.emplace_back(count_reason{reason::record_unknown_kind});
        return record_id{fleet_writer_.writer(), 0};
    }
    return fleet_writer_.propose(std::move(body), config_.version());
}

std::uint32_t duty_context::rank(std::string const& name) const
{
    return members_.rank(name);
}

std::uint32_t duty_context::rank_of_all(std::string const& name) const
{
    return members_.rank_of_all(name);
}

} // namespace cuminfold
