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

/// The resource of the caller API that a request addresses.
enum class caller_resource
{
    request,    ///< POST /v1/services/S/requests
    submit_job, ///< POST /v1/services/S/jobs
    read_job,   ///< GET /v1/jobs/J
    cancel_job, ///< DELETE /v1/jobs/J
    health,     ///< GET /healthz
    readiness,  ///< GET /readyz
    metrics,    ///< GET /metrics
    none        ///< no known resource
};

/// A resource and the service name or job id from its path; the name is empty
/// if the path has none.
struct caller_target
{
    caller_resource resource_ = caller_resource::none;
    std::string name_;
};

/// Finds the resource by method and path; `none` if there is no such resource.
caller_target find_caller_target(http_request const& request);

/// Parses a caller's request.
/// @return the request, or an error text that names the invalid header
std::variant<caller_request, std::string>
parse_caller_request(http_request const& http, std::string const& service,
                     request_id id);

/// Parses a caller's job submission, whose body is a JSON object.
/// @return the job, or an error text that says what is invalid in the body
std::variant<caller_job, std::string>
parse_caller_job(http_request const& http, std::string const& service,
                 request_id id);

/// Makes an `application/problem+json` response with `reason` and outcome
/// `not-run`.
http_response make_refusal(not_run const& refusal);
/// Makes an `application/problem+json` response with `reason` and outcome
/// `unknown`.
http_response make_unknown_outcome(outcome_unknown const& outcome);
/// Makes the refusal of a malformed request; `what` is its `detail`.
http_response make_bad_request(std::string const& what);

/// Makes a response that describes a job as JSON.
http_response describe_job(unsigned status, job_entry const& job);

} // namespace cuminfold

#endif
