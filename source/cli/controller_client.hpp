#ifndef CUMINFOLD_CLI_CONTROLLER_CLIENT_HPP
#define CUMINFOLD_CLI_CONTROLLER_CLIENT_HPP

#include "cli/command.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace cuminfold
{

/// A controller's answer.
struct controller_answer
{
    unsigned status_ = 0;
    nlohmann::json body_;
};

/// Asks a controller and waits for its answer.
/// @throws std::runtime_error if there is none; the text names the address
controller_answer ask_controller(command_arguments const& arguments,
                                 std::string const& method,
                                 std::string const& path,
                                 std::string const& body = "");

/// Reads one of the controller's resources.
/// @throws std::runtime_error if there is no answer or it is a refusal
nlohmann::json read_resource(command_arguments const& arguments,
                             std::string const& path);

/// Reads `/v1/NAME` and prints its list of that name as a table of these
/// columns, or the whole as JSON.
int show_resource(command_arguments const& arguments, std::string const& name,
                  std::vector<std::string> const& columns);

/// Refuses words that a command does not take.
/// @throws usage_error
void expect_no_words(command_arguments const& arguments);

} // namespace cuminfold

#endif
