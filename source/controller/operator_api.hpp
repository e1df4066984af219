#ifndef CUMINFOLD_CONTROLLER_OPERATOR_API_HPP
#define CUMINFOLD_CONTROLLER_OPERATOR_API_HPP

#include "kernel/controller/controller_kernel.hpp"
#include "kernel/record.hpp"
#include "transport/http_message.hpp"

#include <string>
#include <variant>

namespace cuminfold
{

/// Answers a GET request of an operator with the kernel's state as JSON.
///
/// Resources: `/v1/config`, `/v1/status`, `/v1/pools`, `/v1/vms`, `/v1/waves`,
/// `/v1/jobs`, `/v1/explain/vm/ID` and `/v1/confirmations?offset=N`. The status
/// is 404 for an unknown resource or VM and 400 for an invalid offset.
http_response answer_operator(http_request const& request,
                              controller_kernel const& kernel);

/// Parses the body of `POST /v1/config/changes`.
/// @return the change, or an error text if the body is malformed
std::variant<config_change, std::string>
parse_change(http_request const& request);

/// Writes the outcome of a configuration change as an HTTP response with a JSON
/// body.
///
/// The status is 200 if the change is in force, 422 if the configuration would
/// be invalid, 409 if the change was rejected for another reason, such as a
/// conflict, and 504 if it is unknown whether the change was stored.
http_response describe_outcome(operator_reply const& reply);

} // namespace cuminfold

#endif
