#ifndef CUMINFOLD_TESTS_PROCESSES_SMALL_FLEET_HPP
#define CUMINFOLD_TESTS_PROCESSES_SMALL_FLEET_HPP

#include "child_process.hpp"
#include "http_caller.hpp"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace cuminfold
{

/// The real programs of one data centre: platform, workers, one controller and
/// gateways, on free ports of the loopback address. Service `read` is
/// idempotent, service `once` is not.
class small_fleet
{
public:
    small_fleet(int workers, int gateways);
    ~small_fleet();

    std::string const& gateway_address(int index) const
    {
        return gateway_addresses_[index];
    }
    std::string const& links_address() const
    {
        return links_address_;
    }
    child_process& gateway(int index)
    {
        return *gateways_[index];
    }
    http_caller& http()
    {
        return http_;
    }

    /// Starts a request with a key, which is its body as well.
    std::future<http_result> request(int gateway, std::string const& service,
                                     std::string const& key);

    void set_worker_faults(std::string const& json);
    void set_platform_faults(std::string const& json);

    /// Sum of one of the workers' counts.
    int worker_count(std::string const& name);
    /// A key's runs on all workers together.
    int runs_of(std::string const& key);
    /// The value of a line of a server's metrics; 0 if it is not there.
    double metric(std::string const& address, std::string const& line);

    /// Writes a file into the fleet's folder and returns its path.
    std::string write_file(std::string const& name, std::string const& text);

    /// Polls until it holds; false after a long time.
    static bool eventually(std::function<bool()> const& holds);

private:
    std::unique_ptr<child_process> start(std::string const& path,
                                         std::string const& name,
                                         std::string const& settings);
    void start_workers(int count);
    void start_controller();
    void start_gateways(int count);
    void configure();

    std::string folder_;
    http_caller http_;
    std::unique_ptr<child_process> platform_;
    std::unique_ptr<child_process> workers_;
    std::unique_ptr<child_process> controller_;
    std::vector<std::unique_ptr<child_process>> gateways_;
    std::string platform_address_;
    std::vector<std::string> worker_addresses_;
    std::string controller_address_;
    std::string links_address_;
    std::vector<std::string> gateway_addresses_;
};

/// True for a whole answer to the request with that key.
bool is_own_answer(http_result const& result, std::string const& key);
/// True for a refusal that says `not-run`.
bool is_not_run(http_result const& result);

} // namespace cuminfold

#endif
