#ifndef CUMINFOLD_TESTS_SOAK_SOAK_SYSTEM_HPP
#define CUMINFOLD_TESTS_SOAK_SOAK_SYSTEM_HPP

#include "child_process.hpp"
#include "platform/stand_in/platform_stand_in.hpp"
#include "soak/fault_link.hpp"
#include "soak/soak_oracle.hpp"
#include "transport/io_thread.hpp"

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cuminfold
{

/// Where a link lies.
enum class link_place
{
    node_to_store,
    peers_to_node,
    clients_to_node,
    nodes_to_worker
};

/// Real nodes, our own platform and a proxy on each way between them.
///
/// All members are called on one thread.
class soak_system
{
public:
    /// How long a revoked key may still succeed.
    static constexpr std::chrono::milliseconds revocation_limit{2000};

    /// @param program the nodes' program
    /// @param extra_settings of each node
    soak_system(std::string program, std::filesystem::path folder,
                std::size_t nodes, std::uint32_t workers, soak_oracle& oracle,
                std::string extra_settings = "");
    ~soak_system();

    std::size_t nodes() const
    {
        return nodes_.size();
    }
    std::size_t workers() const
    {
        return worker_links_.size();
    }
    /// Where clients reach a node, also while it is down.
    std::string const& clients_address(std::size_t node) const
    {
        return nodes_[node].clients_->address();
    }

    /// @name Faults
    /// @{
    void kill(std::size_t node);
    /// The node must end by itself, unless it is killed or paused before.
    void terminate(std::size_t node);
    void pause(std::size_t node);
    void resume(std::size_t node);
    void reload(std::size_t node);
    void set_link(link_place place, std::size_t number, link_state state);
    /// The link's open connections carry nothing any more.
    /// @return how many there are
    std::size_t silence_link(link_place place, std::size_t number,
                             link_fault ways);
    void set_store_down(bool down);
    void drop_append_responses(std::uint32_t percent, std::uint32_t seed);
    void change_config();
    /// Publishes the keys of the only workspace.
    void set_keys(std::vector<std::string> const& keys);
    void crash_worker(std::size_t worker);
    /// Starts it again under its id, with the registration of before.
    void restart_worker(std::size_t worker);
    void register_worker(std::size_t worker);
    void drain_worker(std::size_t worker);
    /// @}

    /// Starts nodes that are due again and looks after those that end.
    void tick();
    /// Ends all faults.
    void heal();
    bool all_run() const;
    /// Nodes that did not end by themselves in their time, or ended unasked.
    std::vector<std::string> const& breaches() const
    {
        return breaches_;
    }

private:
    using clock = std::chrono::steady_clock;

    struct node
    {
        std::string name_;
        std::unique_ptr<child_process> process_;
        std::unique_ptr<fault_link> store_;
        std::unique_ptr<fault_link> peers_;
        std::unique_ptr<fault_link> clients_;
        std::size_t lives_ = 0;
        bool paused_ = false;
        clock::time_point start_at_{};
        /// After SIGTERM, by when it must have ended; none while it runs.
        clock::time_point must_end_{};
    };

    void start(node& which);
    /// Lets the workers write their entries again, as they do all the time.
    void repeat_entries();
    void on_links(std::function<void()> const& what);
    fault_link& link(link_place place, std::size_t number);

    std::string program_;
    std::string extra_settings_;
    std::filesystem::path folder_;
    soak_oracle& oracle_;
    io_thread links_;
    platform::platform_stand_in platform_;
    std::vector<node> nodes_;
    std::vector<std::unique_ptr<fault_link>> worker_links_;
    /// Whether the store has the entry of each worker's present incarnation.
    std::vector<bool> registered_;
    clock::time_point next_entries_ = clock::now();
    std::size_t next_life_ = 0;
    std::vector<std::string> breaches_;
};

} // namespace cuminfold

#endif
