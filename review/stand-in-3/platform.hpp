#ifndef REVIEW_STAND_IN_3_PLATFORM_HPP
#define REVIEW_STAND_IN_3_PLATFORM_HPP

#include "record.hpp"
#include "store.hpp"

#include <future>
#include <set>
#include <sstream>
#include <thread>

namespace review
{

/// How a work item behaves, as its job's `spec` says: `done 800` and
/// `fail 300` end after so many milliseconds, `last` runs until it is stopped.
/// `bulk 100` is as `done 100`, without lines in the record.
struct behaviour
{
    std::string how_ = "done";
    milliseconds time_{0};

    static behaviour read(std::string const& spec)
    {
        std::istringstream in(spec);
        behaviour result;
        long time = 0;
        in >> result.how_ >> time;
        result.time_ = milliseconds{time};
        return result;
    }
};

/// A span in which a work item was at work on a minion.
struct run_span
{
    std::string task_;
    int run_ = 0;
    std::string minion_;
    time_point began_;
    time_point ended_ = time_point::max();
    std::string how_;
};

/// The tickets of the service for advice, and until when they are valid: by
/// step, then by minion.
using ticket_book = std::map<std::string, std::map<std::string, time_point>>;

/// One machine and the minion that lives on it at present.
class machine
{
public:
    machine(asio::io_context& io, store& kept, record_file& record,
            std::vector<run_span>& spans, ticket_book const& tickets,
            std::string name, std::string pool, std::string zone,
            std::string rack)
        : io_(io), store_(kept), record_(record), spans_(spans),
          tickets_(tickets), name_(std::move(name)), pool_(std::move(pool)),
          zone_(std::move(zone)), rack_(std::move(rack)),
          server_(io, [this](request const& call, responder respond)
                  { serve(call, std::move(respond)); }),
          beat_(io), timer_(io)
    {
        server_.open(0);
        begin_life();
    }

    std::string const& name() const
    {
        return name_;
    }
    std::string const& id() const
    {
        return id_;
    }
    std::string const& pool() const
    {
        return pool_;
    }
    std::string const& rack() const
    {
        return rack_;
    }
    bool up() const
    {
        return state_ == "up";
    }
    bool runs(std::string const& task) const
    {
        return running_.count(task) != 0;
    }
    double cores_in_use() const
    {
        return static_cast<double>(running_.size());
    }

    /// The minion crashes 50 ms after it has received the next order to start a
    /// work item of that job, and before it has begun. Empty: it doesn't.
    void crash_at_order(std::string const& job, milliseconds down)
    {
        fatal_job_ = job;
        fatal_down_ = down;
    }
    /// The minion crashes; another one comes up on the machine after `down`.
    void crash(milliseconds down)
    {
        record_.write("minion " + id_ + " on " + name_ + " crashes");
        end_life("lost", "down", false);
        revive_after(down);
    }
    void move(std::string const& pool)
    {
        record_.write("machine " + name_ + " moves to " + pool);
        end_life("ended by a move", "moving", true);
        pool_ = pool;
        revive_after(milliseconds{1500});
    }
    void upkeep()
    {
        record_.write("machine " + name_ + " begins its upkeep");
        end_life("ended by an upkeep", "upkeep", true);
        revive_after(milliseconds{2000});
    }

    json listed() const
    {
        json entry = {
            {"machine", name_},       {"pool", pool_},
            {"state", state_},        {"zone", zone_},
            {"labels", {"a", rack_}}, {"available_resources", resources()}};
        if (up())
        {
            entry["id"] = id_;
        }
        return entry;
    }

private:
    struct run
    {
        int number_ = 0;
        behaviour how_;
        time_point began_;
        std::size_t span_ = 0;
        bool stopping_ = false;
        time_point stops_;
    };
    struct end
    {
        std::uint64_t number_ = 0;
        std::string task_;
        int run_ = 0;
        std::string how_;
    };
    struct waiter
    {
        responder respond_;
        time_point until_;
    };

    static json resources()
    {
        return {{"cpu", 16000}, {"mem_mb", 65536}, {"gpu", 0}};
    }
    long long clock_now() const
    {
        return clock_offset_ + ms(clock_type::now() - born_);
    }

    void begin_life()
    {
        static int lives = 0;
        std::ostringstream id;
        id << "i-" << std::hex << 0x7f3a0000 + ++lives;
        id_ = id.str();
        born_ = clock_type::now();
        clock_offset_ = 60'000 + 1000 * lives;
        sequence_ = 0;
        token_ = 0;
        lease_until_ = 0;
        ends_.clear();
        last_end_ = 0;
        highest_run_.clear();
        state_ = "up";
        register_minion();
        tick();
    }
    void end_life(std::string const& how, std::string const& state,
                  bool planned)
    {
        ++life_;
        for (auto const& each : running_)
        {
            close_span(each.second, how);
        }
        running_.clear();
        waiters_.clear();
        server_.close();
        beat_.cancel();
        timer_.cancel();
        state_ = state;
        // Without a report the entry lapses after three intervals.
        auto const lapse = std::make_shared<asio::steady_timer>(
            io_, milliseconds{planned ? 0 : 4500});
        lapse->async_wait([this, lapse, id = id_](error_code)
                          { store_.drop("keyed.servers", id); });
    }
    void revive_after(milliseconds time)
    {
        auto const timer = std::make_shared<asio::steady_timer>(io_, time);
        timer->async_wait(
            [this, timer](error_code)
            {
                server_.open(server_.port());
                begin_life();
                record_.write("minion " + id_ + " comes up on " + name_);
            });
    }
    void register_minion()
    {
        store_.put("keyed.servers", id_,
                   to_body({{"service", pool_},
                            {"address", server_.address()},
                            {"machine", name_},
                            {"zone", zone_},
                            {"version", "v1"},
                            {"capacity", 8},
                            {"state", "ready"},
                            {"cold_remaining_ms", 0},
                            {"available_resources", resources()},
                            {"labels", {"a", rack_}},
                            {"clock_ms", clock_now()},
                            {"sequence", ++sequence_}}));
        beat_.expires_after(milliseconds{1500});
        beat_.async_wait(
            [this](error_code error)
            {
                if (!error && up())
                {
                    register_minion();
                }
            });
    }

    void close_span(run const& ended, std::string const& how)
    {
        if (ended.how_.how_ == "bulk")
        {
            return;
        }
        auto& span = spans_[ended.span_];
        span.ended_ = clock_type::now();
        span.how_ = how;
        record_.write("run " + span.task_ + " #" + std::to_string(span.run_) +
                      " on " + span.minion_ + ": " + how);
    }
    void end_run(std::string const& task, std::string const& how)
    {
        auto const found = running_.find(task);
        close_span(found->second, how);
        auto& highest = highest_run_[task];
        highest = std::max(highest, found->second.number_);
        ends_.push_back({++last_end_, task, found->second.number_, how});
        running_.erase(found);
    }
    /// Ends what is due.
    void advance()
    {
        auto const now = clock_type::now();
        if (now - advanced_ < milliseconds{5})
        {
            return;
        }
        advanced_ = now;
        bool const lapsed = clock_now() >= lease_until_;
        std::vector<std::pair<std::string, std::string>> due;
        for (auto const& each : running_)
        {
            auto const& it = each.second;
            bool const over =
                it.how_.how_ != "last" && now - it.began_ >= it.how_.time_;
            if (over)
            {
                due.emplace_back(each.first,
                                 it.how_.how_ == "fail" ? "failed" : "done");
            }
            else if (it.stopping_ && now >= it.stops_)
            {
                due.emplace_back(each.first, "stopped");
            }
            else if (lapsed)
            {
                due.emplace_back(each.first, "lapsed");
            }
        }
        for (auto const& each : due)
        {
            end_run(each.first, each.second);
        }
    }
    void tick()
    {
        advance();
        auto const now = clock_type::now();
        for (auto place = waiters_.begin(); place != waiters_.end();)
        {
            if (ends_.empty() && now < place->until_)
            {
                ++place;
                continue;
            }
            place->respond_({200, to_body(report())});
            place = waiters_.erase(place);
        }
        timer_.expires_after(milliseconds{5});
        timer_.async_wait(
            [this](error_code error)
            {
                if (!error && up())
                {
                    tick();
                }
            });
    }

    json report() const
    {
        auto running = json::array();
        for (auto const& each : running_)
        {
            auto const& it = each.second;
            auto const age = ms(clock_type::now() - it.began_);
            long long const percent =
                it.how_.how_ == "last"
                    ? (age >= 300 ? 100 : age / 3)
                    : std::min<long long>(
                          99,
                          100 * age /
                              std::max<long long>(1, it.how_.time_.count()));
            running.push_back({each.first, it.number_, "", percent, 0});
        }
        auto finished = json::array();
        for (auto const& each : ends_)
        {
            if (finished.size() < 500)
            {
                finished.push_back(
                    {each.number_, each.task_, each.run_, each.how_, ""});
            }
        }
        return {{"clock_ms", clock_now()},
                {"running", running},
                {"finished", finished}};
    }
    void refuse(responder const& respond, char const* reason) const
    {
        respond(
            {409, to_body({{"clock_ms", clock_now()}, {"reason", reason}})});
    }
    void extend(long long until)
    {
        constexpr long long longest = 10'000;
        lease_until_ =
            std::max(lease_until_, std::min(until, clock_now() + longest));
    }

    void serve(request const& call, responder respond)
    {
        if (call.target_ == "/health")
        {
            respond({200, ""});
            return;
        }
        auto const target = call.fields_.find("target-instance");
        if (target == call.fields_.end() || target->second != id_)
        {
            respond({421, to_body(json::object())});
            return;
        }
        auto const body = from_body(call.body_);
        auto const token = body.value("fencing_token", std::uint64_t{0});
        advance();
        if (token < token_)
        {
            refuse(respond, "fence");
            return;
        }
        token_ = token;
        if (call.target_ == "/api/hold")
        {
            hold(body, std::move(respond));
        }
        else if (call.target_ == "/api/run-start")
        {
            start(body, respond);
        }
        else if (call.target_ == "/api/run-stop")
        {
            stop(body, respond);
        }
        else
        {
            respond({404, ""});
        }
    }
    void hold(json const& body, responder respond)
    {
        auto const acked = body.value("last_acked", std::uint64_t{0});
        while (!ends_.empty() && ends_.front().number_ <= acked)
        {
            ends_.pop_front();
        }
        if (body.contains("deadline_ms"))
        {
            extend(body["deadline_ms"].get<long long>());
        }
        auto const wait = body.value("wait_ms", 0LL);
        if (wait == 0 || !ends_.empty())
        {
            respond({200, to_body(report())});
            return;
        }
        waiters_.push_back(
            {std::move(respond),
             clock_type::now() + milliseconds{std::min(wait, 2000LL)}});
    }
    void start(json const& body, responder const& respond)
    {
        auto const task = body.at("task").get<std::string>();
        auto const number = body.at("run").get<int>();
        auto const until = body.at("deadline_ms").get<long long>();
        auto const present = running_.find(task);
        if (present != running_.end() && present->second.number_ == number)
        {
            respond({200, to_body({{"clock_ms", clock_now()}})});
            return;
        }
        auto const highest = highest_run_.find(task);
        if (present != running_.end() ||
            (highest != highest_run_.end() && number <= highest->second))
        {
            extend(until);
            refuse(respond, "old");
            return;
        }
        if (until <= clock_now())
        {
            refuse(respond, "late");
            return;
        }
        auto const advised = tickets_.find(task.substr(0, task.rfind('.')));
        if (advised != tickets_.end())
        {
            auto const mine = advised->second.find(id_);
            if (mine == advised->second.end() ||
                body.value("ticket", "") != "t-" + id_ ||
                clock_type::now() > mine->second)
            {
                refuse(respond, "ticket");
                return;
            }
        }
        if (!fatal_job_.empty() && task.rfind(fatal_job_, 0) == 0)
        {
            record_.write("order to start " + task + " #" +
                          std::to_string(number) + " on " + id_ +
                          ": received, not begun");
            auto const timer =
                std::make_shared<asio::steady_timer>(io_, milliseconds{50});
            timer->async_wait(
                [this, timer, life = life_](error_code)
                {
                    if (life == life_)
                    {
                        crash(fatal_down_);
                    }
                });
            return;
        }
        extend(until);
        run fresh;
        fresh.number_ = number;
        fresh.how_ = behaviour::read(body.at("spec").get<std::string>());
        fresh.began_ = clock_type::now();
        if (fresh.how_.how_ != "bulk")
        {
            fresh.span_ = spans_.size();
            spans_.push_back(
                {task, number, id_, fresh.began_, time_point::max(), ""});
            record_.write("run " + task + " #" + std::to_string(number) +
                          " on " + id_ + " (" + name_ + ", " + pool_ +
                          "): begins");
        }
        running_[task] = fresh;
        respond({200, to_body({{"clock_ms", clock_now()}})});
    }
    void stop(json const& body, responder const& respond)
    {
        auto const task = body.at("task").get<std::string>();
        auto const number = body.at("run").get<int>();
        auto& highest = highest_run_[task];
        highest = std::max(highest, number);
        auto const found = running_.find(task);
        if (found != running_.end() && found->second.number_ == number &&
            !found->second.stopping_)
        {
            found->second.stopping_ = true;
            found->second.stops_ = clock_type::now() + milliseconds{50};
        }
        respond({200, to_body({{"clock_ms", clock_now()}})});
    }

    asio::io_context& io_;
    store& store_;
    record_file& record_;
    std::vector<run_span>& spans_;
    ticket_book const& tickets_;
    std::string name_;
    std::string pool_;
    std::string zone_;
    std::string rack_;
    std::string id_;
    std::string state_ = "up";
    server server_;
    asio::steady_timer beat_;
    asio::steady_timer timer_;
    int life_ = 0;
    std::string fatal_job_;
    milliseconds fatal_down_{0};
    time_point born_;
    time_point advanced_;
    long long clock_offset_ = 0;
    long long sequence_ = 0;
    std::uint64_t token_ = 0;
    long long lease_until_ = 0;
    std::map<std::string, run> running_;
    std::map<std::string, int> highest_run_;
    std::deque<end> ends_;
    std::uint64_t last_end_ = 0;
    std::vector<waiter> waiters_;
};

/// The platform: store, machines, their minions and the calls on machines. It
/// runs on a thread of its own.
class platform
{
public:
    explicit platform(record_file& record)
        : record_(record), store_(io_),
          store_server_(io_, [this](request const& call, responder respond)
                        { store_.serve(call, std::move(respond)); }),
          cloud_(io_, [this](request const& call, responder respond)
                 { serve_cloud(call, respond); }),
          advice_(io_, [this](request const& call, responder respond)
                  { advise(call, respond); }),
          work_(asio::make_work_guard(io_))
    {
        store_server_.open(0);
        cloud_.open(0);
        advice_.open(0);
    }
    ~platform()
    {
        io_.stop();
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    /// @param rack_size machines a rack
    void add_pool(std::string const& pool, int machines, int rack_size)
    {
        static std::vector<std::string> const zones = {
            "walu-hall", "nabua-hall", "lami-hall"};
        int const first = static_cast<int>(machines_.size());
        int const pool_number = pools_++;
        for (int i = 0; i < machines; ++i)
        {
            char name[32];
            std::snprintf(name, sizeof name, "m-%05x", 0x1000 + first + i);
            machines_.push_back(std::make_unique<machine>(
                io_, store_, record_, spans_, tickets_, name, pool,
                zones[i % 3],
                "r" + std::to_string(pool_number + 1) + "-" +
                    std::to_string(i / rack_size + 1)));
        }
    }
    void set_config(json const& config)
    {
        store_.put("keyed.op", "config", to_body(config));
    }
    void start()
    {
        thread_ = std::thread([this] { io_.run(); });
    }
    /// Runs a function on the platform's thread and waits for its result.
    template <class Function>
    auto on_thread(Function function) -> decltype(function())
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(io_, [&task] { task(); });
        return result.get();
    }

    asio::io_context& io()
    {
        return io_;
    }
    store& records()
    {
        return store_;
    }
    std::vector<std::unique_ptr<machine>>& machines()
    {
        return machines_;
    }
    /// All runs so far; use on the platform's thread.
    std::vector<run_span> const& spans() const
    {
        return spans_;
    }
    std::string store_address() const
    {
        return store_server_.address();
    }
    std::string cloud_address() const
    {
        return cloud_.address();
    }
    std::string advice_address() const
    {
        return advice_.address();
    }
    /// The times of the service for advice; before `start()`.
    void set_advice(milliseconds decision, milliseconds per_item,
                    milliseconds validity)
    {
        decision_ = decision;
        per_item_ = per_item;
        validity_ = validity;
    }

private:
    /// Allows all minions. Calls are handled one at a time, in turn: only one
    /// machine calls, the owner of the jobs.
    void advise(request const& call, responder const& respond)
    {
        if (waiting_advice_ >= 32)
        {
            respond({429, to_body(json::object())});
            return;
        }
        auto const body = from_body(call.body_);
        auto const step = body.at("step").get<std::string>();
        auto const workers = body.at("workers").get<std::vector<std::string>>();
        advice_free_ = std::max(advice_free_, clock_type::now()) + decision_ +
                       per_item_ * static_cast<int>(workers.size());
        ++waiting_advice_;
        auto const timer =
            std::make_shared<asio::steady_timer>(io_, advice_free_);
        timer->async_wait(
            [this, timer, step, workers, respond](error_code)
            {
                --waiting_advice_;
                auto allowed = json::array();
                for (auto const& id : workers)
                {
                    allowed.push_back({id, "t-" + id});
                    tickets_[step][id] = clock_type::now() + validity_;
                }
                record_.write("advice on " + step + ": " +
                              std::to_string(workers.size()) +
                              " minions are allowed");
                respond({200, to_body({{"allowed", allowed},
                                       {"validity_ms", validity_.count()}})});
            });
    }

    void serve_cloud(request const& call, responder const& respond)
    {
        if (call.method_ == "GET")
        {
            auto list = json::array();
            for (auto const& each : machines_)
            {
                list.push_back(each->listed());
            }
            respond({200, to_body({{"machines", list},
                                   {"next_page_token", nullptr}})});
            return;
        }
        auto const body = from_body(call.body_);
        auto const name = body.value("machine", "");
        auto const found = std::find_if(machines_.begin(), machines_.end(),
                                        [&](auto const& each)
                                        { return each->name() == name; });
        if (found == machines_.end())
        {
            respond({400, to_body(json::object())});
            return;
        }
        auto& target = **found;
        bool const is_move = call.target_ == "/api/machine-move";
        if (is_move && target.up() && target.pool() == body.value("pool", ""))
        {
            respond({200, to_body(json::object())});
            return;
        }
        if (!target.up())
        {
            respond({409, to_body({{"reason", "busy"}})});
            return;
        }
        if (is_move)
        {
            target.move(body.value("pool", ""));
        }
        else
        {
            target.upkeep();
        }
        respond({200, to_body(json::object())});
    }

    record_file& record_;
    asio::io_context io_;
    store store_;
    server store_server_;
    server cloud_;
    server advice_;
    milliseconds decision_{100};
    milliseconds per_item_{10};
    milliseconds validity_{3000};
    time_point advice_free_{};
    int waiting_advice_ = 0;
    ticket_book tickets_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::vector<run_span> spans_;
    int pools_ = 0;
    std::thread thread_;
};

} // namespace review

#endif
