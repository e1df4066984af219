#include "gateway/gateway_settings_file.hpp"

#include "config/settings_file.hpp"

#include <chrono>

namespace cuminfold
{

namespace
{

constexpr std::uint32_t max_body_bytes = 64 * 1024 * 1024;

void read_request_options(section_reader& in, request_options& options)
{
    constexpr duration max_duration = std::chrono::hours{24};
    in.read("attempts", options.attempts_, 1, 10);
    in.read("retry_delay", options.retry_delay_, duration{0}, max_duration);
    in.read("attempt_floor", options.attempt_floor_, duration{0}, max_duration);
    in.read("probe_interval", options.probe_interval_, duration{0},
            max_duration);
    in.read("ejection_first", options.health_.ejection_first_, duration{1},
            max_duration);
    in.read("ejection_limit", options.health_.ejection_limit_, duration{1},
            max_duration);
    in.read("leaving_hold", options.health_.leaving_hold_, duration{1},
            max_duration);
    in.read("hop_margin", options.hop_margin_, duration{0}, max_duration);
    in.read("forward_hold", options.forward_hold_, duration{0}, max_duration);
    in.read("retry_after_floor", options.retry_after_floor_, duration{1},
            max_duration);
    in.read("key_window", options.key_window_, std::chrono::minutes{1},
            std::chrono::hours{24 * 30});
    in.read("log_lost_after", options.log_lost_after_,
            std::chrono::milliseconds{100}, max_duration);
    in.read("leave_wait", options.leave_wait_, duration{0}, max_duration);
}

void read_gateway(section_reader& in, gateway_program_settings& settings)
{
    settings.callers_.stop_grace_ = std::chrono::milliseconds{500};
    std::string name;
    std::string data_centre;
    std::uint32_t body_limit =
        static_cast<std::uint32_t>(settings.callers_.body_bytes_);
    std::uint32_t caller_connections =
        static_cast<std::uint32_t>(settings.callers_.connections_);
    std::uint32_t worker_connections =
        static_cast<std::uint32_t>(settings.workers_.connections_);
    read_log_settings(in, settings.log_);
    in.require("name");
    in.require("data_centre");
    in.require("controllers");
    in.read("name", name);
    in.read("data_centre", data_centre);
    in.read("listen", settings.listen_);
    in.read("controllers", settings.controllers_);
    in.read("body_limit_bytes", body_limit, 1, max_body_bytes);
    in.read("worker_connections", worker_connections, 1, 1024);
    in.read("ring_capacity", settings.ring_capacity_, 16, 1U << 20U);
    in.read("caller_connections", caller_connections, 1, 65'536);
    in.read("body_store_bytes", settings.body_store_bytes_, 1U << 20U);
    in.read("stop_grace", settings.callers_.stop_grace_);
    in.read("tick", settings.tick_, std::chrono::milliseconds{1},
            std::chrono::seconds{1});
    in.read("stop_limit", settings.stop_limit_);
    in.read("claim_shards", settings.kernel_.claim_shards_, 1, 1024);
    in.read("routing", settings.kernel_.routing_);
    in.read("admission", settings.kernel_.admission_);
    in.read("retry", settings.kernel_.retry_);
    in.read("queue_limit", settings.kernel_.queue_limit_, 1, 1U << 20U);
    read_request_options(in, settings.kernel_.requests_);
    settings.callers_.body_bytes_ = body_limit;
    settings.callers_.connections_ = caller_connections;
    settings.workers_.connections_ = worker_connections;
    settings.kernel_.self_ = incarnation{node_id{name}, draw_incarnation()};
    settings.kernel_.seed_ = settings.kernel_.self_.number_;
    settings.kernel_.data_centre_ = data_centre_name{data_centre};
}

} // namespace

gateway_program_settings
load_gateway_settings(server_arguments const& arguments)
{
    gateway_program_settings settings;
    read_settings(arguments.config_,
                  [&](section_reader& in) { read_gateway(in, settings); });
    if (!arguments.listen_.empty())
    {
        settings.listen_ = arguments.listen_;
    }
    return settings;
}

} // namespace cuminfold
