#include "node/node_settings_file.hpp"

#include "config/settings_file.hpp"

namespace cuminfold
{

namespace
{

void read_node(section_reader& in, node_settings& settings)
{
    constexpr duration min_time = std::chrono::milliseconds{1};
    constexpr duration max_time = std::chrono::minutes{10};
    constexpr double max_cores = 1000;
    constexpr std::uint32_t min_limit = 65'536;
    constexpr std::uint32_t max_limit = 1U << 30U;
    constexpr std::uint32_t min_memory_mb = 16;
    constexpr std::uint32_t min_chunk_head = 256;
    constexpr std::uint32_t max_connections = 65'536;
    constexpr std::uint32_t max_memory_mb = 1U << 20U;
    read_log_settings(in, settings.log_);
    for (auto const* const key : {"name", "clients_address", "health_address",
                                  "peers_address", "store_address"})
    {
        in.require(key);
    }
    in.read("name", settings.name_);
    in.read("data_centre", settings.data_centre_);
    in.read("clients_address", settings.clients_address_);
    in.read("health_address", settings.health_address_);
    in.read("peers_address", settings.peers_address_);
    in.read("announced_address", settings.announced_address_);
    in.read("store_address", settings.store_address_);
    in.read("machines_address", settings.machines_address_);
    in.read("advice_address", settings.advice_address_);
    in.read("store_timeout", settings.store_timeout_, min_time, max_time);
    in.read("worker_timeout", settings.worker_timeout_, min_time, max_time);
    in.read("peer_timeout", settings.peer_timeout_, min_time, max_time);
    in.read("call_check_delay", settings.call_check_delay_, min_time, max_time);
    in.read("stop_time", settings.stop_time_, duration{0}, max_time);
    in.read("stop_limit", settings.stop_limit_, duration{0}, max_time);
    in.read("longest_lease", settings.longest_lease_, min_time, max_time);
    in.read("vm_order_timeout", settings.vm_order_timeout_, min_time, max_time);
    in.read("stop_grace", settings.stop_grace_, duration{0}, max_time);
    in.read("drain_notice", settings.drain_notice_, min_time, max_time);
    in.read("order_pause", settings.order_pause_, duration{0}, max_time);
    auto ranking = static_cast<std::size_t>(settings.overload_ranking_);
    in.read_choice("overload_ranking",
                   {"with_workspaces", "placement", "admission"}, ranking);
    settings.overload_ranking_ = static_cast<job_ranking_use>(ranking);
    in.read("key_revocation_limit", settings.key_revocation_limit_, duration{0},
            max_time);
    in.read("max_record_bytes", settings.max_record_bytes_, min_limit,
            max_limit);
    in.read("max_append_bytes", settings.max_append_bytes_, min_limit,
            max_limit);
    in.read("memory_mb", settings.memory_mb_, min_memory_mb, max_memory_mb);
    in.read("process_memory_mb", settings.process_memory_mb_, 1, max_memory_mb);
    in.read("connection_memory_mb", settings.connection_memory_mb_, 0,
            max_memory_mb);
    in.read("max_chunk_head_bytes", settings.max_chunk_head_bytes_,
            min_chunk_head, max_limit);
    in.read("max_encoded_body_bytes", settings.max_encoded_body_bytes_,
            min_limit, max_limit);
    in.read("max_client_connections", settings.max_client_connections_, 1,
            max_connections);
    in.read("max_peer_connections", settings.max_peer_connections_, 1,
            max_connections);
    in.read("max_health_connections", settings.max_health_connections_, 1,
            max_connections);
    in.read("cpu_share", settings.cpu_share_, 0, max_cores);
    in.read("cpu_speed", settings.cpu_speed_, 0, max_cores);
}

} // namespace

node_settings load_node_settings(std::string const& path)
{
    node_settings settings;
    read_settings(path, [&](section_reader& in) { read_node(in, settings); });
    return settings;
}

} // namespace cuminfold
