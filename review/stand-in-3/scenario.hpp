#ifndef REVIEW_STAND_IN_3_SCENARIO_HPP
#define REVIEW_STAND_IN_3_SCENARIO_HPP

#include "nodes.hpp"

#include <atomic>

namespace review
{

enum class verdict
{
    held = 0,
    broken = 1,
    not_run = 2
};

struct route
{
    char const* name_;
    char const* host_;
    char const* prefix_;
    char const* service_;
    int priority_;
    int slo_ms_;
};

/// The queues of the deployment. `detail` is a second one for the minions of
/// `quota`.
inline std::vector<route> const& routes()
{
    static std::vector<route> const all = {
        {"quota", "cuzi25.example", "/kafi706/", "fieldwork-desk", 0, 600},
        {"detail", "cuzi25.example", "/tije37/", "fieldwork-desk", 1, 600},
        {"sample", "pule25.example", "/puxa400/", "sampling-unit", 1, 600},
        {"callback", "jepu9.example", "/zizi35/", "callback-desk", 0, 600},
        {"crosstab", "jepu9.example", "/wuhu344/", "client-reports", 1, 600}};
    return all;
}

inline route const& route_of(std::string const& name)
{
    return *std::find_if(routes().begin(), routes().end(),
                         [&](route const& each) { return name == each.name_; });
}

/// The advice on the queue `callback`, in a scenario that has any.
constexpr milliseconds advice_decision{750};
constexpr milliseconds advice_per_item{10};
constexpr milliseconds advice_validity{3000};

inline json make_config(bool with_advice)
{
    auto list = json::array();
    for (auto const& each : routes())
    {
        json entry = {{"name", std::string("r-") + each.name_},
                      {"host", each.host_},
                      {"path_prefix", each.prefix_},
                      {"kind", "non_idempotent"},
                      {"timeout_ms", 3000},
                      {"slo_ms", each.slo_ms_},
                      {"service", each.service_},
                      {"max_attempts", 3},
                      {"stretch_factor", 1.6}};
        if (each.priority_ != 0)
        {
            entry["priority"] = each.priority_;
        }
        if (with_advice && std::string(each.name_) == "callback")
        {
            entry["recommendation"] = {
                {"decision_ms", advice_decision.count()},
                {"per_item_ms", advice_per_item.count()},
                {"validity_ms", advice_validity.count()}};
        }
        list.push_back(std::move(entry));
    }
    auto services = json::array();
    for (auto const* const name :
         {"fieldwork-desk", "sampling-unit", "callback-desk", "client-reports",
          "admin-desk"})
    {
        services.push_back({{"name", name}, {"health_path", "/health"}});
    }
    return {{"version", 7},
            {"routes", list},
            {"services", services},
            {"limits", {{"max_body_bytes", 262144}}}};
}

struct step
{
    int count_ = 1;
    int cpu_ = 880;
    int mem_mb_ = 3300;
    int estimate_ms_ = 640;
    std::string label_;
};

/// A job whose steps run one after the other.
inline std::string make_job(std::string const& spec,
                            std::vector<step> const& steps)
{
    auto list = json::array();
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        json each = {{"count", steps[i].count_},
                     {"cpu", steps[i].cpu_},
                     {"mem_mb", steps[i].mem_mb_},
                     {"estimate_ms", steps[i].estimate_ms_}};
        if (i > 0)
        {
            each["depends_on"] = {i - 1};
        }
        if (!steps[i].label_.empty())
        {
            each["requirements"] = steps[i].label_;
        }
        list.push_back(std::move(each));
    }
    return to_body({{"spec", spec}, {"steps", list}});
}

struct handed_in
{
    std::string id_;
    route const* route_ = nullptr;
    time_point sent_;
    answer answer_;
};

/// What all scenarios have: the platform, the nodes and clients.
class world
{
public:
    world(record_file& record, std::string const& folder,
          std::string const& program, bool with_proxies, bool with_advice)
        : record_(record), platform_(record)
    {
        platform_.add_pool("fieldwork-desk", 9, 4);
        platform_.add_pool("sampling-unit", 9, 4);
        platform_.add_pool("callback-desk", 11, 4);
        platform_.add_pool("client-reports", 12, 4);
        platform_.add_pool("admin-desk", 8, 4);
        platform_.set_config(make_config(with_advice));
        platform_.set_advice(advice_decision, advice_per_item, advice_validity);
        platform_.start();
        deployment_ = std::make_unique<deployment>(platform_, folder, program,
                                                   with_proxies);
    }

    platform& users()
    {
        return platform_;
    }
    deployment& system()
    {
        return *deployment_;
    }
    record_file& record()
    {
        return record_;
    }
    bool await_ready()
    {
        // Ready nodes may not have read all workers yet.
        bool const ready = deployment_->await_ready(milliseconds{20'000});
        std::this_thread::sleep_for(milliseconds{2000});
        record_.write(ready ? "all nodes are ready"
                            : "not all nodes are ready");
        return ready;
    }

    answer call(std::size_t node, std::string const& method, route const& to,
                std::string const& id, std::string const& body = "",
                int deadline_ms = 3000)
    {
        auto const& at = deployment_->nodes()[node];
        connection client(at.clients_);
        if (!client.is_open())
        {
            return {};
        }
        client.send(method, to.host_, to.prefix_ + id, body, deadline_ms);
        auto const result = client.receive(milliseconds{deadline_ms});
        record_.write(method + " " + to.prefix_ + id + " at " + at.name_ +
                      " -> " +
                      (result.status_ == 0 ? "no answer"
                                           : std::to_string(result.status_)) +
                      (result.state().empty() ? "" : " " + result.state()) +
                      (result.retry_after_.empty()
                           ? ""
                           : " Retry-After " + result.retry_after_));
        return result;
    }
    /// The id of the job that is handed in next.
    std::string next_id() const
    {
        return make_id(jobs_ + 1);
    }
    handed_in hand_in(std::size_t node, std::string const& queue,
                      std::string const& body)
    {
        handed_in job;
        job.id_ = make_id(++jobs_);
        job.route_ = &route_of(queue);
        job.sent_ = clock_type::now();
        job.answer_ = call(node, "POST", *job.route_, job.id_, body);
        return job;
    }
    /// Asks for a job's state as a client does: again after no answer, a 502, a
    /// 503 or a 504, four times, each time at the next of these nodes.
    answer ask(handed_in const& job, std::vector<std::size_t> const& nodes)
    {
        answer result;
        for (std::size_t attempt = 0; attempt < 5; ++attempt)
        {
            result = call(nodes[attempt % nodes.size()], "GET", *job.route_,
                          job.id_);
            if (result.status_ == 200 || result.status_ == 410)
            {
                break;
            }
            std::this_thread::sleep_for(milliseconds{100});
        }
        return result;
    }
    /// The runs of a job.
    std::vector<run_span> runs_of(std::string const& id)
    {
        return platform_.on_thread(
            [&]
            {
                std::vector<run_span> found;
                for (auto const& each : platform_.spans())
                {
                    if (each.task_.rfind(id, 0) == 0)
                    {
                        found.push_back(each);
                    }
                }
                return found;
            });
    }
    /// Whether some work item of the job ran in the last `span`.
    bool has_run_within(std::string const& id, milliseconds span)
    {
        auto const since = clock_type::now() - span;
        for (auto const& each : runs_of(id))
        {
            if (each.ended_ >= since)
            {
                return true;
            }
        }
        return false;
    }
    struct pool_use
    {
        int up_ = 0;
        int busy_ = 0;
        int items_ = 0;
    };
    pool_use use_of(std::string const& pool)
    {
        return platform_.on_thread(
            [&]
            {
                pool_use use;
                for (auto const& each : platform_.machines())
                {
                    if (each->pool() == pool && each->up())
                    {
                        ++use.up_;
                        auto const items =
                            static_cast<int>(each->cores_in_use());
                        use.busy_ += items > 0 ? 1 : 0;
                        use.items_ += items;
                    }
                }
                return use;
            });
    }

private:
    static std::string make_id(unsigned number)
    {
        char id[17];
        std::snprintf(id, sizeof id, "5c0e7a21%08x", number);
        return id;
    }

    record_file& record_;
    platform platform_;
    std::unique_ptr<deployment> deployment_;
    std::atomic<unsigned> jobs_{0};
};

verdict crashes_before_start(world& all, bool trouble);
verdict silent_connections(world& all, bool trouble);
verdict wide_jobs(world& all, bool trouble);
verdict advised_jobs(world& all, bool trouble);

} // namespace review

#endif
