#ifndef CUMINFOLD_TESTS_SOAK_SOAK_CLIENTS_HPP
#define CUMINFOLD_TESTS_SOAK_SOAK_CLIENTS_HPP

#include "http_caller.hpp"
#include "soak/soak_oracle.hpp"
#include "soak/soak_system.hpp"

#include <cstddef>
#include <cstdint>
#include <future>
#include <random>
#include <string>
#include <vector>

namespace cuminfold
{

/// Clients that hand jobs in, repeat what got no clear answer, ask for states
/// and cancel. They keep their connections until the other side ends them.
class soak_clients
{
public:
    /// @param long_tasks some tasks run for longer than leases last
    soak_clients(soak_system& system, soak_oracle& oracle, std::uint32_t seed,
                 bool long_tasks);

    /// Takes answers and sends what is due.
    /// @param more whether further jobs are handed in
    /// @param authorization header of each call; empty: none
    void tick(bool more, std::string const& authorization);

    /// Jobs whose client still waits for something.
    std::size_t open() const
    {
        return jobs_.size();
    }
    std::size_t asked() const
    {
        return next_number_;
    }
    std::size_t accepted() const
    {
        return accepted_;
    }
    std::size_t rejected() const
    {
        return rejected_;
    }

private:
    using clock = std::chrono::steady_clock;

    enum class job_phase
    {
        handing_in,
        waiting,
        cancelling,
        over
    };

    struct client_job
    {
        std::string id_;
        std::string body_;
        job_phase phase_ = job_phase::handing_in;
        bool long_running_ = false;
        /// Some attempt may have been taken.
        bool open_outcome_ = false;
        std::uint32_t attempts_ = 0;
        clock::time_point next_{};
        clock::time_point sent_{};
        /// When its client cancels it, if it does.
        clock::time_point cancel_at_ = clock::time_point::max();
        std::future<http_result> answer_;
    };

    void add();
    void send(client_job& job, std::string const& authorization);
    void take(client_job& job, http_result const& result);
    void take_submission(client_job& job, http_result const& result);
    std::uint32_t draw(std::uint32_t limit);

    soak_system& system_;
    soak_oracle& oracle_;
    std::mt19937 random_;
    bool long_tasks_;
    http_caller caller_;
    std::vector<client_job> jobs_;
    std::size_t next_number_ = 0;
    std::size_t accepted_ = 0;
    std::size_t rejected_ = 0;
    clock::time_point next_job_{};
};

} // namespace cuminfold

#endif
