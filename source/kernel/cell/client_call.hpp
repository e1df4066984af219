#ifndef CUMINFOLD_KERNEL_CELL_CLIENT_CALL_HPP
#define CUMINFOLD_KERNEL_CELL_CLIENT_CALL_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <string>

namespace cuminfold
{

enum class client_verb : std::uint8_t
{
    submit,
    read, ///< a job's standing, or a queue's count if the path names no job
    cancel,
    other
};

/// A client's request, before its queue is known.
struct client_call
{
    client_verb verb_ = client_verb::other;
    std::string host_;
    std::string path_;
    /// For `submit` only; its id and queue are taken from the path later.
    job_definition job_;
    /// How long the client waits for the answer.
    duration time_left_{0};
    /// The answer must rest on this version of the configuration or a newer
    /// one.
    std::uint64_t config_floor_ = 0;
};

/// Finds the job that a path below a route's prefix names.
/// @return the id; empty if the path is the prefix itself
/// @param[out] valid false if the rest of the path is no job's id
inline job_id job_id_from_path(std::string const& path,
                               std::string const& prefix, bool& valid)
{
    constexpr std::size_t id_digits = 16;
    auto const rest = path.substr(prefix.size());
    valid = rest.empty() || (rest.size() == id_digits &&
                             rest.find_first_not_of("0123456789abcdefABCDEF") ==
                                 std::string::npos);
    return job_id{rest};
}

} // namespace cuminfold

#endif
