#include "soak/soak_faults.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace cuminfold
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t longest_gap_ms = 1500;
constexpr std::uint32_t longest_restart_gap_ms = 4000;
constexpr std::uint32_t longest_delay_ms = 2500;

struct link_fault_row
{
    link_fault fault_;
    char const* name_;
};
constexpr link_fault_row link_faults[] = {
    {link_fault::delay, "delayed"},
    {link_fault::silence, "silent"},
    {link_fault::hold_calls, "cut towards the server"},
    {link_fault::hold_answers, "cut towards the caller"},
    {link_fault::reset, "reset"},
};

struct link_row
{
    link_place place_;
    char const* name_;
};
constexpr link_row links[] = {
    {link_place::node_to_store, "store of node "},
    {link_place::peers_to_node, "peers of node "},
    {link_place::clients_to_node, "clients of node "},
    {link_place::nodes_to_worker, "worker "},
};

} // namespace

struct soak_faults::fault_kind
{
    std::uint32_t weight_;
    std::string (soak_faults::*begin_)();
};

std::vector<soak_faults::fault_kind> const& soak_faults::kinds() const
{
    static std::vector<fault_kind> const mixed = {
        {4, &soak_faults::kill},
        {4, &soak_faults::terminate},
        {1, &soak_faults::terminate_in_turn},
        {1, &soak_faults::kill_all},
        {4, &soak_faults::pause},
        {2, &soak_faults::reload},
        {10, &soak_faults::break_link},
        {2, &soak_faults::stop_store},
        {2, &soak_faults::lose_answers},
        {2, &soak_faults::change_config},
        {2, &soak_faults::crash_worker},
        {2, &soak_faults::drain_worker},
    };
    static std::vector<fault_kind> const restarts = {
        {1, &soak_faults::restart_and_cut},
    };
    static std::vector<fault_kind> const unseen_restarts = {
        {1, &soak_faults::restart_unseen},
    };
    static std::vector<fault_kind> const silences = {
        {1, &soak_faults::silence_connections},
    };
    switch (series_)
    {
    case fault_series::mixed:
        return mixed;
    case fault_series::restarts:
        return restarts;
    case fault_series::unseen_restarts:
        return unseen_restarts;
    case fault_series::silences:
        return silences;
    }
    return mixed;
}

soak_faults::soak_faults(soak_system& system, std::uint32_t seed,
                         fault_series series)
    : system_(system), random_(seed), series_(series), next_(clock::now())
{
}

std::uint32_t soak_faults::draw(std::uint32_t limit)
{
    return static_cast<std::uint32_t>(random_() % limit);
}

std::size_t soak_faults::draw_node()
{
    return draw(static_cast<std::uint32_t>(system_.nodes()));
}

std::size_t soak_faults::draw_worker()
{
    return draw(static_cast<std::uint32_t>(system_.workers()));
}

void soak_faults::end_later(std::uint32_t shortest_ms, std::uint32_t longest_ms,
                            std::function<void()> end)
{
    at(milliseconds{shortest_ms + draw(longest_ms - shortest_ms)},
       std::move(end));
}

void soak_faults::at(milliseconds time, std::function<void()> what)
{
    open_.push_back({clock::now() + time, std::move(what)});
}

std::string soak_faults::kill()
{
    auto const node = draw_node();
    system_.kill(node);
    return "kill node " + std::to_string(node);
}

std::string soak_faults::terminate()
{
    auto const node = draw_node();
    system_.terminate(node);
    return "terminate node " + std::to_string(node);
}

std::string soak_faults::terminate_in_turn()
{
    constexpr std::uint32_t step_ms = 700;
    for (std::uint32_t i = 0; i < system_.nodes(); ++i)
    {
        at(milliseconds{i * step_ms}, [this, i] { system_.terminate(i); });
    }
    return "terminate all nodes in turn";
}

std::string soak_faults::kill_all()
{
    for (std::size_t i = 0; i < system_.nodes(); ++i)
    {
        system_.kill(i);
    }
    return "kill all nodes";
}

std::string soak_faults::pause()
{
    auto const node = draw_node();
    system_.pause(node);
    end_later(100, 6000, [this, node] { system_.resume(node); });
    return "pause node " + std::to_string(node);
}

std::string soak_faults::reload()
{
    auto const node = draw_node();
    system_.reload(node);
    return "reload node " + std::to_string(node);
}

std::string soak_faults::break_link()
{
    auto const& row = links[draw(static_cast<std::uint32_t>(std::size(links)))];
    auto const& fault =
        link_faults[draw(static_cast<std::uint32_t>(std::size(link_faults)))];
    auto const number =
        row.place_ == link_place::nodes_to_worker ? draw_worker() : draw_node();
    link_state state;
    state.fault_ = fault.fault_;
    if (fault.fault_ == link_fault::delay)
    {
        state.delay_ = milliseconds{5 + draw(longest_delay_ms)};
    }
    system_.set_link(row.place_, number, state);
    end_later(200, 5000,
              [this, place = row.place_, number]
              { system_.set_link(place, number, {}); });
    return row.name_ + std::to_string(number) + ": " + fault.name_ + " " +
           std::to_string(state.delay_.count()) + " ms";
}

std::string soak_faults::stop_store()
{
    system_.set_store_down(true);
    end_later(200, 3000, [this] { system_.set_store_down(false); });
    return "store down";
}

std::string soak_faults::lose_answers()
{
    auto const percent = 10 + draw(50);
    system_.drop_append_responses(percent, draw(1'000'000));
    end_later(500, 4000, [this] { system_.drop_append_responses(0, 0); });
    return "store loses " + std::to_string(percent) + "% of its answers";
}

std::string soak_faults::change_config()
{
    system_.change_config();
    return "change the configuration";
}

std::string soak_faults::crash_worker()
{
    auto const worker = draw_worker();
    system_.crash_worker(worker);
    return "crash worker " + std::to_string(worker);
}

std::string soak_faults::drain_worker()
{
    auto const worker = draw_worker();
    system_.drain_worker(worker);
    end_later(4000, 8000, [this, worker] { system_.crash_worker(worker); });
    return "drain worker " + std::to_string(worker);
}

std::string soak_faults::restart_and_cut()
{
    auto const worker = draw_worker();
    // Until then orders are computed by the clock of the incarnation before.
    milliseconds const registered{draw(500)};
    milliseconds const cut{draw(3000)};
    milliseconds const healed = cut + milliseconds{4000 + draw(6000)};
    link_state state;
    state.fault_ = draw(2) == 0 ? link_fault::silence : link_fault::reset;
    system_.restart_worker(worker);
    at(registered, [this, worker] { system_.register_worker(worker); });
    at(cut, [this, worker, state]
       { system_.set_link(link_place::nodes_to_worker, worker, state); });
    at(healed, [this, worker]
       { system_.set_link(link_place::nodes_to_worker, worker, {}); });
    return "restart worker " + std::to_string(worker) + ", registered after " +
           std::to_string(registered.count()) + " ms, cut off from " +
           std::to_string(cut.count()) + " to " +
           std::to_string(healed.count()) + " ms";
}

std::string soak_faults::restart_unseen()
{
    auto const worker = draw_worker();
    constexpr link_fault ways[] = {link_fault::silence, link_fault::reset,
                                   link_fault::hold_answers,
                                   link_fault::hold_answers};
    link_state state;
    state.fault_ = ways[draw(static_cast<std::uint32_t>(std::size(ways)))];
    // A restart that is seen after the cut has begun leaves the most time.
    milliseconds const restarted{draw(20)};
    milliseconds const healed = restarted + milliseconds{5000 + draw(7000)};
    milliseconds const registered = healed + milliseconds{draw(1000)};
    system_.set_link(link_place::nodes_to_worker, worker, state);
    at(restarted, [this, worker] { system_.restart_worker(worker); });
    at(healed, [this, worker]
       { system_.set_link(link_place::nodes_to_worker, worker, {}); });
    at(registered, [this, worker] { system_.register_worker(worker); });
    return "cut off worker " + std::to_string(worker) + " (way " +
           std::to_string(static_cast<int>(state.fault_)) + "), restart it " +
           std::to_string(restarted.count()) + " ms later, healed after " +
           std::to_string(healed.count()) + " ms, registered after " +
           std::to_string(registered.count()) + " ms";
}

std::string soak_faults::silence_connections()
{
    constexpr link_fault ways[] = {link_fault::silence, link_fault::hold_calls,
                                   link_fault::hold_answers};
    auto const way = ways[draw(static_cast<std::uint32_t>(std::size(ways)))];
    // Between nodes, to the store and to workers; one of them or all at once.
    constexpr link_place places[] = {link_place::peers_to_node,
                                     link_place::node_to_store,
                                     link_place::nodes_to_worker};
    auto const chosen = draw(static_cast<std::uint32_t>(std::size(places)) + 1);
    std::size_t silenced = 0;
    for (std::size_t i = 0; i < std::size(places); ++i)
    {
        if (chosen != std::size(places) && chosen != i)
        {
            continue;
        }
        auto const count = places[i] == link_place::nodes_to_worker
                               ? system_.workers()
                               : system_.nodes();
        for (std::size_t number = 0; number < count; ++number)
        {
            silenced += system_.silence_link(places[i], number, way);
        }
    }
    return std::to_string(silenced) + " open connections go silent (ways " +
           std::to_string(static_cast<int>(way)) + ", links " +
           std::to_string(chosen) + ")";
}

void soak_faults::begin()
{
    auto const& rows = kinds();
    auto const sum =
        std::accumulate(rows.begin(), rows.end(), 0U,
                        [](std::uint32_t so_far, fault_kind const& each)
                        { return so_far + each.weight_; });
    auto at = draw(sum);
    auto row = rows.begin();
    while (at >= row->weight_)
    {
        at -= row->weight_;
        ++row;
    }
    auto const when =
        std::chrono::duration_cast<milliseconds>(clock::now() - began_);
    auto const what = (this->*row->begin_)();
    history_.push_back(std::to_string(when.count()) + " ms: " + what);
}

void soak_faults::tick()
{
    auto const now = clock::now();
    // An end may begin nothing further, but the list is gone through afresh.
    for (std::size_t i = 0; i < open_.size();)
    {
        if (open_[i].until_ <= now)
        {
            auto const end = std::move(open_[i].end_);
            open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(i));
            end();
        }
        else
        {
            ++i;
        }
    }
    if (now >= next_)
    {
        next_ = now + milliseconds{draw(series_ == fault_series::mixed
                                            ? longest_gap_ms
                                            : longest_restart_gap_ms)};
        begin();
    }
}

} // namespace cuminfold
