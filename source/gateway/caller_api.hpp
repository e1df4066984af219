#ifndef CUMINFOLD_GATEWAY_CALLER_API_HPP
#define CUMINFOLD_GATEWAY_CALLER_API_HPP

#include "kernel/fleet/job_table.hpp"
#include "kernel/gateway/gateway_event.hpp"
#include "kernel/outcome.hpp"
#include "transport/http_message.hpp"

#include <optional>
#include <string>
#include <variant>

namespace cuminfold
{

/// Which of the callers' resources a request addresses.
enum class caller_resource
{
    request,    ///< POST /v1/services/S/requests
    submit_job, ///< POST /v1/services/S/jobs
    read_job,   ///< GET /v1/jobs/J
    cancel_job, ///< DELETE /v1/jobs/J
    health,
    readiness,
    metrics,
    none
};

/// The resource, with the name that its path holds.
struct caller_target
{
    caller_resource resource_ = caller_resource::none;
    std::string name_;
};

caller_target find_caller_target(http_request const& request);

/// A caller's request from its HTTP head; a text says what is wrong.
std::variant<caller_request, std::string>
parse_caller_request(http_request const& http, std::string const& service,
                     request_id id);

/// A caller's job from its HTTP request; a text says what is wrong.
std::variant<caller_job, std::string>
parse_caller_job(http_request const& http, std::string const& service,
                 request_id id);

/// `application/problem+json` with `reason` and `outcome`.
http_response make_refusal(not_run const& refusal);
http_response make_unknown_outcome(outcome_unknown const& outcome);
/// The refusal of a request that is malformed.
http_response make_bad_request(std::string const& what);

/// A job as callers see it.
http_response describe_job(unsigned status, job_entry const& job);

} // namespace cuminfold

#endif
