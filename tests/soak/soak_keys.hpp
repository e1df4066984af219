#ifndef CUMINFOLD_TESTS_SOAK_SOAK_KEYS_HPP
#define CUMINFOLD_TESTS_SOAK_SOAK_KEYS_HPP

#include "http_caller.hpp"
#include "soak/soak_oracle.hpp"
#include "soak/soak_system.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <future>
#include <random>
#include <string>

namespace cuminfold
{

/// The operator of a workspace whose key changes all the time, and callers that
/// still use the key before or one that never existed.
class soak_keys
{
public:
    /// @param enabled whether the deployment has workspaces
    soak_keys(soak_system& system, soak_oracle& oracle, std::uint32_t seed,
              bool enabled);

    void tick();

    /// The header of clients that know the newest key; empty without
    /// workspaces.
    std::string authorization() const;

private:
    using clock = std::chrono::steady_clock;

    void publish();
    void probe();
    void take_probe();

    soak_system& system_;
    soak_oracle& oracle_;
    std::mt19937 random_;
    bool enabled_;
    http_caller caller_;
    /// The newest key, and the newest that was revoked.
    std::size_t newest_ = 1;
    std::size_t revoked_ = 0;
    clock::time_point revoked_at_{};
    clock::time_point next_change_{};

    std::future<http_result> probe_;
    std::string probe_name_;
    /// Whether the probe must not succeed.
    bool probe_is_invalid_ = false;
    std::size_t probes_ = 0;
};

} // namespace cuminfold

#endif
