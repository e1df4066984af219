#ifndef CUMINFOLD_CONTROLLER_OPERATOR_API_HPP
#define CUMINFOLD_CONTROLLER_OPERATOR_API_HPP

#include "kernel/controller/controller_kernel.hpp"
#include "kernel/record.hpp"
#include "transport/http_message.hpp"

#include <string>
#include <variant>

namespace cuminfold
{

/// The operators' HTTP interface: what the kernel knows, as JSON.
///
/// `GET /v1/config`, `/v1/status`, `/v1/pools`, `/v1/vms`, `/v1/waves`,
/// `/v1/jobs` and `/v1/explain/vm/ID`.
http_response answer_operator(http_request const& request,
                              controller_kernel const& kernel);

/// The change that `POST /v1/config/changes` carries; a text says what is
/// wrong.
std::variant<config_change, std::string>
parse_change(http_request const& request);

/// What became of a change, as JSON: 200 in force, 409 conflict, 422 invalid,
/// 504 unknown.
http_response describe_outcome(operator_reply const& reply);

} // namespace cuminfold

#endif
