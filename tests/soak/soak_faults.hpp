#ifndef CUMINFOLD_TESTS_SOAK_SOAK_FAULTS_HPP
#define CUMINFOLD_TESTS_SOAK_SOAK_FAULTS_HPP

#include "soak/soak_system.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace cuminfold
{

/// Which faults are drawn.
enum class fault_series
{
    mixed,
    restarts, ///< workers restart under their ids and are cut off soon after
    /// The same, and they reach neither the store nor, one way or both ways,
    /// the nodes, until the cut ends.
    unseen_restarts,
    silences ///< open connections carry nothing any more, while new ones work
};

/// Injects faults in series that overlap, all drawn from one seed.
class soak_faults
{
public:
    soak_faults(soak_system& system, std::uint32_t seed, fault_series series);

    /// Begins and ends what is due.
    void tick();

    /// What was done and when, a line each.
    std::vector<std::string> const& history() const
    {
        return history_;
    }

private:
    using clock = std::chrono::steady_clock;
    struct fault_kind;
    struct open_fault
    {
        clock::time_point until_;
        std::function<void()> end_;
    };

    std::vector<fault_kind> const& kinds() const;

    std::uint32_t draw(std::uint32_t limit);
    std::size_t draw_node();
    std::size_t draw_worker();
    /// Ends it after a drawn time.
    void end_later(std::uint32_t shortest_ms, std::uint32_t longest_ms,
                   std::function<void()> end);
    void at(std::chrono::milliseconds time, std::function<void()> what);
    void begin();
    std::string kill();
    std::string terminate();
    std::string terminate_in_turn();
    std::string kill_all();
    std::string pause();
    std::string reload();
    std::string break_link();
    std::string stop_store();
    std::string lose_answers();
    std::string change_config();
    std::string crash_worker();
    std::string drain_worker();
    std::string restart_and_cut();
    std::string restart_unseen();
    std::string silence_connections();

    soak_system& system_;
    std::mt19937 random_;
    fault_series series_;
    clock::time_point began_ = clock::now();
    clock::time_point next_;
    std::vector<open_fault> open_;
    std::vector<std::string> history_;
};

} // namespace cuminfold

#endif
