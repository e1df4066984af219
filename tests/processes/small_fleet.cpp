#include "small_fleet.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <cstdlib>

namespace cuminfold
{

namespace
{

using nlohmann::json;

constexpr std::chrono::seconds patience{90};
constexpr std::chrono::milliseconds poll_interval{20};

constexpr char const* operators_file = "pools:\n"
                                       "  main:\n"
                                       "    size: 4\n"
                                       "services:\n"
                                       "  read:\n"
                                       "    pool: main\n"
                                       "    run_time: 20ms\n"
                                       "    deadline: 5s\n"
                                       "    idempotent: true\n"
                                       "  once:\n"
                                       "    pool: main\n"
                                       "    run_time: 20ms\n"
                                       "    deadline: 5s\n"
                                       "    idempotent: false\n";

std::string make_folder()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "cuminfold-processes.XXXXXX")
            .string();
    if (mkdtemp(name.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
    return name;
}

/// The address in the controller's log line about its links.
std::string find_links_address(std::string const& log)
{
    auto const line = log.find("event=links");
    auto const at = log.find("address=", line);
    if (line == std::string::npos || at == std::string::npos)
    {
        return "";
    }
    std::istringstream in(log.substr(at + std::string("address=").size()));
    std::string address;
    in >> address;
    return address;
}

} // namespace

small_fleet::small_fleet(int workers, int gateways) : folder_(make_folder())
{
    platform_ = start(CUMINFOLD_PLATFORM, "platform", "list_lag: 50ms\n");
    platform_address_ = platform_->next_address();
    start_workers(workers);
    start_controller();
    start_gateways(gateways);
    configure();
}

small_fleet::~small_fleet()
{
    gateways_.clear();
    controller_.reset();
    workers_.reset();
    platform_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

std::string small_fleet::write_file(std::string const& name,
                                    std::string const& text)
{
    std::string path = folder_ + "/" + name;
    std::ofstream(path) << text;
    return path;
}

std::unique_ptr<child_process> small_fleet::start(std::string const& path,
                                                  std::string const& name,
                                                  std::string const& settings)
{
    std::string const file = write_file(name + ".yaml", settings);
    return std::make_unique<child_process>(
        path, std::vector<std::string>{"--config", file},
        folder_ + "/" + name + ".err");
}

void small_fleet::start_workers(int count)
{
    std::string text = "platform: " + platform_address_ +
                       "\nrun_time: 20ms\nreboot_time: 100ms\nvms:\n";
    for (int i = 0; i < count; ++i)
    {
        text += "  vm-" + std::to_string(i) + ":\n    data_centre: dc\n" +
                "    rack: r" + std::to_string(i / 2) + "\n";
    }
    workers_ = start(CUMINFOLD_WORKER, "workers", text);
    for (int i = 0; i < count; ++i)
    {
        worker_addresses_.push_back(workers_->next_address());
    }
}

void small_fleet::start_controller()
{
    controller_ =
        start(CUMINFOLD_CONTROLLER, "controller",
              "name: c1\ndata_centre: dc\nplatform: " + platform_address_ +
                  "\nlist_interval: 50ms\n");
    controller_address_ = controller_->next_address();
    bool const linked = eventually(
        [this]
        {
            links_address_ = find_links_address(controller_->errors());
            return !links_address_.empty();
        });
    if (!linked)
    {
        throw std::runtime_error("the controller does not say its links");
    }
}

void small_fleet::start_gateways(int count)
{
    for (int i = 0; i < count; ++i)
    {
        std::string const name = "g" + std::to_string(i);
        gateways_.push_back(start(CUMINFOLD_GATEWAY, name,
                                  "name: " + name +
                                      "\ndata_centre: dc\ncontrollers: [" +
                                      links_address_ + "]\n"));
        gateway_addresses_.push_back(gateways_.back()->next_address());
    }
}

void small_fleet::configure()
{
    std::filesystem::create_directory(folder_ + "/operators");
    write_file("operators/10.yaml", operators_file);
    bool const applied = eventually(
        [this]
        {
            child_process apply(CUMINFOLD_CLI,
                                {"--controller", controller_address_, "apply",
                                 folder_ + "/operators"},
                                folder_ + "/apply.err");
            return apply.wait() == 0;
        });
    bool const serving =
        applied &&
        eventually(
            [this]
            {
                for (int i = 0; i < static_cast<int>(gateways_.size()); ++i)
                {
                    if (!is_own_answer(request(i, "read", "probe").get(),
                                       "probe"))
                    {
                        return false;
                    }
                }
                return true;
            });
    if (!serving)
    {
        throw std::runtime_error("the fleet does not serve: " +
                                 controller_->errors());
    }
}

std::future<http_result> small_fleet::request(int gateway,
                                              std::string const& service,
                                              std::string const& key)
{
    http_call call;
    call.address_ = gateway_address(gateway);
    call.target_ = "/v1/services/" + service + "/requests";
    call.fields_["idempotency-key"] = key;
    call.body_ = key;
    call.timeout_ = std::chrono::seconds{30};
    return http_.start(std::move(call));
}

void small_fleet::set_worker_faults(std::string const& json)
{
    for (auto const& address : worker_addresses_)
    {
        http_.call(address, "POST", "/control/faults", json);
    }
}

void small_fleet::set_platform_faults(std::string const& json)
{
    http_.call(platform_address_, "POST", "/control/faults", json);
}

int small_fleet::worker_count(std::string const& name)
{
    int sum = 0;
    for (auto const& address : worker_addresses_)
    {
        auto const reply = http_.call(address, "GET", "/v1/counts");
        sum += json::parse(reply.response_.body_).at(name).get<int>();
    }
    return sum;
}

int small_fleet::runs_of(std::string const& key)
{
    int sum = 0;
    for (auto const& address : worker_addresses_)
    {
        auto const reply = http_.call(address, "GET", "/v1/counts");
        sum +=
            json::parse(reply.response_.body_).at("runs_by_key").value(key, 0);
    }
    return sum;
}

double small_fleet::metric(std::string const& address, std::string const& line)
{
    auto const reply = http_.call(address, "GET", "/metrics");
    auto const at = reply.response_.body_.find("\n" + line + " ");
    return at == std::string::npos ? 0
                                   : std::strtod(reply.response_.body_.c_str() +
                                                     at + line.size() + 2,
                                                 nullptr);
}

bool small_fleet::eventually(std::function<bool()> const& holds)
{
    auto const end = std::chrono::steady_clock::now() + patience;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

bool is_own_answer(http_result const& result, std::string const& key)
{
    std::string const& body = result.response_.body_;
    return result.end_ == http_end::whole && result.response_.status_ == 200 &&
           body.size() > key.size() &&
           body.compare(body.size() - key.size(), key.size(), key) == 0;
}

bool is_not_run(http_result const& result)
{
    auto const found = result.response_.fields_.find("cuminfold-outcome");
    return result.end_ == http_end::whole &&
           found != result.response_.fields_.end() &&
           found->second == "not-run";
}

} // namespace cuminfold
