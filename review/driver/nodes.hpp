// The project's nodes as separate processes, and clients of them.
#ifndef REVIEW_NODES_HPP
#define REVIEW_NODES_HPP

#include "platform.hpp"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

struct node
{
    std::string name_;
    std::string log_;
    pid_t pid_ = -1;
    std::uint16_t clients_ = 0;
    std::uint16_t health_ = 0;
    std::uint16_t peers_ = 0;
};

/// Starts nodes with the settings of `deploy/settings.yaml.in`, and ends all of
/// them when it is destroyed.
class node_set
{
public:
    node_set(std::string program, std::string folder, std::uint16_t platform,
             record_file& record)
        : program_(std::move(program)), folder_(std::move(folder)),
          platform_(platform), record_(record)
    {
    }
    ~node_set()
    {
        for (auto& each : nodes_)
        {
            kill(each, SIGKILL);
            reap(each);
        }
    }

    void start(std::string const& name, std::string const& zone)
    {
        nodes_.push_back({});
        nodes_.back().name_ = name;
        zones_.push_back(zone);
        launch(nodes_.size() - 1);
    }

    void launch(std::size_t index)
    {
        auto& made = nodes_[index];
        auto const at = "127.0.0.1:" + std::to_string(platform_);
        auto const settings = folder_ + "/" + made.name_ + ".yaml";
        made.log_ = folder_ + "/" + made.name_ + "." +
                    std::to_string(++launches_) + ".log";
        std::ofstream(settings)
            << "name: \"" << made.name_ << "\"\n"
            << "data_centre: \"" << zones_[index] << "\"\n"
            << "clients_address: \"127.0.0.1:0\"\n"
            << "health_address: \"127.0.0.1:0\"\n"
            << "peers_address: \"127.0.0.1:0\"\n"
            << "store_address: \"" << at << "\"\n"
            << "machines_address: \"" << at << "\"\n"
            << "advice_address: \"" << at << "\"\n"
            << "longest_lease: 10000ms\ndrain_notice: 2000ms\n"
            << "stop_grace: 200ms\norder_pause: 3000ms\n"
            << "cpu_share: 0.25\ncpu_speed: 1\n";
        std::vector<std::string> words = {program_, "--config", settings};
        std::vector<char*> arguments;
        for (auto& word : words)
        {
            arguments.push_back(word.data());
        }
        arguments.push_back(nullptr);
        made.pid_ = ::fork();
        if (made.pid_ == 0)
        {
            // Nodes end with the driver, however it ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int const log =
                ::open(made.log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
            ::dup2(log, STDOUT_FILENO);
            ::dup2(log, STDERR_FILENO);
            ::execv(program_.c_str(), arguments.data());
            ::_exit(127);
        }
        if (made.pid_ < 0)
        {
            throw std::runtime_error("cannot start " + program_);
        }
        record_.write("start of " + made.name_);
    }

    /// Reads the addresses that a node prints at its start.
    bool read_addresses(node& of)
    {
        std::ifstream in(of.log_);
        std::vector<std::uint16_t> ports;
        for (std::string line; std::getline(in, line) && ports.size() < 3;)
        {
            if (line.rfind("listening ", 0) == 0)
            {
                ports.push_back(static_cast<std::uint16_t>(
                    std::stoi(line.substr(line.rfind(':') + 1))));
            }
        }
        if (ports.size() < 3)
        {
            return false;
        }
        of.clients_ = ports[0];
        of.health_ = ports[1];
        of.peers_ = ports[2];
        return true;
    }

    static void kill(node const& of, int signal)
    {
        if (of.pid_ > 0)
        {
            ::kill(of.pid_, signal);
        }
    }
    static void reap(node& of)
    {
        if (of.pid_ > 0)
        {
            ::waitpid(of.pid_, nullptr, 0);
            of.pid_ = -1;
        }
    }
    /// Whether the process has ended by itself.
    static bool has_ended(node& of, std::string& how)
    {
        int status = 0;
        if (of.pid_ <= 0 || ::waitpid(of.pid_, &status, WNOHANG) != of.pid_)
        {
            return false;
        }
        of.pid_ = -1;
        how = WIFSIGNALED(status)
                  ? "signal " + std::to_string(WTERMSIG(status))
                  : "status " + std::to_string(WEXITSTATUS(status));
        return true;
    }

    std::vector<node> nodes_;

private:
    std::string program_;
    std::string folder_;
    std::uint16_t platform_;
    record_file& record_;
    std::vector<std::string> zones_;
    int launches_ = 0;
};

/// Clients that submit jobs and read their states, as the pages describe: a job
/// without an answer is submitted again under its ID, at another node.
class clients
{
public:
    struct job
    {
        job_plan plan_;
        bool accepted_ = false;
        bool refused_ = false;
        std::string state_; ///< newest one that was read
        int unanswered_reads_ = 0;
        int reads_ = 0;
    };

    clients(platform& owner, node_set& nodes, record_file& record)
        : platform_(owner), nodes_(nodes), record_(record)
    {
    }

    void submit(job_plan const& plan, int attempts = 5)
    {
        platform_.add_job(plan);
        jobs_[plan.id_].plan_ = plan;
        send(plan.id_, attempts);
    }

    void read(std::string const& id)
    {
        call("GET", id, "",
             [this, id](unsigned status, std::string const& body)
             {
                 auto& job = jobs_[id];
                 ++job.reads_;
                 std::string state;
                 if (status == 200)
                 {
                     state = json::from_cbor(body).value("state", "");
                     job.state_ = state;
                 }
                 else
                 {
                     ++job.unanswered_reads_;
                     state = "status " + std::to_string(status);
                     job.state_ = status == 410 ? "410" : job.state_;
                 }
                 record_.write("client: GET " + id + " -> " + state);
             });
    }

    std::map<std::string, job> jobs_;

private:
    void send(std::string const& id, int attempts)
    {
        record_.write("client: POST " + id);
        call("POST", id, jobs_[id].plan_.body(),
             [this, id, attempts](unsigned status, std::string const&)
             {
                 record_.write("client: POST " + id + " -> " +
                               std::to_string(status));
                 auto& job = jobs_[id];
                 job.accepted_ = job.accepted_ || status / 100 == 2;
                 if (status / 100 == 2)
                 {
                     return;
                 }
                 job.refused_ = attempts <= 1;
                 if (attempts > 1)
                 {
                     auto const timer = std::make_shared<asio::steady_timer>(
                         platform_.context_, milliseconds{1000});
                     timer->async_wait(
                         [this, id, attempts, timer](beast::error_code)
                         { send(id, attempts - 1); });
                 }
             });
    }

    void call(char const* method, std::string const& id,
              std::string const& body,
              std::function<void(unsigned, std::string)> done)
    {
        std::vector<std::uint16_t> ports;
        for (auto const& each : nodes_.nodes_)
        {
            if (each.pid_ > 0 && each.clients_ != 0)
            {
                ports.push_back(each.clients_);
            }
        }
        if (ports.empty())
        {
            done(0, "");
            return;
        }
        request message;
        message.version(11);
        message.method_string(method);
        message.target(platform_.prefix_ + id);
        message.set(http::field::host, platform_.host_);
        message.set("Deadline-Ms", "3000");
        message.keep_alive(false);
        if (!body.empty())
        {
            message.set(http::field::content_type, "application/cbor");
            message.body() = body;
        }
        client_call::start(platform_.context_, ports[next_++ % ports.size()],
                           std::move(message), milliseconds{3200},
                           std::move(done));
    }

    platform& platform_;
    node_set& nodes_;
    record_file& record_;
    std::size_t next_ = 0;
};

} // namespace review

#endif
