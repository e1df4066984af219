#ifndef CUMINFOLD_TESTS_PROOF_ORACLE_HPP
#define CUMINFOLD_TESTS_PROOF_ORACLE_HPP

#include "kernel/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace cuminfold
{

/// The eight promises of the brief, as checks over what is seen at the fakes.
///
/// The oracle knows names and counts only. It calls no kernel and no fold: what
/// is right comes from the operators' files as the world wrote them, from the
/// workers and from the platform. Each breach is a line that names its check.
class oracle
{
public:
    /// One pool as the operators declared it.
    struct pool
    {
        std::uint32_t need_ = 0;
        bool rack_reserve_ = false;
    };

    /// One VM as it truly is.
    struct vm
    {
        std::string pool_; ///< as the latest view says
        std::string rack_;
        bool up_ = true;
        /// In a planned stop or a move, from its start on.
        bool planned_out_ = false;
    };

    /// Who said that a VM is leaving.
    enum class leaving_source
    {
        log,
        worker
    };

    // What the fakes saw.

    void run_started(std::string const& vm, std::string const& pool,
                     std::string const& request, std::string const& key,
                     bool idempotent);
    void run_ended(std::string const& vm, std::string const& request);
    /// The caller has its final answer, or is gone.
    void request_over(std::string const& request);
    void answered(std::string const& request, std::string const& body);
    void refused_as_not_run(std::string const& request);
    /// The VM failed, and all that ran on it is gone.
    void vm_lost(std::string const& vm);
    void rebooted(std::string const& vm, std::size_t tasks);
    /// A gateway was told by a source that the VM is leaving.
    void told_leaving(time_point now, std::string const& gateway,
                      std::string const& vm, leaving_source source);
    void no_longer_leaving(std::string const& gateway, std::string const& vm,
                           leaving_source source);
    void dispatched(time_point now, std::string const& gateway,
                    std::string const& vm);
    /// A node's view: config version and VM to pool at a fleet offset.
    void saw_config(std::string const& life, std::uint64_t next,
                    std::string const& content);
    void saw_pools(std::uint64_t fleet_next,
                   std::map<std::string, std::string> const& vm_to_pool);
    /// The true state of a pool's VMs while a planned stop is under way.
    void saw_fleet(std::map<std::string, pool> const& pools,
                   std::vector<vm> const& vms);
    /// An accepted change was not everywhere in time, with all links up.
    void config_late(std::string const& life);
    /// A request that still had no answer at the very end.
    void never_answered(std::string const& request);

    std::vector<std::string> const& breaches() const noexcept
    {
        return breaches_;
    }

    /// Times that each check looked at something.
    std::map<std::string, std::uint64_t> const& looks() const noexcept
    {
        return looks_;
    }

private:
    void breach(std::string const& check, std::string const& what);

    struct running
    {
        std::string pool_;
        std::set<std::string> requests_;
    };

    std::vector<std::string> breaches_;
    std::map<std::string, std::uint64_t> looks_;
    std::map<std::string, running> running_;
    std::set<std::string> started_;
    std::set<std::string> refused_;
    std::map<std::string, std::uint32_t> runs_by_key_;
    std::map<std::tuple<std::string, std::string, leaving_source>, time_point>
        leaving_;
    std::map<std::string, std::uint64_t> config_next_;
    std::map<std::uint64_t, std::string> config_content_;
    std::map<std::uint64_t, std::map<std::string, std::string>> pools_at_;
};

} // namespace cuminfold

#endif
