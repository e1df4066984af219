#include "child_process.hpp"
#include "http_caller.hpp"
#include "platform/stand_in/platform_stand_in.hpp"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

using namespace cuminfold;
using namespace std::chrono_literals;
using platform::platform_stand_in;

namespace
{

std::string id_of(int number)
{
    auto const digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

http_call make_submission(std::string const& address, int number, int tasks,
                          int milliseconds)
{
    http_call call;
    call.address_ = address;
    call.target_ = platform_stand_in::prefix_ + id_of(number);
    call.fields_["host"] = platform_stand_in::host_;
    call.body_ = platform_stand_in::write_job(tasks, milliseconds);
    call.timeout_ = 10s;
    return call;
}

double seconds_of(timeval const& time)
{
    constexpr double micro = 1e-6;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * micro;
}

} // namespace

/// Prints what the owner of a cell costs: the processor time of one node that
/// takes jobs at a steady rate and starts their tasks.
int main(int argc, char** argv)
{
    if (argc != 6)
    {
        std::cerr << "usage: owner_benchmark WORKERS JOBS_PER_SECOND "
                     "TASKS_PER_JOB TASK_MS SECONDS\n";
        return 2;
    }
    auto const workers = static_cast<std::uint32_t>(std::stoul(argv[1]));
    int const rate = std::stoi(argv[2]);
    int const tasks = std::stoi(argv[3]);
    int const task_ms = std::stoi(argv[4]);
    int const jobs = rate * std::stoi(argv[5]);

    platform_stand_in platform(workers);
    auto const folder = std::filesystem::temp_directory_path() /
                        ("cuminfold-owner." + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    auto const settings = (folder / "node.yaml").string();
    std::ofstream(settings)
        << "name: a\nclients_address: 127.0.0.1:0\n"
           "health_address: 127.0.0.1:0\n"
           "peers_address: 127.0.0.1:0\n"
        << "store_address: " << platform.address()
        << "\nmachines_address: " << platform.address()
        << "\nadvice_address: " << platform.address() << "\n";
    child_process node(CUMINFOLD_NODE, {"--config", settings},
                       (folder / "errors").string());
    auto const clients = node.next_address();
    auto const health = node.next_address();
    http_caller caller;
    while (caller.call(health, "GET", "/").response_.status_ != 200)
    {
        std::this_thread::sleep_for(20ms);
    }
    std::vector<std::future<http_result>> answers;
    auto const began = std::chrono::steady_clock::now();
    for (int i = 0; i < jobs; ++i)
    {
        std::this_thread::sleep_until(began + i * 1s / rate);
        answers.push_back(
            caller.start(make_submission(clients, i, tasks, task_ms)));
    }
    int accepted = 0;
    for (auto& answer : answers)
    {
        accepted += answer.get().response_.status_ == 200 ? 1 : 0;
    }
    std::this_thread::sleep_for(3s);
    int const starts = platform.total_starts();
    node.terminate();
    node.wait();
    rusage usage{};
    getrusage(RUSAGE_CHILDREN, &usage);
    std::cout << "accepted " << accepted << " of " << jobs << " jobs, starts "
              << starts << ", user " << seconds_of(usage.ru_utime)
              << " s, system " << seconds_of(usage.ru_stime) << " s\n";
    std::filesystem::remove_all(folder);
    return 0;
}
