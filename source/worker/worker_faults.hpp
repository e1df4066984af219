#ifndef CUMINFOLD_WORKER_WORKER_FAULTS_HPP
#define CUMINFOLD_WORKER_WORKER_FAULTS_HPP

#include "kernel/time.hpp"
#include "transport/http_message.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace cuminfold
{

/// Faults that the worker stand-in injects. They can be changed while it runs.
struct worker_faults
{
    /// Runs fail with status 500 without delay; new tasks are refused.
    bool fail_all_ = false;
    bool hang_ = false;      ///< requests hold a slot and are never answered
    bool swap_ids_ = false;  ///< responses carry the wrong request id
    bool unhealthy_ = false; ///< the status response reports `healthy: false`
    bool leaving_ = false;   ///< responses announce that the VM is leaving
    bool truncate_ = false;  ///< responses end in the middle of the body
    bool duplicate_ = false; ///< responses are sent twice
    bool oversize_ = false;  ///< response bodies exceed every caller's limit
    bool garbage_ = false;   ///< responses are not valid HTTP
    std::uint32_t slowdown_ = 1; ///< factor applied to run times
    duration late_{0}; ///< delay between the end of a run and its response
    /// Alternates between normal operation and failing every run, switching
    /// after each period of this length. Zero disables it.
    duration flap_{0};

    /// Whether `fail_all_` or `flap_` makes runs fail at this time.
    bool fails_at(time_point now) const;
};

/// Sets the faults that a JSON object names and leaves the others unchanged.
/// Durations are in milliseconds.
/// @throws nlohmann::json::type_error if a value has the wrong type
void update_faults(worker_faults& faults, nlohmann::json const& changes);

/// Applies the first of these faults that is on to a run's response: oversize,
/// garbage, truncate, duplicate.
http_response apply_faults(worker_faults const& faults, http_response response);

} // namespace cuminfold

#endif
