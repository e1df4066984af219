#include "cli/controller_client.hpp"

#include "transport/http_client.hpp"
#include "transport/program.hpp"

#include <boost/asio/io_context.hpp>

#include <stdexcept>
#include <utility>

namespace cuminfold
{

controller_answer ask_controller(command_arguments const& arguments,
                                 std::string const& method,
                                 std::string const& path,
                                 std::string const& body)
{
    if (arguments.controller_.empty())
    {
        throw usage_error("no controller; give --controller IP:PORT");
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

} // namespace cuminfold
