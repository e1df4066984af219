#ifndef CUMINFOLD_WORKER_WORKER_FAULTS_HPP
#define CUMINFOLD_WORKER_WORKER_FAULTS_HPP

#include "kernel/time.hpp"
#include "transport/http_message.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace cuminfold
{

/// Faults of a worker that can be switched on while it runs.
struct worker_faults
{
    bool fail_all_ = false;      ///< answers 500 at once
    bool hang_ = false;          ///< never answers
    bool swap_ids_ = false;      ///< answers name another request
    bool unhealthy_ = false;     ///< probes say so
    bool leaving_ = false;       ///< answers say that it is leaving
    bool truncate_ = false;      ///< answers end in the middle of the body
    bool duplicate_ = false;     ///< answers are sent twice
    bool oversize_ = false;      ///< answers are over any caller's limit
    bool garbage_ = false;       ///< answers are no HTTP
    std::uint32_t slowdown_ = 1; ///< factor of the run times
    duration late_{0};           ///< time after a run before its answer
    /// Fails all in every other span of this length; zero: never.
    duration flap_{0};

    /// Whether a run that starts now fails.
    bool fails_at(time_point now) const;
};

/// Takes over the faults that a JSON object names; the others stay.
void update_faults(worker_faults& faults, nlohmann::json const& changes);

/// The answer to a run as the faults make it.
http_response spoil(worker_faults const& faults, http_response response);

} // namespace cuminfold

#endif
