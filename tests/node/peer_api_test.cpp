#include "node/peer_api.hpp"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <string>

using namespace cuminfold;

// Guards against a call that is answered with 504 though the owner's server
// has rejected it unread, and against one that is sent again though it may
// have been executed.
TEST_CASE("which responses say that a peer has not executed a call")
{
    struct row
    {
        char const* name_;
        unsigned status_;
        std::string outcome_;
        peer_failure failure_;
    };
    row const rows[] = {
        {"a rejection", 503, "not-run", peer_failure::not_sent},
        {"a rejection without an outcome", 503, "", peer_failure::no_answer},
        {"another outcome", 503, "unknown", peer_failure::no_answer},
        {"a failure", 500, "not-run", peer_failure::no_answer},
        {"an unreadable answer", 200, "not-run", peer_failure::no_answer},
    };
    for (auto const& each : rows)
    {
        CAPTURE(std::string(each.name_));
        boost::asio::io_context context{1};
        http_handler handler;
        handler.request_ = [&](std::uint64_t, http_request const&,
                               http_responder const& respond)
        {
            auto response = make_response(each.status_, "text/plain", "x");
            if (!each.outcome_.empty())
            {
                response.fields_["cuminfold-outcome"] = each.outcome_;
            }
            respond(response);
        };
        handler.gone_ = [](std::uint64_t) {};
        http_server server(context, {}, handler);
        http_client client(context, {});
        client_call call;
        call.time_left_ = std::chrono::seconds{10};
        bool is_done = false;
        call_peer(client, server.listen("127.0.0.1:0"), call, {1, 1}, false,
                  nullptr,
                  [&](std::optional<client_answer> const& answer,
                      peer_failure failure)
                  {
                      is_done = true;
                      CHECK(!answer);
                      CHECK(failure == each.failure_);
                      context.stop();
                  });
        context.run_for(std::chrono::seconds{20});
        CHECK(is_done);
    }
}
