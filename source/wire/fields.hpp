#ifndef CUMINFOLD_WIRE_FIELDS_HPP
#define CUMINFOLD_WIRE_FIELDS_HPP

#include "kernel/message.hpp"
#include "kernel/record.hpp"

/// The field list of each struct that is encoded, once for both directions.
///
/// `fields(visit, value)` calls `visit(name, member)` for each member. A name
/// never changes its meaning; a new member needs a new version.

namespace cuminfold
{

namespace detail
{

template <class V>
void fields(V& v, incarnation& x)
{
    v("node", x.node_);
    v("number", x.number_);
}

template <class V>
void fields(V& v, record_id& x)
{
    v("writer", x.writer_);
    v("sequence", x.sequence_);
}

template <class V>
void fields(V& v, file_edit& x)
{
    v("file", x.file_);
    v("removed", x.removed_);
    v("text", x.text_);
    v("expected", x.expected_revision_);
}

template <class V>
void fields(V& v, config_change& x)
{
    v("author", x.author_);
    v("edits", x.edits_);
}

template <class V>
void fields(V& v, vm_shape& x)
{
    v("cores", x.cores_);
    v("memory_mb", x.memory_mb_);
    v("accelerators", x.accelerators_);
    v("slots", x.slots_);
    v("connections", x.connections_);
}

template <class V>
void fields(V& v, gateway_registered& x)
{
    v("data_centre", x.data_centre_);
    v("address", x.address_);
}

template <class V>
void fields(V& v, gateway_left& x)
{
    v("gateway", x.gateway_);
    v("by_own_word", x.self_reported_);
}

template <class V>
void fields(V& v, vm_added& x)
{
    v("vm", x.vm_);
    v("address", x.address_);
    v("data_centre", x.data_centre_);
    v("rack", x.rack_);
    v("shape", x.shape_);
}

template <class V>
void fields(V& v, vm_removed& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
}

template <class V>
void fields(V& v, vm_assigned& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
    v("pool", x.pool_);
    v("why", x.cause_);
}

template <class V>
void fields(V& v, move_released& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
    v("to", x.to_);
    v("why", x.cause_);
}

template <class V>
void fields(V& v, move_assigned& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
}

template <class V>
void fields(V& v, move_cancelled& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
}

template <class V>
void fields(V& v, vm_acknowledged& x)
{
    v("vm", x.vm_);
    v("released", x.released_);
}

template <class V>
void fields(V& v, drain_granted& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
    v("wave", x.wave_);
}

template <class V>
void fields(V& v, drain_started& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
}

template <class V>
void fields(V& v, drain_withdrawn& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
    v("why", x.cause_);
}

template <class V>
void fields(V& v, reboot_decided& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
    v("boot", x.boot_);
}

template <class V>
void fields(V& v, vm_returned& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
}

template <class V>
void fields(V& v, vm_health& x)
{
    v("vm", x.vm_);
    v("expected", x.expected_);
    v("up", x.up_);
}

template <class V>
void fields(V& v, data_centre_heard& x)
{
    v("data_centre", x.data_centre_);
    v("heard", x.heard_);
}

template <class V>
void fields(V& v, wave_stopped& x)
{
    v("wave", x.wave_);
    v("why", x.cause_);
}

template <class V>
void fields(V& v, job_request& x)
{
    v("service", x.service_);
    v("team", x.team_);
    v("idempotent", x.idempotent_);
    v("urgent", x.urgent_);
    v("declared_run_time", x.declared_run_time_);
    v("cores", x.cores_);
    v("memory_mb", x.memory_mb_);
    v("accelerators", x.accelerators_);
    v("body", x.body_);
}

template <class V>
void fields(V& v, job_submitted& x)
{
    v("job", x.job_);
    v("request", x.request_);
    v("home", x.home_);
}

template <class V>
void fields(V& v, job_placed& x)
{
    v("job", x.job_);
    v("expected", x.expected_);
    v("attempt", x.attempt_);
    v("vm", x.vm_);
    v("vm_generation", x.vm_generation_);
    v("lease", x.lease_);
}

template <class V>
void fields(V& v, job_checkpointed& x)
{
    v("job", x.job_);
    v("attempt", x.attempt_);
    v("checkpoint", x.checkpoint_);
    v("stopped", x.stopped_);
}

template <class V>
void fields(V& v, attempt_ended& x)
{
    v("job", x.job_);
    v("attempt", x.attempt_);
    v("end", x.end_);
    v("detail", x.detail_);
}

template <class V>
void fields(V& v, job_closed& x)
{
    v("job", x.job_);
    v("expected", x.expected_);
    v("why", x.cause_);
}

template <class V>
void fields(V& v, jobs_cancelled& x)
{
    v("jobs", x.jobs_);
}

template <class V>
void fields(V& v, jobs_forgotten& x)
{
    v("up_to", x.up_to_);
}

template <class V>
void fields(V& v, claim_opened& x)
{
    v("key", x.key_);
    v("body_digest", x.body_digest_);
    v("request", x.request_);
}

template <class V>
void fields(V& v, claim_abandoned& x)
{
    v("key", x.key_);
}

template <class V>
void fields(V& v, claim_answered& x)
{
    v("key", x.key_);
    v("status", x.status_);
    v("content_type", x.content_type_);
    v("kept", x.kept_);
    v("answer", x.answer_);
}

template <class V>
void fields(V& v, claim_unknown& x)
{
    v("key", x.key_);
    v("gateway", x.gateway_);
    v("why", x.cause_);
}

template <class V>
void fields(V& v, claims_forgotten& x)
{
    v("up_to", x.up_to_);
}

template <class V>
void fields(V& v, snapshot_chunk& x)
{
    v("stream", x.stream_);
    v("next", x.next_);
    v("index", x.index_);
    v("count", x.count_);
    v("digest", x.digest_);
    v("bytes", x.bytes_);
}

template <class V>
void fields(V& v, hello& x)
{
    v("version", x.version_);
    v("node", x.node_);
    v("role", x.role_);
    v("data_centre", x.data_centre_);
    v("address", x.address_);
}

template <class V>
void fields(V& v, member_update& x)
{
    v("node", x.node_);
    v("role", x.role_);
    v("data_centre", x.data_centre_);
    v("address", x.address_);
    v("status", x.status_);
    v("version", x.version_);
    v("config_next", x.config_next_);
}

template <class V>
void fields(V& v, heard_data_centre& x)
{
    v("data_centre", x.data_centre_);
    v("ago", x.ago_);
}

template <class V>
void fields(V& v, applied_offsets& x)
{
    v("config_next", x.config_next_);
    v("fleet_next", x.fleet_next_);
}

template <class V>
void fields(V& v, heartbeat& x)
{
    v("from", x.from_);
    v("sequence", x.sequence_);
    v("applied", x.applied_);
    v("members_digest", x.members_digest_);
    v("news", x.updates_);
    v("log_reachable", x.log_reachable_);
    v("heard", x.heard_);
}

template <class V>
void fields(V& v, members_request& x)
{
    v("from", x.from_);
}

template <class V>
void fields(V& v, vm_hint& x)
{
    v("vm", x.vm_);
    v("leaving", x.leaving_);
}

template <class V>
void fields(V& v, log_read& x)
{
    v("stream", x.stream_);
    v("from", x.from_);
    v("limit", x.limit_);
    v("wait", x.wait_);
}

template <class V>
void fields(V& v, log_entry& x)
{
    v("offset", x.offset_);
    v("records", x.records_);
}

template <class V>
void fields(V& v, log_read_result& x)
{
    v("stream", x.stream_);
    v("from", x.from_);
    v("status", x.status_);
    v("entries", x.entries_);
    v("earliest", x.earliest_);
    v("end", x.end_);
}

template <class V>
void fields(V& v, log_append& x)
{
    v("stream", x.stream_);
    v("ticket", x.ticket_);
    v("records", x.records_);
}

template <class V>
void fields(V& v, log_append_result& x)
{
    v("stream", x.stream_);
    v("ticket", x.ticket_);
    v("status", x.status_);
    v("offset", x.offset_);
}

template <class V>
void fields(V& v, relayed_read& x)
{
    v("ticket", x.ticket_);
    v("read", x.read_);
}

template <class V>
void fields(V& v, relayed_read_result& x)
{
    v("ticket", x.ticket_);
    v("result", x.result_);
}

template <class V>
void fields(V& v, relayed_append& x)
{
    v("ticket", x.ticket_);
    v("append", x.append_);
}

template <class V>
void fields(V& v, relayed_append_result& x)
{
    v("ticket", x.ticket_);
    v("result", x.result_);
}

template <class V>
void fields(V& v, state_request& x)
{
    v("stream", x.stream_);
    v("at_least", x.at_least_);
}

template <class V>
void fields(V& v, state_reply& x)
{
    v("from", x.from_);
    v("chunk", x.chunk_);
}

/// The highest value of an enumeration that is encoded.
template <class E>
struct enum_last;

template <>
struct enum_last<reason>
{
    static constexpr auto value =
        static_cast<reason>(static_cast<int>(reason::total) - 1);
};
template <>
struct enum_last<attempt_end>
{
    static constexpr auto value = attempt_end::unknown;
};
template <>
struct enum_last<node_role>
{
    static constexpr auto value = node_role::controller;
};
template <>
struct enum_last<member_status>
{
    static constexpr auto value = member_status::left;
};
template <>
struct enum_last<log_read_status>
{
    static constexpr auto value = log_read_status::unavailable;
};
template <>
struct enum_last<log_append_status>
{
    static constexpr auto value = log_append_status::unknown;
};

/// The name of each kind on the wire.
template <class T>
struct kind_name;

#define CUMINFOLD_KIND(type)                                                   \
    template <>                                                                \
    struct kind_name<type>                                                     \
    {                                                                          \
        static constexpr char const* value = #type;                            \
    }

CUMINFOLD_KIND(config_change);
CUMINFOLD_KIND(gateway_registered);
CUMINFOLD_KIND(gateway_left);
CUMINFOLD_KIND(vm_added);
CUMINFOLD_KIND(vm_removed);
CUMINFOLD_KIND(vm_assigned);
CUMINFOLD_KIND(move_released);
CUMINFOLD_KIND(move_assigned);
CUMINFOLD_KIND(move_cancelled);
CUMINFOLD_KIND(vm_acknowledged);
CUMINFOLD_KIND(drain_granted);
CUMINFOLD_KIND(drain_started);
CUMINFOLD_KIND(drain_withdrawn);
CUMINFOLD_KIND(reboot_decided);
CUMINFOLD_KIND(vm_returned);
CUMINFOLD_KIND(vm_health);
CUMINFOLD_KIND(data_centre_heard);
CUMINFOLD_KIND(wave_stopped);
CUMINFOLD_KIND(job_submitted);
CUMINFOLD_KIND(job_placed);
CUMINFOLD_KIND(job_checkpointed);
CUMINFOLD_KIND(attempt_ended);
CUMINFOLD_KIND(job_closed);
CUMINFOLD_KIND(jobs_cancelled);
CUMINFOLD_KIND(jobs_forgotten);
CUMINFOLD_KIND(claim_opened);
CUMINFOLD_KIND(claim_abandoned);
CUMINFOLD_KIND(claim_answered);
CUMINFOLD_KIND(claim_unknown);
CUMINFOLD_KIND(claims_forgotten);
CUMINFOLD_KIND(snapshot_chunk);
CUMINFOLD_KIND(hello);
CUMINFOLD_KIND(heartbeat);
CUMINFOLD_KIND(members_request);
CUMINFOLD_KIND(vm_hint);
CUMINFOLD_KIND(relayed_read);
CUMINFOLD_KIND(relayed_read_result);
CUMINFOLD_KIND(relayed_append);
CUMINFOLD_KIND(relayed_append_result);
CUMINFOLD_KIND(state_request);
CUMINFOLD_KIND(state_reply);

#undef CUMINFOLD_KIND

} // namespace detail

} // namespace cuminfold

#endif
