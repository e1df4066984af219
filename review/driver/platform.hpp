// Stand-in of the users' platform: the store (a log), the list of machines and
// the minions. It behaves like a sound platform; a case may cut a minion off.
#ifndef REVIEW_PLATFORM_HPP
#define REVIEW_PLATFORM_HPP

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review
{

using nlohmann::json;

inline std::string to_cbor(json const& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

/// The case's record: what was sent, answered and run.
class record_file
{
public:
    explicit record_file(std::string const& path) : out_(path) {}
    double seconds() const
    {
        return std::chrono::duration<double>(clock_type::now() - begin_)
            .count();
    }
    void write(std::string const& line)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds());
        out_ << time << line << '\n';
        out_.flush();
    }

private:
    std::ofstream out_;
    clock_type::time_point begin_ = clock_type::now();
};

struct step_plan
{
    std::uint32_t count_ = 1;
    int work_ms_ = 500;
    int cpu_ = 1000;
    bool gang_ = false;
    std::vector<std::uint32_t> after_;
    /// The client's rough estimate; 0: the true time.
    int estimate_ms_ = 0;
    /// A label that the minion must have.
    std::string requirements_;
    /// The last work item takes this much longer than the first, and those
    /// between them in proportion.
    int spread_ms_ = 0;
    /// Runs until the job is cancelled; how many of them may be unavailable.
    bool long_running_ = false;
    int max_unavailable_ = 0;
};

struct job_plan
{
    std::string id_;
    std::vector<step_plan> steps_;
    std::uint32_t repeat_ = 0;
    std::int64_t first_run_ms_ = 0;
    std::int64_t interval_ms_ = 0;
    bool checkpointing_ = false;

    std::string body() const
    {
        auto steps = json::array();
        for (auto const& step : steps_)
        {
            json row = {{"count", step.count_},
                        {"cpu", step.cpu_},
                        {"mem_mb", 1},
                        {"estimate_ms", step.estimate_ms_ != 0
                                            ? step.estimate_ms_
                                            : step.work_ms_}};
            if (!step.requirements_.empty())
            {
                row["requirements"] = step.requirements_;
            }
            if (step.gang_)
            {
                row["gang"] = true;
            }
            if (step.long_running_)
            {
                row["long_running"] = true;
                row["max_unavailable"] = step.max_unavailable_;
            }
            if (!step.after_.empty())
            {
                row["depends_on"] = step.after_;
            }
            steps.push_back(row);
        }
        json job = {{"spec", "job " + id_}, {"steps", steps}};
        if (repeat_ != 0)
        {
            job["repeat_count"] = repeat_;
            job["first_run_ms"] = first_run_ms_;
            job["interval_ms"] = interval_ms_;
        }
        return to_cbor(job);
    }
};

/// The limits of the pages, as `platform` and `bounds` of the settings state
/// them for a small deployment.
struct limits
{
    std::size_t record_bytes_ = 262'144;
    std::size_t request_bytes_ = 2'097'152;
    milliseconds append_time_{3};
    milliseconds answer_time_{1};
    int writes_per_s_ = 600;
    int reads_per_s_ = 2000;
    int hold_max_ms_ = 10'000;
    int stop_grace_ms_ = 200;
    int gang_wait_ms_ = 3000;
    int heartbeat_ms_ = 1500;
    int maintenance_ms_ = 2000;
};

class store
{
public:
    store(asio::io_context& context, record_file& record, limits bounds)
        : context_(context), record_(record), bounds_(bounds)
    {
    }

    bool serve(request const& message, responder respond)
    {
        std::string const target(message.target());
        auto const mark = target.find('?');
        auto const path = target.substr(0, mark);
        if (path.rfind("/api/log-", 0) != 0)
        {
            return false;
        }
        auto const query = mark == std::string::npos
                               ? std::map<std::string, std::string>{}
                               : parse(target.substr(mark + 1));
        auto const topic = text(query, "topic");
        if (path == "/api/log-append")
        {
            append(topic, query, message.body(), std::move(respond));
        }
        else if (path == "/api/log-read")
        {
            read(topic, number(query, "from"), number(query, "wait_ms"),
                 std::move(respond));
        }
        else if (path == "/api/log-newest")
        {
            newest(topic, decode(text(query, "depends_on")),
                   std::move(respond));
        }
        else
        {
            respond({404, "", "text/plain"});
        }
        return true;
    }

    /// Written by the operator or a minion.
    void put(std::string const& topic, std::string const& key,
             std::string const& value)
    {
        add(topics_[topic], key, value);
    }

    /// Appends that the store refused because a record or a call is too large.
    int too_large_ = 0;

private:
    struct row
    {
        std::string key_;
        std::string value_;
    };
    struct answered
    {
        std::uint64_t sequence_ = 0;
        json answer_;
    };
    struct producer
    {
        std::uint64_t epoch_ = 0;
        std::uint64_t sequence_ = 0;
        std::vector<answered> recent_;
    };
    struct partition
    {
        std::vector<row> log_;
        std::map<std::string, std::uint64_t> newest_;
        std::map<std::string, producer> producers_;
        std::vector<std::shared_ptr<asio::steady_timer>> waiting_;
        clock_type::time_point busy_until_{};
    };

    static std::map<std::string, std::string> parse(std::string const& text)
    {
        std::map<std::string, std::string> result;
        std::size_t at = 0;
        while (at < text.size())
        {
            auto const end = std::min(text.find('&', at), text.size());
            auto const equals = text.find('=', at);
            if (equals < end)
            {
                result[text.substr(at, equals - at)] =
                    text.substr(equals + 1, end - equals - 1);
            }
            at = end + 1;
        }
        return result;
    }
    static std::string decode(std::string const& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            if (text[i] == '%' && i + 2 < text.size())
            {
                result += static_cast<char>(
                    std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else
            {
                result += text[i];
            }
        }
        return result;
    }
    static std::string text(std::map<std::string, std::string> const& query,
                            char const* name)
    {
        auto const found = query.find(name);
        return found == query.end() ? "" : found->second;
    }
    static std::uint64_t number(std::map<std::string, std::string> const& query,
                                char const* name)
    {
        auto const value = text(query, name);
        return value.empty() ? 0 : std::stoull(value);
    }
    static void add_number(std::string& to, std::uint64_t value, int bytes)
    {
        for (int i = bytes - 1; i >= 0; --i)
        {
            to += static_cast<char>(value >> (8 * i) & 0xff);
        }
    }
    static std::string base64(std::string const& bytes)
    {
        static char const* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                          "abcdefghijklmnopqrstuvwxyz"
                                          "0123456789+/";
        std::string result;
        result.reserve(bytes.size() * 4 / 3 + 4);
        std::size_t i = 0;
        for (; i + 2 < bytes.size(); i += 3)
        {
            auto const three = byte(bytes, i) << 16 | byte(bytes, i + 1) << 8 |
                               byte(bytes, i + 2);
            for (int shift = 18; shift >= 0; shift -= 6)
            {
                result += digits[three >> shift & 63];
            }
        }
        if (i + 1 == bytes.size())
        {
            result += digits[byte(bytes, i) >> 2];
            result += digits[(byte(bytes, i) & 3) << 4];
            result += "==";
        }
        else if (i + 2 == bytes.size())
        {
            auto const two = byte(bytes, i) << 8 | byte(bytes, i + 1);
            result += digits[two >> 10];
            result += digits[two >> 4 & 63];
            result += digits[(two & 15) << 2];
            result += '=';
        }
        return result;
    }
    static unsigned byte(std::string const& bytes, std::size_t at)
    {
        return static_cast<unsigned char>(bytes[at]);
    }

    void later(milliseconds pause, std::function<void()> run)
    {
        auto const timer =
            std::make_shared<asio::steady_timer>(context_, pause);
        timer->async_wait([timer, run = std::move(run)](beast::error_code)
                          { run(); });
    }
    void answer_later(milliseconds pause, responder respond, reply answer)
    {
        later(pause, [respond = std::move(respond), answer = std::move(answer)]
              { respond(answer); });
    }
    /// Counts a call; false if the rate is exceeded.
    bool count(int& calls, int limit)
    {
        auto const second = static_cast<std::int64_t>(record_.seconds());
        if (second != second_)
        {
            second_ = second;
            writes_ = 0;
            reads_ = 0;
        }
        return ++calls <= limit;
    }

    void add(partition& part, std::string const& key, std::string const& value)
    {
        part.log_.push_back({key, value});
        if (value.empty())
        {
            part.newest_.erase(key);
        }
        else
        {
            part.newest_[key] = part.log_.size() - 1;
        }
        for (auto const& timer : std::exchange(part.waiting_, {}))
        {
            timer->cancel();
        }
    }

    void append(std::string const& topic,
                std::map<std::string, std::string> const& query,
                std::string const& body, responder respond)
    {
        if (!count(writes_, bounds_.writes_per_s_))
        {
            respond({429, to_cbor(json::object())});
            return;
        }
        if (topic == "keyed.op" || topic == "keyed.servers")
        {
            respond({403, to_cbor(json::object())});
            return;
        }
        auto& part = topics_[topic];
        auto const finish = [&](unsigned status, json const& answer)
        {
            part.busy_until_ = std::max(part.busy_until_, clock_type::now()) +
                               bounds_.append_time_;
            auto const pause = std::chrono::ceil<milliseconds>(
                part.busy_until_ - clock_type::now());
            answer_later(pause + bounds_.answer_time_, std::move(respond),
                         {status, to_cbor(answer)});
        };
        std::vector<row> rows;
        std::size_t largest = 0;
        for (std::size_t at = 0; at + 4 <= body.size();)
        {
            std::size_t const size =
                static_cast<std::size_t>(byte(body, at)) << 24 |
                byte(body, at + 1) << 16 | byte(body, at + 2) << 8 |
                byte(body, at + 3);
            at += 4;
            if (size == 0 || at + size > body.size())
            {
                finish(400, json::object());
                return;
            }
            std::size_t const key = byte(body, at);
            if (key + 1 > size)
            {
                finish(400, json::object());
                return;
            }
            rows.push_back({body.substr(at + 1, key),
                            body.substr(at + 1 + key, size - key - 1)});
            largest = std::max(largest, size);
            at += size;
        }
        if (largest > bounds_.record_bytes_ ||
            body.size() > bounds_.request_bytes_)
        {
            if (too_large_++ % 20 == 0)
            {
                record_.write("store: append refused (413), largest record " +
                              std::to_string(largest) + " bytes, refused " +
                              std::to_string(too_large_) + " times");
            }
            finish(413, {{"reason", "too_large"}});
            return;
        }
        auto const name = text(query, "producer");
        if (!name.empty())
        {
            auto& known = part.producers_[name];
            auto const epoch = number(query, "epoch");
            auto const sequence = number(query, "sequence");
            if (epoch < known.epoch_)
            {
                finish(409, {{"reason", "fenced"}});
                return;
            }
            if (epoch > known.epoch_)
            {
                record_.write("store: " + topic + " epoch " +
                              std::to_string(epoch));
                known = {};
                known.epoch_ = epoch;
            }
            if (sequence != 0)
            {
                for (auto const& earlier : known.recent_)
                {
                    if (earlier.sequence_ == sequence)
                    {
                        finish(200, earlier.answer_);
                        return;
                    }
                }
                if (known.sequence_ != 0 && sequence != known.sequence_ + 1)
                {
                    finish(409, {{"reason", "seq"},
                                 {"sequence", known.sequence_ + 1}});
                    return;
                }
            }
            auto const answer = store_rows(part, rows);
            if (sequence != 0)
            {
                known.sequence_ = sequence;
                known.recent_.push_back({sequence, answer});
                if (known.recent_.size() > 5)
                {
                    known.recent_.erase(known.recent_.begin());
                }
            }
            finish(200, answer);
            return;
        }
        finish(200, store_rows(part, rows));
    }

    json store_rows(partition& part, std::vector<row> const& rows)
    {
        auto const offset = part.log_.size();
        for (auto const& each : rows)
        {
            add(part, each.key_, each.value_);
        }
        return {{"offset", offset}, {"end_offset", part.log_.size()}};
    }

    void read(std::string const& topic, std::uint64_t from,
              std::uint64_t wait_ms, responder respond)
    {
        if (!count(reads_, bounds_.reads_per_s_))
        {
            respond({429, to_cbor(json::object())});
            return;
        }
        auto& part = topics_[topic];
        if (from < part.log_.size() || wait_ms == 0)
        {
            answer_later(bounds_.answer_time_, std::move(respond),
                         range(part, from));
            return;
        }
        auto const timer = std::make_shared<asio::steady_timer>(
            context_, milliseconds{wait_ms});
        part.waiting_.push_back(timer);
        timer->async_wait([this, topic, from, respond = std::move(respond),
                           timer](beast::error_code)
                          { respond(range(topics_[topic], from)); });
    }

    static reply range(partition const& part, std::uint64_t from)
    {
        std::string body;
        add_number(body, part.log_.size(), 8);
        add_number(body, 0, 8);
        for (auto i = from; i < part.log_.size() && body.size() < 1024 * 1024;
             ++i)
        {
            auto const& each = part.log_[i];
            add_number(body, 1 + each.key_.size() + each.value_.size(), 4);
            add_number(body, each.key_.size(), 1);
            body += each.key_;
            body += each.value_;
        }
        return {200, body, "application/octet-stream"};
    }

    void newest(std::string const& topic, std::string const& after,
                responder respond)
    {
        if (!count(reads_, bounds_.reads_per_s_))
        {
            respond({429, to_cbor(json::object())});
            return;
        }
        auto const& part = topics_[topic];
        auto items = json::array();
        std::size_t size = 0;
        bool more = false;
        for (auto place = after.empty() ? part.newest_.begin()
                                        : part.newest_.upper_bound(after);
             place != part.newest_.end(); ++place)
        {
            auto const& value = part.log_[place->second].value_;
            if (items.size() == 500 ||
                (size != 0 && size + value.size() > 1024 * 1024))
            {
                more = true;
                break;
            }
            size += value.size();
            items.push_back({{"key", place->first},
                             {"value", base64(value)},
                             {"offset", place->second}});
        }
        answer_later(bounds_.answer_time_, std::move(respond),
                     {200, to_cbor({{"items", items},
                                    {"has_more", more},
                                    {"end_offset", part.log_.size()}})});
    }

    asio::io_context& context_;
    record_file& record_;
    limits bounds_;
    std::map<std::string, partition> topics_;
    std::int64_t second_ = -1;
    int writes_ = 0;
    int reads_ = 0;
};

struct run_state
{
    std::string task_;
    std::uint32_t run_ = 0;
    std::string checkpoint_;
    clock_type::time_point arrived_{};
    /// When its work began; members of a gang begin together.
    std::optional<clock_type::time_point> began_;
    int work_ms_ = 0;
    int cpu_ = 0;
    std::string gang_; ///< job, occurrence, step and run; empty: no gang
    std::uint32_t gang_size_ = 0;
    bool stopping_ = false;
    bool long_running_ = false;
};

class platform;

class minion
{
public:
    minion(platform& owner, std::string id, std::string machine);

    void serve(request const& message, responder respond);
    void end(std::string const& key, char const* how);
    void tick();
    std::int64_t clock() const;
    std::string entry();

    platform& owner_;
    std::string id_;
    std::string machine_;
    std::uint16_t port_ = 0;
    /// Calls arrive, but neither calls nor answers pass.
    bool cut_ = false;
    /// The minion has ended, with all that ran there, and is silent.
    void leave();
    /// A new minion runs on the machine.
    void begin(std::string id);
    bool is_gone() const
    {
        return gone_;
    }
    /// The machine has its upkeep.
    bool in_upkeep_ = false;
    std::map<std::string, run_state> running_; ///< by task and run
    std::unique_ptr<server> server_;

private:
    struct ended
    {
        std::uint64_t number_;
        std::string task_;
        std::uint32_t run_;
        std::string how_;
        /// The lease lapsed before the end was taken note of.
        bool lapsed_;
    };
    struct holder
    {
        responder respond_;
        clock_type::time_point until_;
    };

    void take_deadline(json const& body);
    void answer(responder const& respond, unsigned status, json body);
    json report() const;
    void wake();

    bool gone_ = false;
    clock_type::time_point born_ = clock_type::now();
    std::uint64_t token_ = 0;
    std::int64_t lease_ = 0;
    std::uint64_t next_end_ = 1;
    std::deque<ended> ends_;
    std::map<std::string, std::uint32_t> highest_ended_;
    std::vector<holder> holders_;
    std::uint64_t sequence_ = 0;
};

class platform
{
public:
    platform(asio::io_context& context, record_file& record, int minions)
        : context_(context), record_(record), store_(context, record, bounds_),
          server_(context, [this](request const& message, responder respond)
                  { serve(message, std::move(respond)); }),
          timer_(context)
    {
        port_ = server_.listen();
        for (int i = 0; i < minions; ++i)
        {
            char id[16];
            std::snprintf(id, sizeof id, "i-7f3a%04x", 0x10 + 7 * i);
            minions_.push_back(std::make_unique<minion>(
                *this, id, "m-0a3f" + std::to_string(i)));
        }
        register_all();
        tick();
    }

    /// @param slo_ms what a job may take beyond its work to be on time
    void put_config(int slo_ms)
    {
        json const route = {
            {"name", "r-5xwyhks"},    {"host", host_},
            {"path_prefix", prefix_}, {"kind", "non_idempotent"},
            {"timeout_ms", 3000},     {"slo_ms", slo_ms},
            {"priority", 0},          {"service", service_},
            {"max_attempts", 3},      {"stretch_factor", 1.6}};
        store_.put("keyed.op", "config",
                   to_cbor({{"version", 7},
                            {"routes", {route}},
                            {"services",
                             {{{"name", service_},
                               {"health_path", "/health"},
                               {"max_conns", 64},
                               {"enforces_capacity", false},
                               {"standby", false}}}},
                            {"limits", {{"max_body_bytes", 262'144}}}}));
    }

    /// Requests the upkeep of a machine.
    void put_wave(std::string const& machine)
    {
        record_.write("operator: wave 1 of machine " + machine);
        json wave = {{"wave", 1}, {"duration_s", 20}, {"max_count", 1}};
        wave["machines"] = json::array({machine});
        store_.put("keyed.op", "wave/1", to_cbor(wave));
    }

    /// A minion and its machine are lost for good, silently.
    void lose(minion& lost)
    {
        record_.write("minion " + lost.id_ + ": lost for good");
        lost.leave();
        constexpr int missed_beats = 3;
        auto const timer = std::make_shared<asio::steady_timer>(
            context_, milliseconds{missed_beats * bounds_.heartbeat_ms_});
        timer->async_wait([this, id = lost.id_, timer](beast::error_code)
                          { store_.put("keyed.servers", id, ""); });
    }

    void add_job(job_plan const& job)
    {
        jobs_[job.id_] = job;
    }

    /// How many work items of a job run.
    std::size_t running_of(std::string const& job) const
    {
        std::size_t count = 0;
        for (auto const& each : minions_)
        {
            for (auto const& run : each->running_)
            {
                count += run.second.task_.rfind(job + ".", 0) == 0 ? 1 : 0;
            }
        }
        return count;
    }
    /// How many runs were started, or ended `done`, of the work items whose
    /// names begin so.
    int count_starts(std::string const& prefix) const
    {
        return sum(starts_, prefix);
    }
    int count_done(std::string const& prefix) const
    {
        return sum(done_, prefix);
    }
    std::size_t used_cpu() const
    {
        std::size_t sum = 0;
        for (auto const& each : minions_)
        {
            for (auto const& run : each->running_)
            {
                sum += static_cast<std::size_t>(run.second.cpu_);
            }
        }
        return sum;
    }
    std::size_t all_cpu() const
    {
        return minions_.size() * 16'000;
    }

    /// The end `done` of a run was taken note of.
    void on_noted(minion& at, std::string const& task, std::uint32_t run);
    /// Work items with a start after a run that has ended `done`, where that
    /// end was taken note of.
    std::set<std::string> started_twice() const
    {
        std::set<std::string> result;
        for (auto const& run : started_after_)
        {
            if (noted_.count(run) != 0)
            {
                result.insert(run.first);
            }
        }
        return result;
    }

    void on_started(minion& at, run_state& run);
    void on_ended(minion& at, run_state const& run, std::string const& how);

    asio::io_context& context_;
    record_file& record_;
    limits bounds_;
    store store_;
    std::uint16_t port_ = 0;
    std::string host_ = "pule25.example";
    std::string prefix_ = "/puxa400/";
    std::string service_ = "huvo11a";
    std::vector<std::unique_ptr<minion>> minions_;
    std::map<std::string, job_plan> jobs_;
    /// By task: how many of its runs were started, and ended `done`.
    std::map<std::string, int> starts_;
    std::map<std::string, int> done_;
    /// A work item and the number of a run of it.
    using run_key = std::pair<std::string, std::uint32_t>;
    /// Runs that have ended `done`, those of them after which the work item was
    /// started again, and those whose end was taken note of.
    std::set<run_key> ended_done_;
    std::set<run_key> started_after_;
    std::set<run_key> noted_;
    bool log_runs_ = true;

private:
    static int sum(std::map<std::string, int> const& counts,
                   std::string const& prefix)
    {
        int result = 0;
        for (auto place = counts.lower_bound(prefix);
             place != counts.end() && place->first.rfind(prefix, 0) == 0;
             ++place)
        {
            result += place->second;
        }
        return result;
    }

    void serve(request const& message, responder respond);
    reply begin_upkeep(json const& order);
    void register_all();
    /// Where single runs are not logged, their numbers are.
    void write_summary();
    void tick();

    server server_;
    asio::steady_timer timer_;
    clock_type::time_point next_registration_{};
    clock_type::time_point next_summary_{};
    std::set<std::string> upkeep_done_;
    int started_now_ = 0;
    int done_now_ = 0;
    /// Members present of a gang's run, by its name.
    std::map<std::string, std::uint32_t> gangs_;
    std::map<std::string, clock_type::time_point> gang_began_;
};

inline minion::minion(platform& owner, std::string id, std::string machine)
    : owner_(owner), id_(std::move(id)), machine_(std::move(machine)),
      server_(std::make_unique<server>(
          owner.context_, [this](request const& message, responder respond)
          { serve(message, std::move(respond)); }))
{
    port_ = server_->listen();
}

inline std::int64_t minion::clock() const
{
    return std::chrono::duration_cast<milliseconds>(clock_type::now() - born_)
               .count() +
           100'000;
}

inline std::string minion::entry()
{
    return to_cbor({{"service", owner_.service_},
                    {"address", "127.0.0.1:" + std::to_string(port_)},
                    {"machine", machine_},
                    {"zone", "walu-hall"},
                    {"version", "v1"},
                    {"capacity", 8},
                    {"state", "ready"},
                    {"cold_remaining_ms", 0},
                    {"available_resources",
                     {{"cpu", 16'000}, {"mem_mb", 65'536}, {"gpu", 0}}},
                    {"labels", {"a", "r1-2"}},
                    {"clock_ms", clock()},
                    {"sequence", ++sequence_}});
}

inline void minion::answer(responder const& respond, unsigned status, json body)
{
    if (cut_)
    {
        return;
    }
    body["clock_ms"] = clock();
    respond({status, to_cbor(body)});
}

inline json minion::report() const
{
    auto running = json::array();
    for (auto const& item : running_)
    {
        auto const& run = item.second;
        std::int64_t percent = 0;
        if (run.began_ && run.work_ms_ > 0)
        {
            percent = std::min<std::int64_t>(
                99, std::chrono::duration_cast<milliseconds>(clock_type::now() -
                                                             *run.began_)
                            .count() *
                        100 / run.work_ms_);
        }
        if (run.long_running_)
        {
            constexpr milliseconds startup{300};
            percent = clock_type::now() - run.arrived_ >= startup ? 100 : 0;
        }
        running.push_back(
            {run.task_, run.run_, run.checkpoint_, percent, run.cpu_});
    }
    auto finished = json::array();
    for (auto const& end : ends_)
    {
        if (finished.size() == 500)
        {
            break;
        }
        finished.push_back({end.number_, end.task_, end.run_, end.how_, ""});
    }
    return {{"running", running}, {"finished", finished}};
}

inline void minion::leave()
{
    for (auto const& item : std::exchange(running_, {}))
    {
        owner_.on_ended(*this, item.second, "gone");
    }
    gone_ = true;
    cut_ = true;
    holders_.clear();
}

inline void minion::begin(std::string id)
{
    id_ = std::move(id);
    gone_ = false;
    cut_ = false;
    in_upkeep_ = false;
    born_ = clock_type::now();
    token_ = 0;
    lease_ = 0;
    next_end_ = 1;
    ends_.clear();
    highest_ended_.clear();
    sequence_ = 0;
}

inline void minion::take_deadline(json const& body)
{
    if (body.contains("deadline_ms"))
    {
        auto const asked = body["deadline_ms"].get<std::int64_t>();
        lease_ = std::max(
            lease_, std::min(asked, clock() + owner_.bounds_.hold_max_ms_));
    }
}

inline void minion::serve(request const& message, responder respond)
{
    if (cut_)
    {
        return;
    }
    if (message["Target-Instance"] != id_)
    {
        respond({421, to_cbor(json::object())});
        return;
    }
    auto const body = json::from_cbor(message.body());
    auto const token = body.value("fencing_token", std::uint64_t{0});
    if (token < token_)
    {
        answer(respond, 409, {{"reason", "fence"}});
        return;
    }
    token_ = token;
    std::string const path(message.target());
    if (path == "/api/hold")
    {
        auto const acked = body.value("last_acked", std::uint64_t{0});
        while (!ends_.empty() && ends_.front().number_ <= acked)
        {
            auto const& end = ends_.front();
            if (end.how_ == "done" && !end.lapsed_)
            {
                owner_.on_noted(*this, end.task_, end.run_);
            }
            ends_.pop_front();
        }
        take_deadline(body);
        auto const wait = body.value("wait_ms", 0);
        if (wait == 0 || !ends_.empty())
        {
            answer(respond, 200, report());
            return;
        }
        holders_.push_back(
            {std::move(respond), clock_type::now() + milliseconds{wait}});
        return;
    }
    auto const task = body.at("task").get<std::string>();
    auto const run = body.at("run").get<std::uint32_t>();
    auto const key = task + "/" + std::to_string(run);
    if (path == "/api/run-stop")
    {
        auto const found = running_.find(key);
        if (found != running_.end())
        {
            found->second.stopping_ = true;
            end(key, "stopped");
        }
        highest_ended_[task] = std::max(highest_ended_[task], run);
        answer(respond, 200, json::object());
        return;
    }
    if (path != "/api/run-start")
    {
        answer(respond, 400, json::object());
        return;
    }
    if (running_.count(key) != 0)
    {
        take_deadline(body);
        answer(respond, 200, json::object());
        return;
    }
    auto const ended = highest_ended_.find(task);
    if (ended != highest_ended_.end() && run <= ended->second)
    {
        take_deadline(body);
        answer(respond, 409, {{"reason", "old"}});
        return;
    }
    if (body.at("deadline_ms").get<std::int64_t>() <= clock())
    {
        answer(respond, 409, {{"reason", "late"}});
        return;
    }
    take_deadline(body);
    auto& state = running_[key];
    state.task_ = task;
    state.run_ = run;
    state.checkpoint_ = body.value("checkpoint", std::string());
    state.arrived_ = clock_type::now();
    owner_.on_started(*this, state);
    answer(respond, 200, json::object());
}

inline void minion::end(std::string const& key, char const* how)
{
    auto const found = running_.find(key);
    if (found == running_.end())
    {
        return;
    }
    auto const run = found->second;
    running_.erase(found);
    ends_.push_back({next_end_++, run.task_, run.run_, how, false});
    highest_ended_[run.task_] = std::max(highest_ended_[run.task_], run.run_);
    owner_.on_ended(*this, run, how);
}

inline void minion::wake()
{
    auto const now = clock_type::now();
    std::vector<holder> kept;
    for (auto& each : std::exchange(holders_, {}))
    {
        if (cut_)
        {
            continue; // its caller gets no answer
        }
        if (!ends_.empty() || now >= each.until_)
        {
            answer(each.respond_, 200, report());
        }
        else
        {
            kept.push_back(std::move(each));
        }
    }
    holders_ = std::move(kept);
}

inline void minion::tick()
{
    auto const now = clock_type::now();
    std::vector<std::pair<std::string, char const*>> over;
    bool const lapsed = clock() > lease_;
    for (auto& each : ends_)
    {
        each.lapsed_ = each.lapsed_ || lapsed;
    }
    for (auto const& item : running_)
    {
        auto const& run = item.second;
        if (lapsed)
        {
            over.emplace_back(item.first, "lapsed");
        }
        else if (run.began_ && !run.long_running_ &&
                 now - *run.began_ >= milliseconds{run.work_ms_})
        {
            over.emplace_back(item.first, "done");
        }
        else if (!run.began_ && now - run.arrived_ >=
                                    milliseconds{owner_.bounds_.gang_wait_ms_})
        {
            over.emplace_back(item.first, "alone");
        }
    }
    for (auto const& each : over)
    {
        end(each.first, each.second);
    }
    wake();
}

inline void platform::serve(request const& message, responder respond)
{
    if (store_.serve(message, respond))
    {
        return;
    }
    if (message.target().substr(0, 13) == "/api/machines")
    {
        auto machines = json::array();
        for (auto const& each : minions_)
        {
            machines.push_back(
                {{"machine", each->machine_},
                 {"pool", service_},
                 {"state", each->in_upkeep_  ? "upkeep"
                           : each->is_gone() ? "down"
                                             : "up"},
                 {"zone", "walu-hall"},
                 {"labels", {"a", "r1-2"}},
                 {"available_resources",
                  {{"cpu", 16'000}, {"mem_mb", 65'536}, {"gpu", 0}}},
                 {"id", each->is_gone() ? "" : each->id_}});
        }
        respond({200, to_cbor({{"machines", machines},
                               {"next_page_token", nullptr}})});
        return;
    }
    if (message.target() == "/api/machine-upkeep")
    {
        respond(begin_upkeep(json::from_cbor(message.body())));
        return;
    }
    record_.write("platform: unexpected call " + std::string(message.target()));
    respond({400, to_cbor(json::object())});
}

inline reply platform::begin_upkeep(json const& order)
{
    auto const machine = order.at("machine").get<std::string>();
    for (auto const& each : minions_)
    {
        if (each->machine_ != machine)
        {
            continue;
        }
        if (upkeep_done_.count(machine) != 0)
        {
            return {200, to_cbor(json::object())};
        }
        if (each->is_gone())
        {
            return {409, to_cbor({{"reason", "busy"}})};
        }
        record_.write("machine " + machine + ": upkeep");
        upkeep_done_.insert(machine);
        auto* const at = each.get();
        store_.put("keyed.servers", at->id_, "");
        at->leave();
        at->in_upkeep_ = true;
        auto const timer = std::make_shared<asio::steady_timer>(
            context_, milliseconds{bounds_.maintenance_ms_});
        timer->async_wait(
            [this, at, timer](beast::error_code)
            {
                at->begin("i-9c04" + at->machine_.substr(2));
                store_.put("keyed.servers", at->id_, at->entry());
                record_.write("machine " + at->machine_ + ": up as minion " +
                              at->id_);
            });
        return {200, to_cbor(json::object())};
    }
    return {400, to_cbor(json::object())};
}

inline void platform::register_all()
{
    for (auto const& each : minions_)
    {
        if (!each->is_gone())
        {
            store_.put("keyed.servers", each->id_, each->entry());
        }
    }
    next_registration_ =
        clock_type::now() + milliseconds{bounds_.heartbeat_ms_};
}

inline void platform::write_summary()
{
    if (log_runs_ || clock_type::now() < next_summary_)
    {
        return;
    }
    next_summary_ = clock_type::now() + milliseconds{1000};
    std::size_t running = 0;
    for (auto const& each : minions_)
    {
        running += each->running_.size();
    }
    record_.write("minions: since the last such line " +
                  std::to_string(std::exchange(started_now_, 0)) +
                  " starts and " + std::to_string(std::exchange(done_now_, 0)) +
                  " ends done; " + std::to_string(running) + " run now");
}

inline void platform::tick()
{
    if (clock_type::now() >= next_registration_)
    {
        register_all();
    }
    for (auto const& each : minions_)
    {
        each->tick();
    }
    write_summary();
    timer_.expires_after(milliseconds{10});
    timer_.async_wait(
        [this](beast::error_code error)
        {
            if (!error)
            {
                tick();
            }
        });
}

inline void platform::on_started(minion& at, run_state& run)
{
    ++starts_[run.task_];
    for (auto place = ended_done_.lower_bound({run.task_, 0});
         place != ended_done_.end() && place->first == run.task_; ++place)
    {
        started_after_.insert(*place);
        record_.write("minion " + at.id_ + ": start of " + run.task_ + " run " +
                      std::to_string(run.run_) + ", of which run " +
                      std::to_string(place->second) + " has ended done");
    }
    ++started_now_;
    if (log_runs_)
    {
        record_.write("minion " + at.id_ + ": start " + run.task_ + " run " +
                      std::to_string(run.run_));
    }
    auto const job = jobs_.find(run.task_.substr(0, run.task_.find('.')));
    run.began_ = clock_type::now();
    if (job == jobs_.end())
    {
        run.work_ms_ = 500;
        return;
    }
    auto const last = run.task_.rfind('.');
    auto const before = run.task_.rfind('.', last - 1);
    auto const& step = job->second.steps_.at(static_cast<std::size_t>(
        std::stoi(run.task_.substr(before + 1, last - before - 1))));
    auto const index = std::stoi(run.task_.substr(last + 1));
    run.work_ms_ =
        step.work_ms_ + step.spread_ms_ * index / static_cast<int>(step.count_);
    run.cpu_ = step.cpu_;
    run.long_running_ = step.long_running_;
    if (!step.gang_)
    {
        return;
    }
    run.gang_ = run.task_.substr(0, last) + "/" + std::to_string(run.run_);
    run.gang_size_ = step.count_;
    run.began_.reset();
    if (++gangs_[run.gang_] < step.count_)
    {
        return;
    }
    record_.write("gang " + run.gang_ + ": all present");
    for (auto const& each : minions_)
    {
        for (auto& item : each->running_)
        {
            if (item.second.gang_ == run.gang_)
            {
                item.second.began_ = clock_type::now();
            }
        }
    }
}

inline void platform::on_noted(minion& at, std::string const& task,
                               std::uint32_t run)
{
    noted_.insert({task, run});
    if (log_runs_ || started_after_.count({task, run}) != 0)
    {
        record_.write("minion " + at.id_ + ": the end done of " + task +
                      " run " + std::to_string(run) + " is taken note of");
    }
}

inline void platform::on_ended(minion& at, run_state const& run,
                               std::string const& how)
{
    if (how == "done")
    {
        ++done_[run.task_];
        ended_done_.insert({run.task_, run.run_});
        ++done_now_;
    }
    if (log_runs_ || how != "done")
    {
        record_.write("minion " + at.id_ + ": end " + run.task_ + " run " +
                      std::to_string(run.run_) + " " + how);
    }
    if (run.gang_.empty())
    {
        return;
    }
    --gangs_[run.gang_];
    for (auto const& each : minions_)
    {
        std::vector<std::string> members;
        for (auto const& item : each->running_)
        {
            if (item.second.gang_ == run.gang_)
            {
                members.push_back(item.first);
            }
        }
        for (auto const& member : members)
        {
            // The members of a gang end together.
            each->end(member, how == "done" ? "done" : "broken");
        }
    }
}

} // namespace review

#endif
