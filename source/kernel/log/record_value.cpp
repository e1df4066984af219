#include "kernel/log/record_value.hpp"

#include <array>
#include <variant>

namespace cuminfold
{

namespace
{

/// In the order of `record_body`.
constexpr std::array<char const*, std::variant_size_v<record_body>> kinds = {
    "config_change",   "gateway_registered", "gateway_left",
    "vm_added",        "vm_removed",         "vm_assigned",
    "move_released",   "move_assigned",      "move_cancelled",
    "vm_acknowledged", "drain_granted",      "drain_started",
    "drain_withdrawn", "reboot_decided",     "vm_returned",
    "vm_health",       "data_centre_heard",  "wave_stopped",
    "job_submitted",   "job_placed",         "job_checkpointed",
    "attempt_ended",   "job_closed",         "jobs_cancelled",
    "jobs_forgotten",  "claim_opened",       "claim_abandoned",
    "claim_answered",  "claim_unknown",      "claims_forgotten",
    "snapshot_chunk",  "unknown_body"};

static_assert(kinds.back() != nullptr, "each kind has its name");

} // namespace

bool is_low_value(record_body const& body)
{
    return std::holds_alternative<snapshot_chunk>(body) ||
           std::holds_alternative<jobs_forgotten>(body) ||
           std::holds_alternative<claims_forgotten>(body) ||
           std::holds_alternative<job_checkpointed>(body);
}

std::size_t text_bytes(record_body const& body)
{
    if (auto const* chunk = std::get_if<snapshot_chunk>(&body))
    {
        return chunk->bytes_.size();
    }
    if (auto const* job = std::get_if<job_submitted>(&body))
    {
        return job->request_.body_.size();
    }
    if (auto const* answer = std::get_if<claim_answered>(&body))
    {
        return answer->answer_.size();
    }
    if (auto const* saved = std::get_if<job_checkpointed>(&body))
    {
        return saved->checkpoint_.size();
    }
    std::size_t bytes = 0;
    if (auto const* change = std::get_if<config_change>(&body))
    {
        for (auto const& edit : change->edits_)
        {
            bytes += edit.text_.size();
        }
    }
    return bytes;
}

char const* kind_of(record_body const& body)
{
    return kinds[body.index()];
}

} // namespace cuminfold
