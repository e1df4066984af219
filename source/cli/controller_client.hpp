#ifndef CUMINFOLD_CLI_CONTROLLER_CLIENT_HPP
#define CUMINFOLD_CLI_CONTROLLER_CLIENT_HPP

#include "cli/command.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace cuminfold
{

/// A controller's answer to one request.
struct controller_answer
{
    /// HTTP status code.
    unsigned status_ = 0;
    /// Parsed body; a discarded value if it is not valid JSON.
    nlohmann::json body_;
};

/// Sends a request to the controller and waits up to `arguments.timeout_` for
/// the answer, whatever its status.
/// @throws usage_error if no controller is given
/// @throws std::runtime_error if there is no complete answer; the text names
/// the address
controller_answer send_request(command_arguments const& arguments,
                               std::string const& method,
                               std::string const& path,
                               std::string const& body = "");

/// Reads one of the controller's resources by a GET request.
/// @throws usage_error if no controller is given
/// @throws std::runtime_error if there is no answer, if its status is not 200,
/// or if its body is not a JSON object
nlohmann::json read_resource(command_arguments const& arguments,
                             std::string const& path);

/// Reads `/v1/NAME` and prints the list in its field `NAME` as a table of the
/// given columns, or the whole body as JSON if `arguments.json_` is set.
/// @return the exit status
/// @throws usage_error if there are positional arguments; else as
/// `read_resource`
int show_resource(command_arguments const& arguments, std::string const& name,
                  std::vector<std::string> const& columns);

/// Rejects positional arguments, for a command that takes none.
/// @throws usage_error if there is one
void reject_positional_arguments(command_arguments const& arguments);

} // namespace cuminfold

#endif
