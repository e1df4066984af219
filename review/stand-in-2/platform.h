// Stand-ins for the cases in review/6 to review/10: the platform's store, its
// list of machines, its policy service, minions and clients, on loopback.
#ifndef REVIEW_STAND_IN_PLATFORM_H
#define REVIEW_STAND_IN_PLATFORM_H

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the program was started.
std::int64_t now_ms();
/// Adds a line to the record of the case, with the time in front.
void record(std::string const& line);

struct request
{
    std::string method_;
    std::string path_;
    std::map<std::string, std::string> query_;
    http::request<http::string_body> message_;
    json body() const;
};
using respond_function = std::function<void(unsigned, std::string)>;
using request_handler = std::function<void(request const&, respond_function)>;

std::string to_cbor(json const& value);

/// An HTTP/1.1 server. A handler may answer later.
class server : public std::enable_shared_from_this<server>
{
public:
    server(asio::io_context& context, request_handler handler);
    /// Listens on a free port of 127.0.0.1.
    std::string listen();
    /// Ends the listener and all connections, as a crash does.
    void close();

private:
    class session;
    void accept();

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    request_handler handler_;
    std::set<std::shared_ptr<session>> sessions_;
};

/// The platform's store: the calls log-append, log-read and log-newest.
class store
{
public:
    explicit store(asio::io_context& context) : context_(context) {}
    /// A record of the operator or of a minion; without a value the key goes.
    void put(std::string const& topic, std::string const& key,
             std::optional<std::string> const& value);
    bool serve(request const& call, respond_function const& respond);
    /// The newest value of a key.
    std::optional<std::string> newest(std::string const& topic,
                                      std::string const& key);

private:
    struct entry
    {
        std::string key_;
        std::optional<std::string> value_;
    };
    struct producer
    {
        std::uint64_t epoch_ = 0;
        std::optional<std::uint64_t> sequence_;
        std::deque<std::pair<std::uint64_t, std::string>> answers_;
    };
    struct reader
    {
        std::size_t from_ = 0;
        respond_function respond_;
        bool answered_ = false;
    };
    struct partition
    {
        std::vector<entry> log_;
        std::map<std::string, producer> producers_;
        std::vector<std::shared_ptr<reader>> readers_;
    };
    void append(partition& part, request const& call,
                respond_function const& respond);
    static std::string range(partition const& part, std::size_t from);
    void answer_readers(partition& part);

    asio::io_context& context_;
    std::map<std::string, partition> parts_;
};

/// How long a run works, and how it ends: "done" or "failed".
struct run_plan
{
    std::int64_t work_ms_ = 0;
    std::string end_ = "done";
    /// The members that have to be there for a member of a gang to work.
    unsigned gang_size_ = 0;
    /// The run needs a ticket of the policy service.
    bool needs_ticket_ = false;
};

class platform;

/// One life of a minion.
class minion
{
public:
    minion(platform& owner, std::string id, std::string machine,
           std::string service, std::string rack, std::string kind);
    ~minion();

    std::string const id_;
    std::string const machine_;
    std::string const service_;
    std::vector<std::string> const labels_;
    std::string address_;
    bool alive_ = true;
    /// Cut off from the nodes: no call is answered until then.
    std::int64_t cut_until_ = 0;

    struct run
    {
        std::uint32_t number_ = 0;
        run_plan plan_;
        std::int64_t started_ = 0;
        std::int64_t works_since_ = -1;
    };
    std::map<std::string, run> running_;

    void write_entry();
    /// Ends runs whose work, lease or wait is over.
    void tick();
    void end(std::string const& task, char const* how);
    /// Ends the process: its connections break, its runs are gone.
    void crash();

private:
    void serve(request const& call, respond_function const& respond);
    void start_run(json const& body, respond_function const& respond);
    void stop_run(json const& body, respond_function const& respond);
    void hold(json const& body, respond_function const& respond);
    std::int64_t clock() const;
    json report() const;
    void answer(unsigned status, json body, respond_function const& respond);

    platform& platform_;
    std::shared_ptr<server> server_;
    std::int64_t born_;
    std::uint64_t sequence_ = 0;
    std::int64_t lease_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t last_number_ = 0;
    std::deque<json> finished_;
    /// The highest run of a work item that was stopped or has ended here.
    std::map<std::string, std::uint32_t> over_;
    std::map<std::string, std::pair<std::uint32_t, std::int64_t>> stopping_;
    struct waiting_hold
    {
        std::int64_t until_;
        respond_function respond_;
    };
    std::vector<waiting_hold> waiting_;
};

struct machine
{
    std::string name_;
    std::string pool_;
    std::string rack_;
    std::string state_ = "up";
    std::shared_ptr<minion> minion_;
    std::set<int> upkeeps_;
    std::int64_t up_at_ = 0;
    unsigned lives_ = 0;
};

/// All of the platform, on a thread of its own.
class platform
{
public:
    platform();
    ~platform();

    /// Runs a function on the platform's thread and waits for it.
    void run(std::function<void()> const& function);

    void add_machine(std::string const& name, std::string const& pool,
                     std::string const& rack);
    void put_config(json const& config);
    void put_wave(int number, std::vector<std::string> const& machines,
                  int duration_s, int max_count);
    std::string wave_state(int number);

    std::string const& address() const
    {
        return address_;
    }

    asio::io_context context_;
    store store_;
    std::map<std::string, machine> machines_;
    /// The list of machines is not answered.
    bool machines_silent_ = false;
    /// Decides how a run goes; set by the case.
    std::function<run_plan(minion&, std::string const& task, std::uint32_t)>
        plan_;
    /// Told of each start that is carried out, and of each end.
    std::function<void(minion&, std::string const&, std::uint32_t)> on_start_;
    std::function<void(minion&, std::string const&, std::uint32_t,
                       std::string const&)>
        on_end_;
    /// Starts that were rejected, by reason.
    std::map<std::string, unsigned> rejected_;
    /// Tickets that were given out: step and minion.
    std::set<std::pair<std::string, std::string>> tickets_;
    std::int64_t hold_max_ms_ = 10'000;
    std::int64_t gang_wait_ms_ = 3'000;
    std::int64_t heartbeat_ms_ = 1'500;

private:
    friend class minion;
    void serve(request const& call, respond_function const& respond);
    void start_minion(machine& on);
    void order(request const& call, respond_function const& respond);
    void tick();

    std::shared_ptr<server> server_;
    std::string address_;
    asio::steady_timer timer_;
    std::int64_t next_beat_ = 0;
    std::vector<std::pair<std::int64_t, std::function<void()>>> later_;
    std::vector<std::shared_ptr<minion>> graveyard_;
    std::thread thread_;
};

/// What a client got: status 0 if there was no answer.
struct answer
{
    unsigned status_ = 0;
    json body_;
};

/// The nodes of the system, as processes.
class nodes
{
public:
    nodes(std::string program, std::string folder, std::string platform,
          unsigned count);
    ~nodes();
    bool wait_ready(std::int64_t limit_ms);
    /// One try at one node.
    answer call(unsigned node, std::string const& method,
                std::string const& path, std::string const& body = "",
                std::int64_t limit_ms = 3000);
    /// Hands a job in; repeats with the same id until it is accepted.
    bool submit(std::string const& path, json const& job);
    /// The state that some node shows; empty if none answers.
    std::string state(std::string const& path);
    void kill(unsigned node, int signal);
    /// Memory of a node's process, in megabytes.
    double memory_mb(unsigned node) const;
    /// Starts the node's process again after it was killed.
    void restart(unsigned node);
    /// The node that serves the newest epoch, by the logs.
    unsigned owner() const;
    unsigned count() const
    {
        return static_cast<unsigned>(pids_.size());
    }

    std::string host_ = "queue.example";

private:
    void start(unsigned node);

    std::string program_;
    std::string folder_;
    std::vector<int> pids_;
    std::vector<std::string> clients_;
    std::vector<std::string> health_;
};

void sleep_ms(std::int64_t time);

} // namespace review

#endif
