#ifndef CUMINFOLD_CLI_CONTROLLER_CLIENT_HPP
#define CUMINFOLD_CLI_CONTROLLER_CLIENT_HPP

#include "cli/command.hpp"

#include <nlohmann/json.hpp>

#include <string>

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

} // namespace cuminfold

#endif
