#include "worker/worker_server.hpp"

#include "config/settings_file.hpp"
#include "kernel/hash.hpp"
#include "transport/http_client.hpp"
#include "transport/io_thread.hpp"
#include "transport/signals.hpp"
#include "worker/worker_vm.hpp"

#include <boost/asio/post.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace cuminfold
{

namespace
{

constexpr std::size_t ring_capacity = 1024;
constexpr duration stop_limit = std::chrono::seconds{30};

struct worker_settings
{
    log_settings log_;
    std::string platform_;
    std::vector<worker_vm_settings> vms_;
};

void read_vm(located_map const& values, std::string const& name,
             std::vector<config_error>& errors, worker_vm_settings common,
             worker_settings& settings)
{
    section_reader in(values, "vms." + name, errors);
    std::string data_centre;
    std::string rack;
    in.require("data_centre");
    in.require("rack");
    in.read("data_centre", data_centre);
    in.read("rack", rack);
    in.read("listen", common.listen_);
    in.read("cores", common.shape_.cores_, 1);
    in.read("memory_mb", common.shape_.memory_mb_, 1);
    in.read("accelerators", common.shape_.accelerators_);
    in.read("slots", common.shape_.slots_, 1);
    in.read("connections", common.shape_.connections_, 1);
    in.read("run_time", common.run_time_);
    in.finish();
    common.vm_ = vm_id{name};
    common.data_centre_ = data_centre_name{data_centre};
    common.rack_ = rack_name{rack};
    settings.vms_.push_back(std::move(common));
}

void read_worker(section_reader& in, worker_settings& settings)
{
    worker_vm_settings common;
    common.shape_ = vm_shape{16, 65536, 0, 8, 64};
    common.run_time_ = std::chrono::milliseconds{20};
    common.reboot_time_ = std::chrono::milliseconds{500};
    read_log_settings(in, settings.log_);
    in.require("platform");
    in.read("platform", settings.platform_);
    in.read("run_time", common.run_time_);
    in.read("reboot_time", common.reboot_time_);
    in.require("vms");
    std::vector<config_error> errors;
    for (auto const& item : in.read_map("vms"))
    {
        located_map const values = locate(item.second.file_, item.second.node_,
                                          "vms." + item.first, errors);
        if (item.second.node_.IsMap())
        {
            read_vm(values, item.first, errors, common, settings);
        }
    }
    if (!errors.empty())
    {
        throw settings_error(errors);
    }
}

/// Registers a VM with the platform and blocks until the platform responds.
/// @throws std::runtime_error if the response is incomplete or not status 200
void register_vm(http_client& client, boost::asio::io_context& context,
                 std::string const& platform, worker_vm const& vm,
                 std::string const& address)
{
    std::promise<http_result> answer;
    http_call call;
    call.address_ = platform;
    call.target_ = "/v1/vms/" + vm.settings().vm_.text();
    call.body_ = vm.describe(address).dump();
    boost::asio::post(context,
                      [&]
                      {
                          client.start(call,
                                       [&](http_result result) {
                                           answer.set_value(std::move(result));
                                       });
                      });
    http_result const result = answer.get_future().get();
    if (result.end_ != http_end::whole || result.response_.status_ != 200)
    {
        throw std::runtime_error("the platform at " + platform +
                                 " did not take the VM " +
                                 vm.settings().vm_.text());
    }
}

} // namespace

int run_worker(server_arguments const& arguments)
{
    worker_settings settings;
    read_settings(arguments.config_,
                  [&](section_reader& in) { read_worker(in, settings); });
    start_log("cuminfold-worker", settings.log_.format_, settings.log_.level_);
    if (!arguments.listen_.empty() && settings.vms_.size() == 1)
    {
        settings.vms_.front().listen_ = arguments.listen_;
    }
    io_thread io(ring_capacity);
    http_client client(io.context(), http_client_limits{});
    std::vector<std::unique_ptr<worker_vm>> vms;
    std::vector<std::string> addresses;
    for (auto const& vm : settings.vms_)
    {
        vms.push_back(std::make_unique<worker_vm>(io.context(), vm,
                                                  stable_hash(vm.vm_.text())));
        addresses.push_back(vms.back()->listen());
    }
    io.start();
    for (std::size_t i = 0; i < vms.size(); ++i)
    {
        register_vm(client, io.context(), settings.platform_, *vms[i],
                    addresses[i]);
        announce(addresses[i]);
    }
    wait_for_stop_signal();
    for (auto const& vm : vms)
    {
        auto const closed = std::make_shared<std::promise<void>>();
        io.run_from_outside([&vm, closed]
                            { vm->stop([closed] { closed->set_value(); }); });
        closed->get_future().wait_for(stop_limit);
    }
    io.stop();
    return exit_fine;
}

} // namespace cuminfold
