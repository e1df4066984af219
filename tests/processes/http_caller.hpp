#ifndef CUMINFOLD_TESTS_PROCESSES_HTTP_CALLER_HPP
#define CUMINFOLD_TESTS_PROCESSES_HTTP_CALLER_HPP

#include "transport/http_client.hpp"
#include "transport/io_thread.hpp"

#include <future>
#include <memory>
#include <string>
#include <utility>

namespace cuminfold
{

/// Makes HTTP calls from a test; several may be open at once.
class http_caller
{
public:
    http_caller() : io_(16), client_(io_.context(), make_limits())
    {
        io_.start();
    }

    ~http_caller()
    {
        io_.stop();
    }

    std::future<http_result> start(http_call call)
    {
        auto const ended = std::make_shared<std::promise<http_result>>();
        io_.run_from_outside(
            [this, call = std::move(call), ended]
            {
                client_.start(call, [ended](http_result result)
                              { ended->set_value(std::move(result)); });
            });
        return ended->get_future();
    }

    http_result call(std::string const& address, std::string const& method,
                     std::string const& target, std::string const& body = "")
    {
        http_call call;
        call.address_ = address;
        call.method_ = method;
        call.target_ = target;
        call.body_ = body;
        call.timeout_ = std::chrono::seconds{10};
        return start(std::move(call)).get();
    }

private:
    static http_client_limits make_limits()
    {
        http_client_limits limits;
        limits.connections_ = 1024;
        limits.connect_time_ = std::chrono::seconds{5};
        return limits;
    }

    io_thread io_;
    http_client client_;
};

} // namespace cuminfold

#endif
