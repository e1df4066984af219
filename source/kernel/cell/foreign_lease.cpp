#include "kernel/cell/foreign_lease.hpp"

#include <sstream>
#include <stdexcept>

namespace cuminfold
{

std::string encode(foreign_lease const& lease)
{
    return std::to_string(lease.incarnation_start_.time_since_epoch().count()) +
           ' ' + std::to_string(lease.until_.count());
}

foreign_lease decode_foreign_lease(std::string const& text)
{
    std::istringstream fields(text);
    calendar_time::rep start = 0;
    worker_clock::rep until = 0;
    fields >> start >> until;
    if (!fields || !(fields >> std::ws).eof())
    {
        throw std::invalid_argument("not a lease by another clock: " + text);
    }
    return {calendar_time{calendar_time::duration{start}}, worker_clock{until}};
}

} // namespace cuminfold
