#include "child_process.hpp"
#include "http_caller.hpp"
#include "platform/stand_in/platform_stand_in.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cuminfold;
using namespace std::chrono_literals;
using platform::platform_stand_in;

namespace
{

/// Allows for a busy machine; a passing test ends much sooner.
constexpr auto timeout = 60s;
/// How long a crowd sends; clients that are closed connect again.
constexpr auto crowd_time = 6s;
/// How long it sends before the node is killed.
constexpr auto time_before_restart = 2s;
constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
/// The node's setting, and the bound on its resident memory.
constexpr std::uint64_t memory_mb = 64;
constexpr std::uint64_t max_resident_bytes = memory_mb * bytes_per_mb;
/// Above the largest crowd but that of `unfinished heads`, which is larger
/// than a health address needs.
constexpr std::size_t max_descriptors = 700;

enum class listener
{
    clients,
    health,
    peers
};

/// What each client of a crowd sends: a start, then a block again and again
/// until it has sent `max_bytes_`; then it stays open.
struct crowd
{
    char const* name_;
    listener at_;
    std::size_t connections_;
    std::string start_;
    std::string block_;
    std::size_t max_bytes_;
    bool reads_;
    /// Whether a node is also started again beside this crowd.
    bool stays_at_restart_ = false;
};

/// A node process alone beside the platform stand-in.
class small_node
{
public:
    small_node()
        : folder_(std::filesystem::temp_directory_path() /
                  ("cuminfold-uncontrolled." + std::to_string(getpid()))),
          platform_(1)
    {
        std::filesystem::create_directories(folder_);
        std::ofstream(folder_ / "node.yaml")
            << "name: node\n"
            << "clients_address: 127.0.0.1:0\n"
            << "health_address: 127.0.0.1:0\n"
            << "peers_address: 127.0.0.1:0\n"
            << "store_address: " << platform_.address() << "\n"
            << "machines_address: " << platform_.address() << "\n"
            << "advice_address: " << platform_.address() << "\n"
            << "memory_mb: " << memory_mb << "\n";
        restart();
        wait_until_job_accepted("0000000000000001");
    }

    ~small_node()
    {
        process_.reset();
        std::filesystem::remove_all(folder_);
    }

    /// Kills the process, if there is one, and starts it at other addresses.
    void restart()
    {
        process_.reset();
        process_ = std::make_unique<child_process>(
            CUMINFOLD_NODE,
            std::vector<std::string>{"--config",
                                     (folder_ / "node.yaml").string()},
            (folder_ / "errors").string());
        for (auto& address : addresses_)
        {
            address = process_->next_address();
        }
        process_->keep_output((folder_ / "log").string());
    }

    std::string const& address(listener which) const
    {
        return addresses_.at(static_cast<std::size_t>(which));
    }

    void wait_until_job_accepted(std::string const& id)
    {
        auto const end = std::chrono::steady_clock::now() + timeout;
        for (;;)
        {
            http_call call;
            call.address_ = address(listener::clients);
            call.method_ = "POST";
            call.target_ = platform_stand_in::prefix_ + id;
            call.fields_["host"] = platform_stand_in::host_;
            call.body_ = platform_stand_in::write_job(1, 1);
            call.timeout_ = 5s;
            auto const result = client_.start(std::move(call)).get();
            if (result.end_ == http_end::whole &&
                result.response_.status_ == 200)
            {
                return;
            }
            REQUIRE(process_->poll() == -1);
            REQUIRE(std::chrono::steady_clock::now() < end);
            std::this_thread::sleep_for(20ms);
        }
    }

    std::uint64_t resident_bytes() const
    {
        std::ifstream pages(proc() + "/statm");
        std::uint64_t size = 0;
        std::uint64_t resident = 0;
        pages >> size >> resident;
        return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }

    std::size_t descriptors() const
    {
        std::error_code error;
        std::filesystem::directory_iterator const open(proc() + "/fd", error);
        return static_cast<std::size_t>(std::distance(begin(open), end(open)));
    }

    int poll()
    {
        return process_->poll();
    }

private:
    std::string proc() const
    {
        return "/proc/" + std::to_string(process_->pid());
    }

    std::filesystem::path folder_;
    platform_stand_in platform_;
    http_caller client_;
    std::unique_ptr<child_process> process_;
    /// In the order of `listener`.
    std::vector<std::string> addresses_ = {"clients", "health", "peers"};
};

/// The connections of one crowd, on one thread.
class crowd_runner
{
public:
    crowd_runner(crowd const& plan, std::string const& address)
        : plan_(plan), clients_(plan.connections_), polled_(plan.connections_)
    {
        set_address(address);
        for (auto& each : clients_)
        {
            open(each);
        }
    }

    ~crowd_runner()
    {
        for (auto const& each : clients_)
        {
            ::close(each.socket_);
        }
    }

    crowd_runner(crowd_runner const&) = delete;
    crowd_runner& operator=(crowd_runner const&) = delete;

    /// Sets where clients connect from now on.
    void set_address(std::string const& address)
    {
        auto const colon = address.find(':');
        at_.sin_family = AF_INET;
        at_.sin_port = htons(
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &at_.sin_addr);
    }

    /// Sends and reads once on each connection that is ready.
    void step()
    {
        for (std::size_t i = 0; i < clients_.size(); ++i)
        {
            bool const sends = clients_[i].sent_ < plan_.max_bytes_;
            polled_[i] = {clients_[i].socket_,
                          static_cast<short>((sends ? POLLOUT : 0) |
                                             (plan_.reads_ ? POLLIN : 0)),
                          0};
        }
        ::poll(polled_.data(), polled_.size(), 20);
        for (std::size_t i = 0; i < clients_.size(); ++i)
        {
            if (!serve(clients_[i], polled_[i].revents))
            {
                ::close(clients_[i].socket_);
                open(clients_[i]);
            }
        }
    }

private:
    struct client
    {
        int socket_ = -1;
        std::size_t sent_ = 0;
    };

    void open(client& each) const
    {
        each.sent_ = 0;
        each.socket_ =
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        ::connect(each.socket_, reinterpret_cast<sockaddr const*>(&at_),
                  sizeof at_);
    }

    /// False if the connection has ended.
    bool serve(client& each, short ready) const
    {
        if ((ready & (POLLERR | POLLHUP)) != 0)
        {
            return false;
        }
        if ((ready & POLLIN) != 0)
        {
            char bytes[4096];
            if (::recv(each.socket_, bytes, sizeof bytes, 0) == 0)
            {
                return false;
            }
        }
        if ((ready & POLLOUT) != 0)
        {
            bool const starts = each.sent_ < plan_.start_.size();
            auto const& from = starts ? plan_.start_ : plan_.block_;
            auto const at =
                starts ? each.sent_
                       : (each.sent_ - plan_.start_.size()) % from.size();
            auto const count = ::send(
                each.socket_, from.data() + at,
                std::min(from.size() - at, plan_.max_bytes_ - each.sent_),
                MSG_NOSIGNAL);
            each.sent_ += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        return true;
    }

    crowd const& plan_;
    std::vector<client> clients_;
    std::vector<pollfd> polled_;
    sockaddr_in at_{};
};

std::string repeat(std::string const& text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i)
    {
        all += text;
    }
    return all;
}

std::string post(std::string const& field)
{
    return "POST " + std::string(platform_stand_in::prefix_) +
           "0000000000000002 HTTP/1.1\r\nhost: " + platform_stand_in::host_ +
           "\r\n" + field + "\r\n\r\n";
}

std::vector<crowd> make_crowds()
{
    constexpr std::size_t endless = 8 * bytes_per_mb;
    constexpr std::size_t length = 256 * 1024;
    constexpr std::size_t missing = 10;
    std::string const chunked = post("transfer-encoding: chunked");
    std::string const trailers = chunked + "1\r\nx\r\n0\r\n";
    std::string const fields = repeat("x-trailer: 0123456789\r\n", 1000);
    std::string const letters(16'384, 'a');
    std::string const with_length =
        post("content-length: " + std::to_string(length));
    std::string const get = "GET " + std::string(platform_stand_in::prefix_) +
                            " HTTP/1.1\r\nhost: " + platform_stand_in::host_ +
                            "\r\n\r\n";
    std::string const small_fields =
        post(repeat("a:\r\n", 3500) + "transfer-encoding: chunked");
    std::string const metrics = "GET /metrics HTTP/1.1\r\nhost: node\r\n\r\n";
    return {
        {"endless trailer fields", listener::clients, 40, trailers, fields,
         endless, true, true},
        {"one endless trailer field", listener::clients, 40,
         trailers + "x-trailer: ", letters, endless, true},
        {"an endless chunk extension", listener::clients, 40,
         chunked + "1;a=", letters, endless, true},
        {"large chunks without an end", listener::clients, 300, chunked,
         "4000\r\n" + letters + "\r\n", 500'000, true, true},
        {"one-byte chunks without an end", listener::clients, 500, chunked,
         repeat("1\r\nx\r\n", 4000), 720'000, true},
        {"bodies some bytes short", listener::clients, 400, with_length,
         letters, with_length.size() + length - missing, true, true},
        {"many small fields before a body without an end", listener::clients,
         600, small_fields, "", small_fields.size(), true},
        {"unread answers", listener::clients, 300, "", repeat(get, 100),
         endless, false},
        {"unread metrics", listener::peers, 300, "", repeat(metrics, 100),
         endless, false},
        {"endless trailer fields to peers", listener::peers, 40, trailers,
         fields, endless, true},
        {"endless trailer fields to health", listener::health, 40, trailers,
         fields, endless, true},
        {"unfinished heads to health", listener::health, 900, "GET / HTTP/1.1",
         "", sizeof "GET / HTTP/1.1" - 1, true},
    };
}

/// Lets the crowd send for that time, and checks that the node lives and stays
/// within its bounds.
void check_bounds(small_node& node, crowd_runner& clients,
                  std::chrono::milliseconds time)
{
    std::uint64_t resident = 0;
    std::size_t descriptors = 0;
    auto next_sample = std::chrono::steady_clock::now();
    auto const end = next_sample + time;
    while (std::chrono::steady_clock::now() < end && node.poll() == -1)
    {
        clients.step();
        if (std::chrono::steady_clock::now() >= next_sample)
        {
            next_sample += 20ms;
            resident = std::max(resident, node.resident_bytes());
            descriptors = std::max(descriptors, node.descriptors());
        }
    }
    MESSAGE("resident MB " << resident / bytes_per_mb << ", descriptors "
                           << descriptors);
    REQUIRE(node.poll() == -1);
    CHECK(resident < max_resident_bytes);
    CHECK(descriptors < max_descriptors);
}

} // namespace

// Guards against a node that runs out of memory or descriptors by what clients
// send without an end, or do not read.
TEST_CASE("a node stays within its bounds beside uncontrolled clients")
{
    for (auto const& plan : make_crowds())
    {
        INFO(std::string(plan.name_));
        small_node node;
        crowd_runner clients(plan, node.address(plan.at_));
        check_bounds(node, clients, crowd_time);
        node.wait_until_job_accepted("0000000000000003");
        CHECK(node.poll() == -1);
    }
}

// Guards against a node that a crowd keeps from coming back: all its clients
// connect and send at once while the node claims and loads the cell.
TEST_CASE("a node starts again beside uncontrolled clients")
{
    for (auto const& plan : make_crowds())
    {
        if (!plan.stays_at_restart_)
        {
            continue;
        }
        INFO(std::string(plan.name_));
        small_node node;
        crowd_runner clients(plan, node.address(plan.at_));
        check_bounds(node, clients, time_before_restart);
        node.restart();
        clients.set_address(node.address(plan.at_));
        check_bounds(node, clients, crowd_time);
        node.wait_until_job_accepted("0000000000000003");
        CHECK(node.poll() == -1);
    }
}
