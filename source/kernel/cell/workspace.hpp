#ifndef CUMINFOLD_KERNEL_CELL_WORKSPACE_HPP
#define CUMINFOLD_KERNEL_CELL_WORKSPACE_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/identifier.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace cuminfold
{

/// Digest of an API key. Keys themselves stay in the configuration and in the
/// client's request.
using key_digest = identifier<struct key_digest_tag>;

/// What the operators' configuration grants a workspace.
struct workspace_policy
{
    workspace_name name_;
    /// Limit on what all its tasks occupy at the same time; 0: no limit.
    resource_amount limit_;
    /// Jobs per second that it is entitled to, and its share when room is
    /// short; 0: neither.
    std::uint32_t weight_ = 0;
};

/// The workspaces of one version of the configuration.
struct workspace_directory
{
    std::map<workspace_name, workspace_policy> workspaces_;
    /// The keys' digests are looked up, so that the time of a comparison tells
    /// nothing about a key.
    std::map<key_digest, workspace_name> keys_;
};

} // namespace cuminfold

#endif
