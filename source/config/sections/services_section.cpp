#include "config/sections/sections.hpp"

#include <chrono>
#include <string>
#include <utility>

namespace cuminfold::detail
{

namespace
{

constexpr duration run_time_limit = std::chrono::hours{24 * 30};

} // namespace

void read_service(section_reader& in, std::string const& name,
                  intended_state& state)
{
    service_spec service;
    service.name_ = service_name{name};
    std::string pool;
    in.require("pool");
    in.read("pool", pool);
    service.pool_ = pool_name{pool};
    in.read("run_time", service.declared_run_time_,
            std::chrono::microseconds{1}, run_time_limit);
    in.read("deadline", service.deadline_, std::chrono::milliseconds{1},
            run_time_limit);
    in.read("idempotent", service.idempotent_);
    if (!pool.empty() && state.pools_.count(service.pool_) == 0)
    {
        in.fail("pool", "no pool '" + pool + "'");
    }
    state.services_[service.name_] = std::move(service);
}

} // namespace cuminfold::detail
