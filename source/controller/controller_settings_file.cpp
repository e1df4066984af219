#include "controller/controller_settings_file.hpp"

#include "config/settings_file.hpp"
#include "wire/state_codec.hpp"

#include <chrono>

namespace cuminfold
{

namespace
{

void read_controller(section_reader& in, controller_program_settings& settings)
{
    std::string name;
    std::string data_centre;
    read_log_settings(in, settings.log_);
    in.require("name");
    in.require("data_centre");
    in.require("platform");
    in.read("name", name);
    in.read("data_centre", data_centre);
    in.read("platform", settings.platform_);
    in.read("listen", settings.listen_);
    in.read("links", settings.links_);
    in.read("peers", settings.peers_);
    in.read("duties", settings.duties_);
    in.read("ring_capacity", settings.ring_capacity_, 16, 1U << 20U);
    in.read("tick", settings.tick_, std::chrono::milliseconds{1},
            std::chrono::seconds{1});
    in.read("claim_shards", settings.kernel_.claim_shards_, 1, 1024);
    in.read("list_interval", settings.kernel_.list_interval_,
            std::chrono::milliseconds{10});
    in.read("probe_interval", settings.kernel_.probe_interval_,
            std::chrono::milliseconds{10});
    in.read("rank_step", settings.kernel_.rank_step_);
    in.read("move_delay", settings.kernel_.move_delay_);
    in.read("return_timeout", settings.kernel_.return_timeout_,
            std::chrono::seconds{1});
    in.read("change_timeout", settings.kernel_.change_timeout_,
            std::chrono::milliseconds{100});
    in.read("append_rate", settings.kernel_.append_rate_, 0, 10'000);
    in.read("append_burst", settings.kernel_.append_burst_, 1, 10'000);
    in.read("snapshot_interval", settings.kernel_.snapshot_interval_,
            std::chrono::seconds{1});
    in.read("snapshot_entries", settings.kernel_.snapshot_entries_, 1);
    auto& members = settings.kernel_.membership_;
    in.read("heartbeat_interval", members.heartbeat_interval_,
            std::chrono::milliseconds{10});
    in.read("suspect_after", members.suspect_after_,
            std::chrono::milliseconds{50});
    in.read("unheard_after", settings.kernel_.unheard_after_,
            std::chrono::seconds{1});
    settings.kernel_.snapshot_codec_ = make_state_codec();
    in.read("job_lease", settings.kernel_.job_lease_, std::chrono::seconds{1},
            std::chrono::hours{1});
    in.read("job_window", settings.kernel_.job_window_,
            std::chrono::minutes{1});
    in.read("placement", settings.kernel_.placement_);
    settings.kernel_.self_ = incarnation{node_id{name}, draw_incarnation()};
    settings.kernel_.seed_ = settings.kernel_.self_.number_;
    settings.kernel_.data_centre_ = data_centre_name{data_centre};
}

} // namespace

controller_program_settings
load_controller_settings(server_arguments const& arguments)
{
    controller_program_settings settings;
    read_settings(arguments.config_,
                  [&](section_reader& in) { read_controller(in, settings); });
    if (!arguments.listen_.empty())
    {
        settings.listen_ = arguments.listen_;
    }
    return settings;
}

} // namespace cuminfold
