#include "soak/soak_system.hpp"

#include <csignal>
#include <fstream>
#include <future>

namespace cuminfold
{

namespace
{

constexpr std::size_t ring_capacity = 64;
/// A node that was asked to stop has this long, as on the users' platform.
constexpr std::chrono::seconds stop_bound{6};
constexpr std::chrono::milliseconds restart_pause{300};
/// Interval at which a worker writes its entry.
constexpr std::chrono::milliseconds entry_interval{1500};
/// The platform's bound on leases, longer than those that owners ask for.
constexpr std::chrono::milliseconds longest_lease{10'000};

} // namespace

soak_system::soak_system(std::string program, std::filesystem::path folder,
                         std::size_t nodes, std::uint32_t workers,
                         soak_oracle& oracle, std::string extra_settings)
    : program_(std::move(program)), extra_settings_(std::move(extra_settings)),
      folder_(std::move(folder)), oracle_(oracle), links_(ring_capacity),
      platform_(workers, &oracle), nodes_(nodes), registered_(workers)
{
    links_.start();
    on_links(
        [&]
        {
            for (std::uint32_t i = 0; i < workers; ++i)
            {
                worker_links_.push_back(
                    std::make_unique<fault_link>(links_.context()));
            }
            for (auto& each : nodes_)
            {
                for (auto* const link :
                     {&each.store_, &each.peers_, &each.clients_})
                {
                    *link = std::make_unique<fault_link>(links_.context());
                }
                each.store_->set_target(platform_.address());
            }
        });
    for (std::size_t i = 0; i < workers; ++i)
    {
        std::string address;
        platform_.run(
            [&]
            {
                platform_.worker(i).set_longest_lease(longest_lease);
                address = platform_.worker(i).address();
            });
        on_links([&] { worker_links_[i]->set_target(address); });
        register_worker(i);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        nodes_[i].name_ = "node" + std::to_string(i);
        start(nodes_[i]);
    }
}

soak_system::~soak_system()
{
    for (auto& each : nodes_)
    {
        each.process_.reset();
    }
    on_links(
        [&]
        {
            nodes_.clear();
            worker_links_.clear();
        });
}

void soak_system::on_links(std::function<void()> const& what)
{
    std::promise<void> done;
    links_.run_from_outside(
        [&]
        {
            what();
            done.set_value();
        });
    done.get_future().wait();
}

void soak_system::repeat_entries()
{
    for (std::size_t i = 0; i < worker_links_.size(); ++i)
    {
        if (registered_[i])
        {
            register_worker(i);
        }
    }
}

void soak_system::register_worker(std::size_t worker)
{
    registered_[worker] = true;
    platform_.run(
        [&] {
            platform_.register_worker(worker, worker_links_[worker]->address());
        });
}

void soak_system::start(node& which)
{
    auto const life = which.name_ + "-" + std::to_string(which.lives_++);
    auto const settings = (folder_ / (which.name_ + ".yaml")).string();
    std::ofstream(settings)
        << "name: " << which.name_
        << "\nclients_address: 127.0.0.1:0\n"
           "health_address: 127.0.0.1:0\n"
           "peers_address: 127.0.0.1:0\n"
        << "announced_address: " << which.peers_->address()
        << "\nstore_address: " << which.store_->address()
        << "\nmachines_address: " << which.store_->address()
        << "\nadvice_address: " << which.store_->address()
        << "\nstop_time: 200ms\nlongest_lease: " << longest_lease.count()
        << "ms\n"
        << extra_settings_;
    which.process_ = std::make_unique<child_process>(
        program_, std::vector<std::string>{"--config", settings},
        (folder_ / (life + ".errors")).string());
    auto const clients = which.process_->next_address();
    which.process_->next_address();
    auto const peers = which.process_->next_address();
    which.process_->keep_output((folder_ / (life + ".log")).string());
    which.paused_ = false;
    which.must_end_ = {};
    on_links(
        [&]
        {
            which.clients_->set_target(clients);
            which.peers_->set_target(peers);
        });
}

void soak_system::kill(std::size_t node)
{
    auto& which = nodes_[node];
    if (which.process_)
    {
        which.process_->kill();
        which.process_.reset();
        which.start_at_ = clock::now() + restart_pause;
    }
}

void soak_system::terminate(std::size_t node)
{
    auto& which = nodes_[node];
    if (which.process_ && !which.paused_ &&
        which.must_end_ == clock::time_point{})
    {
        which.process_->terminate();
        which.must_end_ = clock::now() + stop_bound;
    }
}

void soak_system::pause(std::size_t node)
{
    auto& which = nodes_[node];
    if (which.process_ && which.must_end_ == clock::time_point{})
    {
        which.paused_ = true;
        which.process_->send(SIGSTOP);
    }
}

void soak_system::resume(std::size_t node)
{
    auto& which = nodes_[node];
    if (which.process_ && which.paused_)
    {
        which.paused_ = false;
        which.process_->send(SIGCONT);
    }
}

void soak_system::reload(std::size_t node)
{
    if (nodes_[node].process_)
    {
        nodes_[node].process_->send(SIGHUP);
    }
}

fault_link& soak_system::link(link_place place, std::size_t number)
{
    switch (place)
    {
    case link_place::node_to_store:
        return *nodes_[number].store_;
    case link_place::peers_to_node:
        return *nodes_[number].peers_;
    case link_place::clients_to_node:
        return *nodes_[number].clients_;
    case link_place::nodes_to_worker:
        break;
    }
    return *worker_links_[number];
}

void soak_system::set_link(link_place place, std::size_t number,
                           link_state state)
{
    on_links([&] { link(place, number).set_state(state); });
}

std::size_t soak_system::silence_link(link_place place, std::size_t number,
                                      link_fault ways)
{
    std::size_t silenced = 0;
    on_links([&] { silenced = link(place, number).silence_open(ways); });
    return silenced;
}

void soak_system::set_store_down(bool down)
{
    platform_.set_down(down);
}

void soak_system::drop_append_responses(std::uint32_t percent,
                                        std::uint32_t seed)
{
    platform_.drop_append_responses(percent, seed);
}

void soak_system::change_config()
{
    platform_.run([&] { platform_.change_config(); });
}

void soak_system::set_keys(std::vector<std::string> const& keys)
{
    platform_.run(
        [&]
        {
            platform_.set_workspaces({{{"name", "callers"},
                                       {"api_keys", keys},
                                       {"weight", 1000},
                                       {"max_count", {{"cpu", 8000}}}}});
        });
}

void soak_system::crash_worker(std::size_t worker)
{
    platform_.run(
        [&]
        {
            auto& crashed = platform_.worker(worker);
            auto const old = crashed.id();
            crashed.advance();
            oracle_.crashed(old);
            // Every second worker starts again under its id.
            bool const keeps_id = next_life_++ % 2 == 1;
            crashed.crash(keeps_id ? old : "life" + std::to_string(next_life_));
            if (!keeps_id)
            {
                platform_.deregister_worker(old);
            }
        });
    register_worker(worker);
}

void soak_system::restart_worker(std::size_t worker)
{
    registered_[worker] = false;
    platform_.run(
        [&]
        {
            auto& restarted = platform_.worker(worker);
            restarted.advance();
            oracle_.crashed(restarted.id());
            restarted.crash(std::string(restarted.id()));
        });
}

void soak_system::drain_worker(std::size_t worker)
{
    platform_.run(
        [&]
        {
            platform_.worker(worker).drain();
            oracle_.draining(platform_.worker(worker).id());
        });
    register_worker(worker);
}

void soak_system::tick()
{
    auto const now = clock::now();
    if (now >= next_entries_)
    {
        next_entries_ = now + entry_interval;
        repeat_entries();
    }
    for (auto& each : nodes_)
    {
        if (!each.process_)
        {
            if (now >= each.start_at_)
            {
                start(each);
            }
            continue;
        }
        bool const asked = each.must_end_ != clock::time_point{};
        if (auto const status = each.process_->poll(); status >= 0)
        {
            if (!asked || status != 0)
            {
                breaches_.push_back("EXIT: " + each.name_ + " ended with " +
                                    std::to_string(status));
            }
            each.process_.reset();
            each.start_at_ = now + restart_pause;
        }
        else if (asked && now > each.must_end_)
        {
            breaches_.push_back("EXIT: " + each.name_ +
                                " did not end in its time");
            kill(static_cast<std::size_t>(&each - nodes_.data()));
        }
    }
}

void soak_system::heal()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        resume(i);
        for (auto const place :
             {link_place::node_to_store, link_place::peers_to_node,
              link_place::clients_to_node})
        {
            set_link(place, i, {});
        }
    }
    for (std::size_t i = 0; i < worker_links_.size(); ++i)
    {
        set_link(link_place::nodes_to_worker, i, {});
    }
    set_store_down(false);
    drop_append_responses(0, 0);
    for (std::size_t i = 0; i < worker_links_.size(); ++i)
    {
        register_worker(i);
    }
}

bool soak_system::all_run() const
{
    for (auto const& each : nodes_)
    {
        if (!each.process_ || each.must_end_ != clock::time_point{})
        {
            return false;
        }
    }
    return true;
}

} // namespace cuminfold
