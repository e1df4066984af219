#include "kernel/controller/controller_duty.hpp"

#include "kernel/log/log_writer.hpp"
#include "kernel/membership/membership.hpp"

#include <utility>

namespace cuminfold
{

record_id duty_context::propose(record_body body)
{
    return fleet_writer_.propose(std::move(body), config_.version());
}

std::uint32_t duty_context::rank(std::string const& name) const
{
    return members_.rank(name);
}

} // namespace cuminfold
