#include "child_process.hpp"
#include "http_caller.hpp"
#include "platform/body_codec.hpp"
#include "platform/stand_in/platform_stand_in.hpp"
#include "wire/cell_codec.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

using namespace cuminfold;
using namespace std::chrono_literals;
using platform::platform_stand_in;

namespace
{

/// Allows for a busy machine; a passing test ends much sooner.
constexpr auto timeout = 60s;

/// A node process with its settings file, and the addresses it listens on.
class entry_vm
{
public:
    entry_vm(std::filesystem::path const& folder, std::string const& name,
             std::string const& platform,
             std::string const& extra_settings = "")
    {
        auto const file = (folder / (name + ".yaml")).string();
        std::ofstream(file) << "name: " << name << "\n"
                            << "clients_address: 127.0.0.1:0\n"
                            << "health_address: 127.0.0.1:0\n"
                            << "peers_address: 127.0.0.1:0\n"
                            << "store_address: " << platform << "\n"
                            << "machines_address: " << platform << "\n"
                            << "advice_address: " << platform << "\n"
                            << "stop_time: 100ms\n"
                            << extra_settings;
        process_ = std::make_unique<child_process>(
            CUMINFOLD_NODE, std::vector<std::string>{"--config", file},
            (folder / (name + ".errors")).string());
        clients_ = process_->next_address();
        health_ = process_->next_address();
        peers_ = process_->next_address();
    }

    std::unique_ptr<child_process> process_;
    std::string clients_;
    std::string health_;
    std::string peers_;
};

/// Three entry VMs, a stand-in for the platform with four workers, and a
/// client. The entry VMs are ready once it is constructed.
class small_system
{
public:
    explicit small_system(std::string extra_settings = "")
        : extra_settings_(std::move(extra_settings)),
          folder_(std::filesystem::temp_directory_path() /
                  ("cuminfold-node." + std::to_string(getpid()))),
          platform_(4)
    {
        std::filesystem::create_directories(folder_);
        for (auto const* const name : {"a", "b", "c"})
        {
            add(name);
        }
        for (auto const& vm : vms_)
        {
            wait_until([&] { return status(vm->health_, "GET", "/") == 200; });
        }
    }

    ~small_system()
    {
        vms_.clear();
        std::filesystem::remove_all(folder_);
    }

    void add(std::string const& name)
    {
        vms_.push_back(std::make_unique<entry_vm>(
            folder_, name, platform_.address(), extra_settings_));
    }

    std::future<http_result> start_call(std::string const& address,
                                        std::string const& method,
                                        std::string const& target,
                                        std::string const& body = "")
    {
        http_call call;
        call.address_ = address;
        call.method_ = method;
        call.target_ = target;
        call.fields_["host"] = platform_stand_in::host_;
        if (!authorization_.empty())
        {
            call.fields_["authorization"] = authorization_;
        }
        call.body_ = body;
        call.timeout_ = 5s;
        return client_.start(std::move(call));
    }

    http_result call(std::string const& address, std::string const& method,
                     std::string const& target, std::string const& body = "")
    {
        return start_call(address, method, target, body).get();
    }

    /// The HTTP status of the response; 0 if there was no whole response.
    unsigned status(std::string const& address, std::string const& method,
                    std::string const& target, std::string const& body = "")
    {
        auto const result = call(address, method, target, body);
        return result.end_ == http_end::whole ? result.response_.status_ : 0;
    }

    /// Submits a job to one node after the other until one accepts it.
    void submit_until_accepted(
        std::string const& id, int tasks, int milliseconds,
        std::string const& prefix = platform_stand_in::prefix_)
    {
        std::size_t next = 0;
        wait_until(
            [&]
            {
                return status(vms_[next++ % vms_.size()]->clients_, "POST",
                              prefix + id,
                              platform_stand_in::write_job(
                                  tasks, milliseconds)) == 200;
            });
    }

    /// The status of a job from the first node that answers; empty if none
    /// does.
    std::string
    job_status(std::string const& id,
               std::string const& prefix = platform_stand_in::prefix_)
    {
        for (auto const& vm : vms_)
        {
            auto const result = call(vm->clients_, "GET", prefix + id);
            if (result.end_ == http_end::whole &&
                result.response_.status_ == 200)
            {
                return platform_stand_in::read_status(result.response_.body_);
            }
        }
        return "";
    }

    /// Polls a condition; fails the test if it does not hold in time.
    template <class Condition>
    static void wait_until(Condition const& condition)
    {
        auto const end = std::chrono::steady_clock::now() + timeout;
        while (!condition())
        {
            REQUIRE(std::chrono::steady_clock::now() < end);
            std::this_thread::sleep_for(20ms);
        }
    }

    /// Of the calls from now on; empty: none.
    std::string authorization_;
    std::string extra_settings_;
    std::filesystem::path folder_;
    platform_stand_in platform_;
    http_caller client_;
    std::vector<std::unique_ptr<entry_vm>> vms_;
};

std::string id_of(int number)
{
    auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

} // namespace

TEST_CASE("without faults, every node accepts jobs and each task runs once")
{
    small_system system;
    for (int i = 0; i < 12; ++i)
    {
        system.submit_until_accepted(id_of(i), 3, 50);
    }
    for (int i = 0; i < 12; ++i)
    {
        system.wait_until(
            [&] { return system.job_status(id_of(i)) == "completed"; });
    }
    CHECK(system.platform_.total_starts() == 36);
    CHECK(system.platform_.max_starts() == 1);

    struct row
    {
        char const* method_;
        std::string path_;
        std::string body_;
        unsigned status_;
    };
    std::string const prefix = platform_stand_in::prefix_;
    row const rows[] = {
        {"POST", prefix + id_of(0), platform_stand_in::write_job(3, 50), 200},
        {"POST", prefix + id_of(99), "not a job", 400},
        {"POST", "/unknown/" + id_of(99), platform_stand_in::write_job(1, 1),
         404},
        {"GET", prefix + id_of(99), "", 410},
        {"GET", prefix, "", 200},
        {"GET", "/unknown/", "", 404},
        {"DELETE", prefix + id_of(99), "", 410},
        {"DELETE", prefix + id_of(0), "", 200},
        {"POST", prefix + id_of(98), std::string(600'000, 'x'), 413},
    };
    for (auto const& each : rows)
    {
        CAPTURE(each.path_);
        CHECK(system.status(system.vms_[1]->clients_, each.method_, each.path_,
                            each.body_) == each.status_);
    }
    CHECK(system.platform_.total_starts() == 36);
    auto const metrics = system.call(system.vms_[0]->peers_, "GET", "/metrics");
    CHECK(metrics.response_.body_.find("cuminfold_job_memory_bytes") !=
          std::string::npos);
    CHECK(metrics.response_.body_.find("cuminfold_resident_bytes") !=
          std::string::npos);
    CHECK(metrics.response_.body_.find("cuminfold_answers_total") !=
          std::string::npos);
    // The owner counts the starts.
    bool are_starts_counted = false;
    for (auto const& vm : system.vms_)
    {
        auto const text =
            system.call(vm->peers_, "GET", "/metrics").response_.body_;
        are_starts_counted =
            are_starts_counted ||
            text.find("cuminfold_starts_total{outcome=\"accepted\"} 36") !=
                std::string::npos;
    }
    CHECK(are_starts_counted);
}

// Guards against ends that are acknowledged unread, since a worker numbers them
// from 1 again after a restart under its id.
TEST_CASE("tasks run once on workers that restart under their ids")
{
    small_system system;
    for (int i = 0; i < 8; ++i)
    {
        system.submit_until_accepted(id_of(i), 8, 20);
    }
    auto const wait_for = [&](int first, int last)
    {
        for (int i = first; i < last; ++i)
        {
            system.wait_until(
                [&] { return system.job_status(id_of(i)) == "completed"; });
        }
    };
    wait_for(0, 8);
    system.platform_.restart_workers();
    for (int i = 8; i < 12; ++i)
    {
        system.submit_until_accepted(id_of(i), 4, 200);
    }
    wait_for(8, 12);
    CHECK(system.platform_.max_starts() == 1);
}

TEST_CASE("killing the nodes one after the other loses no job")
{
    small_system system;
    int next = 0;
    for (std::size_t victim = 0; victim < 3; ++victim)
    {
        for (int i = 0; i < 5; ++i)
        {
            system.submit_until_accepted(id_of(next++), 2, 300);
        }
        system.vms_[0]->process_->kill();
        system.vms_.erase(system.vms_.begin());
        system.add("next" + std::to_string(victim));
    }
    for (int i = 0; i < next; ++i)
    {
        CAPTURE(i);
        system.wait_until(
            [&] { return system.job_status(id_of(i)) == "completed"; });
    }
    CHECK(system.platform_.max_starts() == 1);
}

// Guards against a cell that stands still since the store refuses one record
// for good.
TEST_CASE("a record that the store rejects fails its own job alone")
{
    small_system system;
    // Below the limit in the nodes' settings.
    constexpr std::size_t max_record_bytes = 2000;
    system.platform_.set_max_record(max_record_bytes);
    std::string const prefix = platform_stand_in::prefix_;
    auto const large = platform::write_body(
        {{"spec", std::string(2 * max_record_bytes, 'x')},
         {"steps", {{{"count", 1}, {"cpu", 100}, {"mem_mb", 1}}}}});
    for (std::size_t round = 0; round < 3; ++round)
    {
        int const first = static_cast<int>(round) * 10;
        auto const& vms = system.vms_;
        auto refused = system.start_call(vms[round % vms.size()]->clients_,
                                         "POST", prefix + id_of(first), large);
        for (int i = first + 1; i < first + 6; ++i)
        {
            system.submit_until_accepted(id_of(i), 2, 20);
        }
        auto const answer = refused.get();
        REQUIRE(answer.end_ == http_end::whole);
        CHECK(answer.response_.status_ == 429);
        CHECK(answer.response_.fields_.count("retry-after") == 0);
        for (int i = first + 1; i < first + 6; ++i)
        {
            system.wait_until(
                [&] { return system.job_status(id_of(i)) == "completed"; });
        }
        if (round == 1)
        {
            system.vms_[0]->process_->kill();
            system.vms_.erase(system.vms_.begin());
        }
    }
    CHECK(system.platform_.total_starts() == 30);
    CHECK(system.platform_.max_starts() == 1);
}

// Guards against owners that exceed their memory by one job, one after the
// other.
TEST_CASE("a job that exceeds the owner's memory is refused for good")
{
    small_system system;
    std::string const prefix = platform_stand_in::prefix_;
    nlohmann::json steps = nlohmann::json::array();
    for (int i = 0; i < 20; ++i)
    {
        steps.push_back({{"count", 100'000}, {"cpu", 1}, {"mem_mb", 1}});
    }
    auto const wide = platform::write_body({{"spec", "x"}, {"steps", steps}});
    for (std::size_t i = 0; i < system.vms_.size(); ++i)
    {
        auto refused = system.start_call(system.vms_[i]->clients_, "POST",
                                         prefix + id_of(1), wide);
        auto const answer = refused.get();
        REQUIRE(answer.end_ == http_end::whole);
        CHECK(answer.response_.status_ == 429);
        CHECK(answer.response_.fields_.count("retry-after") == 0);
    }
    system.submit_until_accepted(id_of(2), 2, 20);
    system.wait_until([&]
                      { return system.job_status(id_of(2)) == "completed"; });
    CHECK(system.platform_.total_starts() == 2);
}

TEST_CASE("a job that is refused while the store is down never runs")
{
    small_system system;
    system.platform_.set_down(true);
    unsigned const status = system.status(system.vms_[0]->clients_, "POST",
                                          platform_stand_in::prefix_ + id_of(7),
                                          platform_stand_in::write_job(1, 10));
    // 503: not stored; 504: not known whether it was stored.
    CHECK((status == 503 || status == 504));
    system.platform_.set_down(false);
    system.submit_until_accepted(id_of(8), 1, 10);
    system.wait_until([&]
                      { return system.job_status(id_of(8)) == "completed"; });
    if (status == 503)
    {
        CHECK(system.platform_.total_starts() == 1);
    }
}

TEST_CASE("a node that is asked to stop ends by itself and hands over")
{
    small_system system;
    system.submit_until_accepted(id_of(1), 4, 600);
    for (std::size_t i = 0; i < 2; ++i)
    {
        system.vms_[0]->process_->terminate();
        CHECK(system.vms_[0]->process_->wait() == 0);
        system.vms_.erase(system.vms_.begin());
    }
    system.wait_until([&]
                      { return system.job_status(id_of(1)) == "completed"; });
    CHECK(system.platform_.max_starts() == 1);
}

// Guards against a resignation with the sequence number of a renewal of the
// record that is still under way: the store drops it as a repetition, and the
// successor waits until the record counts as unchanged.
TEST_CASE("an owner that stops while the store is slow is seen to resign")
{
    small_system system;
    system.submit_until_accepted(id_of(1), 1, 10);
    auto const read_record = [&]
    {
        auto const bytes =
            system.platform_.newest_record("keyed.owner-0", "owner");
        return bytes ? decode_owner(*bytes) : owner_record{};
    };
    system.wait_until([&] { return read_record().epoch_ != 0; });
    auto const owner = read_record();
    system.platform_.set_store_latency(1s);
    std::this_thread::sleep_for(500ms);
    auto const& names = std::vector<std::string>{"a", "b", "c"};
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (names[i] == owner.node_)
        {
            system.vms_[i]->process_->terminate();
            CHECK(system.vms_[i]->process_->wait() == 0);
        }
    }
    auto seen = owner;
    system.wait_until(
        [&]
        {
            seen = read_record();
            return seen.resigned_ || seen.epoch_ != owner.epoch_;
        });
    CHECK(seen.epoch_ == owner.epoch_);
    CHECK(seen.resigned_);
    system.platform_.set_store_latency(0s);
}

TEST_CASE("a request that is open when a node's time to stop is up is answered")
{
    small_system system;
    system.vms_.clear();
    system.platform_.set_down(true);
    // The node finds no owner, so the request would wait longer than the node
    // runs.
    entry_vm alone(system.folder_, "alone", system.platform_.address(),
                   "stop_limit: 400ms\n");
    auto answer = system.start_call(alone.clients_, "POST",
                                    platform_stand_in::prefix_ + id_of(1),
                                    platform_stand_in::write_job(1, 10));
    system.wait_until(
        [&]
        {
            auto const metrics =
                system.call(alone.peers_, "GET", "/metrics").response_.body_;
            return metrics.find("cuminfold_open_requests 1") !=
                   std::string::npos;
        });
    alone.process_->terminate();
    auto const result = answer.get();
    REQUIRE(result.end_ == http_end::whole);
    CHECK(result.response_.status_ == 503);
    CHECK(alone.process_->wait() == 0);
}

TEST_CASE("jobs of a queue with a policy run only on the workers it allows")
{
    small_system system;
    std::string const prefix = platform_stand_in::checked_prefix_;
    for (int i = 0; i < 4; ++i)
    {
        system.submit_until_accepted(id_of(i), 3, 50, prefix);
    }
    for (int i = 0; i < 4; ++i)
    {
        system.wait_until(
            [&] { return system.job_status(id_of(i), prefix) == "completed"; });
    }
    CHECK(system.platform_.total_starts() == 12);
    CHECK(system.platform_.denied_starts() == 0);
}

namespace
{

/// A list in a list, and so on, in CBOR.
std::string nested(char list)
{
    constexpr std::size_t levels = 150'000;
    return std::string(levels, list) + '\0';
}

std::string entry_with(nlohmann::json const& fields)
{
    nlohmann::json entry = {
        {"service", "tally"},
        {"address", "127.0.0.1:1"},
        {"zone", "z"},
        {"machine", "m"},
        {"state", "ready"},
        {"available_resources", {{"cpu", 4000}, {"mem_mb", 4000}}}};
    entry.update(fields);
    return platform::write_body(entry);
}

} // namespace

// Guards against nodes that end, again and again, at one entry of another
// writer among those of the workers.
TEST_CASE("nodes survive an odd entry among those of the workers")
{
    struct odd_entry
    {
        char const* name_;
        std::string key_;
        std::string value_;
    };
    constexpr auto max_int = std::numeric_limits<std::int64_t>::max();
    constexpr auto max_uint = std::numeric_limits<std::uint64_t>::max();
    std::string const not_utf8 = "\xff\xfe = \xc3";
    std::vector<odd_entry> const entries = {
        {"nested lists", "odd-1", nested('\x81')},
        {"nested lists without an end", "odd-2", nested('\x9f')},
        {"nested maps", "odd-3", nested('\xa1')},
        {"nested strings", "odd-4", nested('\x7f')},
        {"nested tags", "odd-5", nested('\xc1')},
        {"a zone that is not UTF-8", "odd-6", entry_with({{"zone", not_utf8}})},
        {"a VM that is not UTF-8", "odd-7",
         entry_with({{"machine", not_utf8}})},
        {"a label that is not UTF-8", "odd-8",
         entry_with({{"labels", {not_utf8}}})},
        {"an address that is not UTF-8", "odd-9",
         entry_with({{"address", not_utf8}})},
        {"a key that is not UTF-8", not_utf8,
         entry_with(nlohmann::json::object())},
        {"a port out of range", "odd-10",
         entry_with({{"address", "127.0.0.1:99999"}})},
        {"sizes of 2^63 - 1", "odd-11",
         entry_with({{"available_resources",
                      {{"cpu", max_int}, {"mem_mb", max_int}}}})},
        {"sizes of 2^64 - 1", "odd-12",
         entry_with({{"available_resources",
                      {{"cpu", max_uint}, {"mem_mb", 1e300}}}})},
        {"no map", "odd-13", std::string("\x01")},
        {"a break alone", "odd-14", std::string(1, '\xff')},
    };
    small_system system;
    auto const run_job = [&](int number)
    {
        system.submit_until_accepted(id_of(number), 4, 20);
        system.wait_until(
            [&] { return system.job_status(id_of(number)) == "completed"; });
    };
    int next = 0;
    for (auto const& each : entries)
    {
        CAPTURE(std::string(each.name_));
        system.platform_.write_registration(each.key_, each.value_);
        run_job(next++);
        for (auto const& vm : system.vms_)
        {
            CHECK(system.status(vm->health_, "GET", "/") == 200);
        }
    }
    // A node that starts reads all entries at once.
    system.vms_[0]->process_->kill();
    system.vms_.erase(system.vms_.begin());
    system.add("next");
    system.wait_until(
        [&] {
            return system.status(system.vms_.back()->health_, "GET", "/") ==
                   200;
        });
    run_job(next);
}

// Guards against nodes that end at a request of one caller.
TEST_CASE("nodes survive odd requests of callers")
{
    std::string const prefix = platform_stand_in::prefix_;
    struct odd_request
    {
        char const* name_;
        std::string target_;
        std::string body_;
    };
    nlohmann::json const step = {{"count", 1}, {"cpu", 100}, {"mem_mb", 1}};
    auto const job_with = [&](nlohmann::json const& fields)
    {
        auto changed = step;
        changed.update(fields);
        return platform::write_body(
            {{"spec", "1"}, {"steps", nlohmann::json::array({changed})}});
    };
    constexpr auto max_int = std::numeric_limits<std::int64_t>::max();
    std::vector<odd_request> const requests = {
        {"nested lists", prefix + id_of(1), nested('\x81')},
        {"nested maps", prefix + id_of(2), nested('\xa1')},
        {"nested strings", prefix + id_of(3), nested('\x7f')},
        {"a text that is not UTF-8", prefix + id_of(4),
         platform::write_body({{"spec", "\xff\xfe"}, {"steps", {step}}})},
        {"a path that is not UTF-8", prefix + "\xff\xfe=\xc3", ""},
        {"an estimate of 2^63 - 1", prefix + id_of(5),
         job_with({{"estimate_ms", max_int}})},
        {"a size of 2^63 - 1", prefix + id_of(6), job_with({{"cpu", max_int}})},
        {"a size below 0", prefix + id_of(7), job_with({{"mem_mb", -1}})},
    };
    small_system system;
    for (auto const& each : requests)
    {
        CAPTURE(std::string(each.name_));
        for (auto const& vm : system.vms_)
        {
            CHECK(system.status(vm->clients_, "POST", each.target_,
                                each.body_) == 400);
            CHECK(system.status(vm->health_, "GET", "/") == 200);
        }
    }
    system.submit_until_accepted(id_of(90), 2, 20);
    system.wait_until([&]
                      { return system.job_status(id_of(90)) == "completed"; });
}

// Guards against an owner that denies a job of which a newer owner knows: it
// has to prove first that there is none.
TEST_CASE("a job is not denied while the store is out of reach")
{
    small_system system;
    auto const target = std::string(platform_stand_in::prefix_) + id_of(1);
    auto const is_denied = [&](std::unique_ptr<entry_vm> const& vm)
    { return system.status(vm->clients_, "GET", target) == 410; };
    for (auto const& vm : system.vms_)
    {
        system.wait_until([&] { return is_denied(vm); });
    }
    system.platform_.set_down(true);
    for (auto const& vm : system.vms_)
    {
        CHECK_FALSE(is_denied(vm));
    }
    system.platform_.set_down(false);
    for (auto const& vm : system.vms_)
    {
        system.wait_until([&] { return is_denied(vm); });
    }
}

// Guards against calls that run without a key, by the key of another workspace
// or by one that was revoked, also while the store is out of reach.
TEST_CASE("calls need a key that is known not to be revoked")
{
    small_system system("key_revocation_limit: 1s\n");
    std::string const prefix = platform_stand_in::prefix_;
    std::string const open_prefix = platform_stand_in::checked_prefix_;
    auto const configure = [&](std::vector<std::string> const& first_keys)
    {
        system.platform_.run(
            [&]
            {
                system.platform_.set_workspaces(
                    {{{"name", "first"}, {"api_keys", first_keys}},
                     {{"name", "second"}, {"api_keys", {"key-2"}}},
                     {{"name", 7}, {"api_keys", {"key-3"}}}});
            });
    };
    configure({"key-1", "key-1b"});
    // A job that is submitted before belongs to no workspace.
    for (auto const& vm : system.vms_)
    {
        system.wait_until(
            [&] {
                return system.status(vm->clients_, "GET", prefix + id_of(1)) ==
                       401;
            });
    }
    system.authorization_ = "Bearer key-1";
    system.submit_until_accepted(id_of(1), 2, 20);
    system.wait_until([&]
                      { return system.job_status(id_of(1)) == "completed"; });
    struct row
    {
        char const* authorization_;
        std::string target_;
        unsigned status_;
    };
    row const rows[] = {
        {"Bearer key-1", prefix + id_of(1), 200},
        {"bearer key-1b", prefix + id_of(1), 200},
        {"Bearer key-2", prefix + id_of(1), 403},
        {"Bearer key-3", prefix + id_of(1), 401},
        {"Bearer key-1x", prefix + id_of(1), 401},
        {"Basic key-1", prefix + id_of(1), 401},
        {"Bearer", prefix + id_of(1), 401},
        {"Bearer key-1 ", prefix + id_of(1), 200},
        {"Bearer key 1", prefix + id_of(1), 401},
        {"", prefix + id_of(1), 401},
        {"", prefix, 401},
        {"", open_prefix, 200},
        {"Bearer key-1x", open_prefix, 200},
        {"", open_prefix + id_of(1), 403},
        {"", "/unknown/", 404},
    };
    for (auto const& vm : system.vms_)
    {
        for (auto const& each : rows)
        {
            CAPTURE(std::string(each.authorization_));
            CAPTURE(each.target_);
            system.authorization_ = each.authorization_;
            CHECK(system.status(vm->clients_, "GET", each.target_) ==
                  each.status_);
        }
        system.authorization_ = "Bearer " + std::string(300, 'k');
        CHECK(system.status(vm->clients_, "GET", prefix + id_of(1)) == 401);
    }
    auto const metrics =
        system.call(system.vms_[0]->peers_, "GET", "/metrics").response_.body_;
    CHECK(metrics.find("key-1") == std::string::npos);

    configure({"key-1b"});
    system.authorization_ = "Bearer key-1";
    system.wait_until(
        [&]
        {
            return system.status(system.vms_[0]->clients_, "GET",
                                 prefix + id_of(1)) == 401;
        });
    system.authorization_ = "Bearer key-1b";
    CHECK(system.status(system.vms_[0]->clients_, "GET", prefix + id_of(1)) ==
          200);
    system.platform_.set_down(true);
    system.wait_until(
        [&]
        {
            return system.status(system.vms_[0]->clients_, "GET",
                                 prefix + id_of(1)) == 503;
        });
    system.platform_.set_down(false);
    system.wait_until(
        [&]
        {
            return system.status(system.vms_[0]->clients_, "GET",
                                 prefix + id_of(1)) == 200;
        });
}
