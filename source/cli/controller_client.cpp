#include "cli/controller_client.hpp"

#include "cli/table_text.hpp"
#include "transport/http_client.hpp"
#include "transport/program.hpp"

#include <boost/asio/io_context.hpp>

#include <iostream>
#include <stdexcept>
#include <utility>

namespace cuminfold
{

controller_answer send_request(command_arguments const& arguments,
                               std::string const& method,
                               std::string const& path, std::string const& body)
{
    if (arguments.controller_.empty())
    {
        throw usage_error("no controller; give --controller IP:PORT, or "
                          "'controller' in the settings file");
    }
    boost::asio::io_context context;
    http_client client(context, http_client_limits{});
    http_call call;
    call.address_ = arguments.controller_;
    call.method_ = method;
    call.target_ = path;
    call.body_ = body;
    call.timeout_ = arguments.timeout_;
    http_result result;
    client.start(std::move(call),
                 [&](http_result answer)
                 {
                     result = std::move(answer);
                     context.stop();
                 });
    context.run();
    if (result.end_ != http_end::whole)
    {
        throw std::runtime_error("no answer from the controller at " +
                                 arguments.controller_ +
                                 "; is it running, and is --controller right?");
    }
    return {result.response_.status_,
            nlohmann::json::parse(result.response_.body_, nullptr, false)};
}

nlohmann::json read_resource(command_arguments const& arguments,
                             std::string const& path)
{
    auto const answer = send_request(arguments, "GET", path);
    nlohmann::json const& body = answer.body_;
    if (answer.status_ == 200 && body.is_object())
    {
        return body;
    }
    std::string const cause =
        body.is_object() ? body.value("error", "") : std::string();
    throw std::runtime_error(
        "the controller at " + arguments.controller_ + " refused " + path +
        (cause.empty() ? " with status " + std::to_string(answer.status_)
                       : ": " + cause));
}

int show_resource(command_arguments const& arguments, std::string const& name,
                  std::vector<std::string> const& columns)
{
    reject_positional_arguments(arguments);
    nlohmann::json const body = read_resource(arguments, "/v1/" + name);
    std::cout << (arguments.json_ ? body.dump(2) + "\n"
                                  : format_table(columns, body.at(name)));
    return exit_fine;
}

void reject_positional_arguments(command_arguments const& arguments)
{
    if (!arguments.positional_.empty())
    {
        throw usage_error("unexpected argument '" +
                          arguments.positional_.front() + "'");
    }
}

} // namespace cuminfold
