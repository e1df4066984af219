#ifndef CUMINFOLD_KERNEL_CELL_CLIENT_CALL_HPP
#define CUMINFOLD_KERNEL_CELL_CLIENT_CALL_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/workspace.hpp"
#include "kernel/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminfold
{

/// The operation that a client requests.
enum class client_verb : std::uint8_t
{
    submit,
    read, ///< a job's status, or a queue's pending count if the path names no
          ///< job
    cancel,
    other
};

/// What a client's request says of its key.
enum class credential_kind : std::uint8_t
{
    none,
    malformed, ///< another scheme, or no possible key
    key
};

/// The key of a client's request.
struct credential
{
    credential_kind kind_ = credential_kind::none;
    key_digest digest_; ///< of a `key`
};

/// A client's request before its path is matched to a queue.
struct client_call
{
    client_verb verb_ = client_verb::other;
    std::string host_;
    std::string path_;
    /// Set for `submit` only. Its id and queue are later set from the path.
    job_definition job_;
    /// How long the client waits for the answer.
    duration time_left_{0};
    /// Minimum version of the configuration that the answer is based on.
    std::uint64_t config_floor_ = 0;
    /// Not forwarded in a deployment without workspaces.
    std::optional<credential> credential_;
};

/// Whom a call comes from, as far as it decides which jobs it may use.
struct job_caller
{
    /// The workspace of the call's key; null if the call needs none.
    workspace_name const* workspace_ = nullptr;
    /// The queue that the call names.
    std::string route_;
};

/// Parses the job id that follows a route's prefix in a path.
/// @return the id; empty if the path is the prefix itself
/// @param[out] valid false if the rest of the path is not 16 hexadecimal digits
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
