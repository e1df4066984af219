#include "platform_stand_in/platform_server.hpp"

#include "config/settings_file.hpp"
#include "platform_stand_in/platform_log.hpp"
#include "platform_stand_in/platform_vms.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/io_thread.hpp"
#include "transport/signals.hpp"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace cuminfold
{

namespace
{

using nlohmann::json;

constexpr std::size_t ring_capacity = 1024;

struct platform_settings
{
    log_settings log_;
    std::string listen_ = "127.0.0.1:0";
    /// Number of entries that each stream keeps.
    std::uint32_t kept_entries_ = 1'000'000;
    /// Delay after which a change to a VM appears in the list.
    duration list_lag_ = std::chrono::milliseconds{500};
};

/// Faults that the stand-in injects. They can be changed while it runs.
struct platform_faults
{
    bool log_down_ = false;
    duration log_delay_{0};
    /// Percentage of appends whose response is lost after the write.
    std::uint32_t lose_replies_percent_ = 0;
    /// Percentage of appends that are written twice.
    std::uint32_t repeat_appends_percent_ = 0;
    /// Percentage of reads whose response is truncated.
    std::uint32_t truncate_reads_percent_ = 0;
    bool calls_down_ = false;
    bool list_down_ = false;
};

time_point now()
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

http_response json_response(unsigned status, json const& body)
{
    return make_response(status, "application/json", body.dump());
}

/// Sends raw bytes and then closes the connection.
http_response truncated_response(std::string bytes)
{
    http_response response;
    response.raw_ = std::move(bytes);
    response.raw_close_ = true;
    return response;
}

std::uint64_t query_number(http_request const& request, std::string const& name,
                           std::uint64_t default_value)
{
    std::string const text = "&" + request.query_;
    auto const at = text.find("&" + name + "=");
    if (at == std::string::npos)
    {
        return default_value;
    }
    return std::strtoull(text.c_str() + at + name.size() + 2, nullptr, 10);
}

/// HTTP request handlers of the platform stand-in.
class platform
{
public:
    platform(boost::asio::io_context& context, platform_settings settings)
        : context_(context), settings_(std::move(settings)),
          log_(settings_.kept_entries_), client_(context, http_client_limits{})
    {
    }

    void handle(http_request request, http_responder respond)
    {
        auto const parts = request.parts();
        if (parts.size() >= 2 && parts[0] == "v1" && parts[1] == "streams" &&
            parts.size() == 4)
        {
            stream_request(parts[2], std::move(request), std::move(respond));
        }
        else if (parts.size() == 2 && parts[1] == "vms")
        {
            list_request(respond);
        }
        else if (parts.size() == 3 && parts[1] == "vms")
        {
            put_vm(parts[2], request, respond);
        }
        else if (parts.size() == 4 && parts[1] == "vms" && parts[3] == "reboot")
        {
            reboot(parts[2], request, respond);
        }
        else if (parts.size() == 2 && parts[1] == "faults")
        {
            set_faults(request, respond);
        }
        else if (parts.size() == 1 && parts[0] == "healthz")
        {
            respond(make_response(200, "text/plain", "ok\n"));
        }
        else
        {
            respond(json_response(404, {{"error", "no such resource"}}));
        }
    }

private:
    /// A long-polling read that waits for a new entry or its timeout.
    struct waiting_read
    {
        std::string stream_;
        log_offset from_;
        std::uint64_t limit_;
        http_responder respond_;
        std::shared_ptr<boost::asio::steady_timer> timer_;
    };

    /// Runs `work` after the delay, or immediately if the delay is zero.
    void run_after(duration delay, std::function<void()> work)
    {
        if (delay.count() == 0)
        {
            work();
            return;
        }
        auto const timer =
            std::make_shared<boost::asio::steady_timer>(context_, delay);
        timer->async_wait(
            [timer, work = std::move(work)](auto error)
            {
                if (!error)
                {
                    work();
                }
            });
    }

    void stream_request(std::string const& stream, http_request request,
                        http_responder respond)
    {
        if (faults_.log_down_)
        {
            respond(json_response(503, {{"error", "the log is down"}}));
            return;
        }
        run_after(faults_.log_delay_,
                  [this, stream, request = std::move(request),
                   respond = std::move(respond)]
                  {
                      if (request.method_ == "POST")
                      {
                          append(stream, request, respond);
                      }
                      else
                      {
                          read(stream, request, respond);
                      }
                  });
    }

    /// Draws whether a fault with this probability occurs.
    bool happens(std::uint32_t percent)
    {
        std::uniform_int_distribution<std::uint32_t> draw(0, 99);
        return draw(random_) < percent;
    }

    void append(std::string const& stream, http_request const& request,
                http_responder const& respond)
    {
        log_offset const offset = log_.append(stream, request.body_);
        if (happens(faults_.repeat_appends_percent_))
        {
            log_.append(stream, request.body_);
        }
        wake_readers(stream);
        if (happens(faults_.lose_replies_percent_))
        {
            // The connection closes within the status line.
            respond(truncated_response("HTTP/1.1 2"));
            return;
        }
        respond(json_response(201, {{"offset", offset}}));
    }

    void read(std::string const& stream, http_request const& request,
              http_responder const& respond)
    {
        log_offset const from = query_number(request, "from", 0);
        std::uint64_t const limit = query_number(request, "limit", 256);
        std::uint64_t const wait = query_number(request, "wait_ms", 0);
        if (from < log_.end(stream) || wait == 0)
        {
            answer_read(stream, from, limit, respond);
            return;
        }
        auto const timer = std::make_shared<boost::asio::steady_timer>(
            context_, std::chrono::milliseconds{wait});
        auto const number = ++last_reader_;
        readers_.emplace(number,
                         waiting_read{stream, from, limit, respond, timer});
        timer->async_wait(
            [this, number](boost::system::error_code const& error)
            {
                // A timer that has expired can't be cancelled any more, so that
                // the reader may have been woken since.
                auto const place = readers_.find(number);
                if (!error && place != readers_.end())
                {
                    waiting_read const reader = std::move(place->second);
                    readers_.erase(place);
                    answer_read(reader.stream_, reader.from_, reader.limit_,
                                reader.respond_);
                }
            });
    }

    void wake_readers(std::string const& stream)
    {
        for (auto place = readers_.begin(); place != readers_.end();)
        {
            if (place->second.stream_ != stream)
            {
                ++place;
                continue;
            }
            waiting_read const reader = std::move(place->second);
            place = readers_.erase(place);
            reader.timer_->cancel();
            answer_read(reader.stream_, reader.from_, reader.limit_,
                        reader.respond_);
        }
    }

    /// Responds with the entries from `from` on, or with status 410 if the log
    /// has dropped the entry at `from`.
    void answer_read(std::string const& stream, log_offset from,
                     std::uint64_t limit, http_responder const& respond)
    {
        json body = {{"earliest", log_.earliest(stream)},
                     {"end", log_.end(stream)},
                     {"entries", json::array()}};
        bool const gone = from < log_.earliest(stream);
        if (!gone)
        {
            for (auto const& bytes : log_.read(stream, from, limit))
            {
                body["entries"].push_back(json::binary(
                    std::vector<std::uint8_t>(bytes.begin(), bytes.end())));
            }
        }
        std::string text;
        json::to_cbor(body, text);
        if (happens(faults_.truncate_reads_percent_))
        {
            respond(truncated_response("HTTP/1.1 200 OK\r\nContent-Length: " +
                                       std::to_string(text.size()) +
                                       "\r\n\r\n" +
                                       text.substr(0, text.size() / 2)));
            return;
        }
        respond(make_response(gone ? 410 : 200, "application/cbor",
                              std::move(text)));
    }

    void list_request(http_responder const& respond)
    {
        if (faults_.list_down_)
        {
            respond(json_response(503, {{"error", "the list is down"}}));
            return;
        }
        respond(json_response(200, vms_.list(now(), settings_.list_lag_)));
    }

    /// Merges the request's fields into the VM's description.
    void put_vm(std::string const& vm, http_request const& request,
                http_responder const& respond)
    {
        json body = json::parse(request.body_, nullptr, false);
        if (!body.is_object())
        {
            respond(json_response(400, {{"error", "expected a JSON object"}}));
            return;
        }
        json merged = vms_.find(vm);
        if (merged.is_null())
        {
            merged = json::object();
        }
        merged.update(body);
        vms_.put(now(), vm, std::move(merged));
        respond(json_response(200, json::object()));
    }

    /// Forwards a reboot to the VM. A token that was used before is accepted
    /// without another reboot.
    void reboot(std::string const& vm, http_request const& request,
                http_responder const& respond)
    {
        if (faults_.calls_down_)
        {
            respond(json_response(503, {{"error", "calls are down"}}));
            return;
        }
        json const body = json::parse(request.body_, nullptr, false);
        json const known = vms_.find(vm);
        if (!body.is_object() || !body.contains("token") || known.is_null())
        {
            respond(json_response(400, {{"error", "unknown VM or no token"}}));
            return;
        }
        if (vms_.use_token(body["token"].get<std::string>()))
        {
            http_call call;
            call.address_ = known.value("address", "");
            call.target_ = "/control/reboot";
            client_.start(std::move(call), [](http_result const&) {});
        }
        respond(json_response(202, {{"accepted", true}}));
    }

    void set_faults(http_request const& request, http_responder const& respond)
    {
        json const body = json::parse(request.body_, nullptr, false);
        if (!body.is_object())
        {
            respond(json_response(400, {{"error", "expected a JSON object"}}));
            return;
        }
        faults_.log_down_ = body.value("log_down", faults_.log_down_);
        faults_.calls_down_ = body.value("calls_down", faults_.calls_down_);
        faults_.list_down_ = body.value("list_down", faults_.list_down_);
        faults_.lose_replies_percent_ =
            body.value("lose_replies_percent", faults_.lose_replies_percent_);
        faults_.repeat_appends_percent_ = body.value(
            "repeat_appends_percent", faults_.repeat_appends_percent_);
        faults_.truncate_reads_percent_ = body.value(
            "truncate_reads_percent", faults_.truncate_reads_percent_);
        json const dropped = body.value("drop_before", json::object());
        for (auto const& item : dropped.items())
        {
            log_.drop_before(item.key(), item.value().get<log_offset>());
        }
        faults_.log_delay_ = std::chrono::milliseconds{
            body.value("log_delay_ms", std::int64_t{0})};
        respond(json_response(200, json::object()));
    }

    boost::asio::io_context& context_;
    platform_settings settings_;
    platform_log log_;
    platform_vms vms_;
    platform_faults faults_;
    http_client client_;
    std::map<std::uint64_t, waiting_read> readers_;
    std::uint64_t last_reader_ = 0;
    std::mt19937_64 random_{1};
};

platform_settings load_settings(server_arguments const& arguments)
{
    platform_settings settings;
    read_settings(arguments.config_,
                  [&](section_reader& in)
                  {
                      read_log_settings(in, settings.log_);
                      in.read("listen", settings.listen_);
                      in.read("kept_entries", settings.kept_entries_, 1);
                      in.read("list_lag", settings.list_lag_);
                  });
    if (!arguments.listen_.empty())
    {
        settings.listen_ = arguments.listen_;
    }
    return settings;
}

} // namespace

int run_platform(server_arguments const& arguments)
{
    platform_settings const settings = load_settings(arguments);
    start_log("cuminfold-platform", settings.log_.format_,
              settings.log_.level_);
    io_thread io(ring_capacity);
    platform stand_in(io.context(), settings);
    http_server_limits limits;
    limits.body_bytes_ = 8 * 1024 * 1024;
    http_handler handler;
    handler.request_ =
        [&](std::uint64_t, http_request request, http_responder respond)
    { stand_in.handle(std::move(request), std::move(respond)); };
    http_server server(io.context(), limits, handler);
    announce(server.listen(settings.listen_));
    io.start();
    wait_for_stop_signal();
    std::promise<void> closed;
    io.run_from_outside([&] { server.stop([&] { closed.set_value(); }); });
    closed.get_future().wait_for(std::chrono::seconds{5});
    io.stop();
    return exit_fine;
}

} // namespace cuminfold
