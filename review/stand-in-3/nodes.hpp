#ifndef REVIEW_STAND_IN_3_NODES_HPP
#define REVIEW_STAND_IN_3_NODES_HPP

#include "platform.hpp"
#include "proxy.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>

namespace review
{

/// An answer to a client; status 0: none.
struct answer
{
    unsigned status_ = 0;
    std::string body_;
    std::string retry_after_;

    std::string state() const
    {
        if (status_ != 200 || body_.empty())
        {
            return "";
        }
        return from_body(body_).value("state", "");
    }
};

/// A client's connection to a node.
class connection
{
public:
    explicit connection(unsigned short port) : socket_(io_)
    {
        error_code error;
        socket_.connect({asio::ip::address_v4::loopback(), port}, error);
        is_open_ = !error;
        socket_.set_option(tcp::no_delay(true), error);
    }
    bool is_open() const
    {
        return is_open_;
    }
    void send(std::string const& method, std::string const& host,
              std::string const& path, std::string const& body, int deadline_ms)
    {
        std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                           "\r\nContent-Type: application/cbor\r\n"
                           "Content-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body;
        error_code error;
        asio::write(socket_, asio::buffer(text), error);
        is_open_ = is_open_ && !error;
    }
    /// @return status 0 if there is no whole answer within that time
    answer receive(milliseconds limit)
    {
        auto const until = clock_type::now() + limit;
        answer result;
        while (is_open_)
        {
            std::string first;
            std::map<std::string, std::string> fields;
            std::size_t head = 0;
            if (parse_head(in_, first, fields, head))
            {
                auto const size = head + body_size(fields);
                if (in_.size() >= size)
                {
                    result.status_ = static_cast<unsigned>(
                        std::stoul(first.substr(first.find(' ') + 1)));
                    result.body_ = in_.substr(head, size - head);
                    result.retry_after_ = fields["retry-after"];
                    in_.erase(0, size);
                    return result;
                }
            }
            auto const left = ms(until - clock_type::now());
            if (left <= 0)
            {
                return result;
            }
            timeval const wait{left / 1000, left % 1000 * 1000};
            ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO,
                         &wait, sizeof wait);
            char buffer[4096];
            auto const bytes =
                ::recv(socket_.native_handle(), buffer, sizeof buffer, 0);
            if (bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EINTR))
            {
                is_open_ = false;
            }
            else if (bytes > 0)
            {
                in_.append(buffer, static_cast<std::size_t>(bytes));
            }
        }
        return result;
    }

private:
    asio::io_context io_;
    tcp::socket socket_;
    bool is_open_ = false;
    std::string in_;
};

/// A process of the system on one entry machine.
struct node
{
    std::string name_;
    std::string zone_;
    unsigned short clients_ = 0;
    unsigned short health_ = 0;
    unsigned short peers_ = 0;
    pid_t pid_ = -1;
    /// When it starts again after its end.
    time_point starts_{};
    /// Its resident bytes when they were read last, and the most that were
    /// seen.
    std::size_t held_ = 0;
    std::size_t most_ = 0;
    std::unique_ptr<proxy> proxy_;
};

/// The processes of a small deployment: seven entry machines in three zones.
class deployment
{
public:
    /// @param with_proxies the nodes reach each other through proxies
    deployment(platform& users, std::string folder, std::string program,
               bool with_proxies)
        : platform_(users), folder_(std::move(folder)),
          program_(std::move(program))
    {
        std::vector<std::string> const zones = {
            "walu-hall",  "nabua-hall", "lami-hall", "walu-hall",
            "nabua-hall", "lami-hall",  "walu-hall"};
        auto const ports = free_ports(3 * zones.size());
        for (std::size_t i = 0; i < zones.size(); ++i)
        {
            node each;
            each.name_ = "edge-" + zones[i] + "-" + std::to_string(i / 3 + 1);
            each.zone_ = zones[i];
            each.clients_ = ports[3 * i];
            each.health_ = ports[3 * i + 1];
            each.peers_ = ports[3 * i + 2];
            if (with_proxies)
            {
                each.proxy_ = users.on_thread(
                    [&] {
                        return std::make_unique<proxy>(users.io(), each.peers_);
                    });
            }
            nodes_.push_back(std::move(each));
        }
        for (auto& each : nodes_)
        {
            start(each);
        }
    }
    ~deployment()
    {
        for (auto& each : nodes_)
        {
            if (each.pid_ > 0)
            {
                ::kill(each.pid_, SIGKILL);
                ::waitpid(each.pid_, nullptr, 0);
            }
        }
        platform_.on_thread(
            [&]
            {
                for (auto& each : nodes_)
                {
                    each.proxy_.reset();
                }
                return 0;
            });
    }

    std::vector<node>& nodes()
    {
        return nodes_;
    }
    /// Waits until all nodes say that they are ready.
    bool await_ready(milliseconds limit)
    {
        auto const until = clock_type::now() + limit;
        while (clock_type::now() < until)
        {
            bool all = true;
            for (auto const& each : nodes_)
            {
                connection probe(each.health_);
                if (probe.is_open())
                {
                    probe.send("GET", "health", "/api/readiness", "", 1000);
                }
                all = all && probe.receive(milliseconds{500}).status_ == 200;
            }
            if (all)
            {
                return true;
            }
            std::this_thread::sleep_for(milliseconds{100});
        }
        return false;
    }
    /// Plays the platform's watch over memory: kills a process that holds more
    /// and starts it again after a short delay.
    /// @param most resident bytes
    /// @return the nodes that were killed
    std::vector<std::size_t> enforce_memory(std::size_t most)
    {
        std::vector<std::size_t> killed;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            auto& each = nodes_[i];
            if (each.pid_ < 0)
            {
                if (clock_type::now() >= each.starts_)
                {
                    start(each);
                }
                continue;
            }
            auto const held = resident(each.pid_);
            each.held_ = held;
            each.most_ = std::max(each.most_, held);
            if (held > most)
            {
                ::kill(each.pid_, SIGKILL);
                ::waitpid(each.pid_, nullptr, 0);
                each.pid_ = -1;
                each.starts_ = clock_type::now() + milliseconds{500};
                killed.push_back(i);
            }
        }
        return killed;
    }
    /// The node that owns the jobs, as its record in the store says.
    std::size_t owner()
    {
        auto const value = platform_.on_thread(
            [&]
            { return platform_.records().newest("keyed.owner-0", "owner"); });
        auto const record = from_body(value.value());
        auto const& field = record.at("node");
        auto const name = field.is_binary()
                              ? std::string(field.get_binary().begin(),
                                            field.get_binary().end())
                              : field.get<std::string>();
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            if (nodes_[i].name_ == name)
            {
                return i;
            }
        }
        throw std::runtime_error("no owner");
    }

private:
    static std::size_t resident(pid_t process)
    {
        std::ifstream status("/proc/" + std::to_string(process) + "/statm");
        std::size_t all = 0;
        std::size_t held = 0;
        status >> all >> held;
        return held * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }
    /// Free ports below the range that the system takes for connections.
    static std::vector<unsigned short> free_ports(std::size_t count)
    {
        constexpr int first = 20'000;
        constexpr int range = 10'000;
        asio::io_context io;
        std::vector<tcp::acceptor> held;
        std::vector<unsigned short> ports;
        int next = static_cast<int>(::getpid() * 97L % range);
        for (int tried = 0; tried < range && ports.size() < count; ++tried)
        {
            auto const port =
                static_cast<unsigned short>(first + next++ % range);
            tcp::acceptor probe(io, tcp::v4());
            error_code error;
            probe.bind({asio::ip::address_v4::loopback(), port}, error);
            if (!error)
            {
                ports.push_back(port);
                held.push_back(std::move(probe));
            }
        }
        if (ports.size() < count)
        {
            throw std::runtime_error("no free ports");
        }
        return ports;
    }
    static std::string loopback(unsigned short port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }
    /// Fills in deploy/settings.yaml.in as the users' platform would.
    void start(node& each)
    {
        auto const path = folder_ + "/" + each.name_ + ".yaml";
        std::ofstream settings(path);
        settings << "name: \"" << each.name_ << "\"\n"
                 << "data_centre: \"" << each.zone_ << "\"\n"
                 << "clients_address: \"" << loopback(each.clients_) << "\"\n"
                 << "health_address: \"" << loopback(each.health_) << "\"\n"
                 << "peers_address: \"" << loopback(each.peers_) << "\"\n"
                 << "store_address: \"" << platform_.store_address() << "\"\n"
                 << "machines_address: \"" << platform_.cloud_address()
                 << "\"\nadvice_address: \"" << platform_.advice_address()
                 << "\"\nlongest_lease: 10000ms\ndrain_notice: 2000ms\n"
                 << "stop_grace: 200ms\norder_pause: 3000ms\n"
                 << "max_record_bytes: 262144\nmax_append_bytes: 2097152\n"
                 << "memory_mb: 260\ncpu_share: 0.25\ncpu_speed: 1\n";
        if (each.proxy_)
        {
            settings << "announced_address: \"" << loopback(each.proxy_->port())
                     << "\"\n";
        }
        settings.close();
        auto const log = folder_ + "/" + each.name_ + ".log";
        auto const parent = ::getpid();
        each.pid_ = ::fork();
        if (each.pid_ == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
            {
                ::_exit(1);
            }
            int const out =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            // The sockets of the stand-ins must end with their minions.
            for (int file = STDERR_FILENO + 1; file < 4096; ++file)
            {
                ::close(file);
            }
            ::execl(program_.c_str(), program_.c_str(), "--config",
                    path.c_str(), nullptr);
            ::_exit(127);
        }
    }

    platform& platform_;
    std::string folder_;
    std::string program_;
    std::vector<node> nodes_;
};

} // namespace review

#endif
