#ifndef CUMINFOLD_WIRE_CELL_FIELDS_HPP
#define CUMINFOLD_WIRE_CELL_FIELDS_HPP

#include "kernel/cell/cell_action.hpp"
#include "kernel/cell/client_call.hpp"
#include "kernel/cell/job_definition.hpp"
#include "kernel/cell/owner_record.hpp"
#include "wire/json_codec.hpp"

/// The field lists of a cell's structs; see wire/fields.hpp. Names are short
/// since each stored byte is paid for.

namespace cuminfold
{

namespace detail
{

template <>
struct enum_last<job_status>
{
    static constexpr job_status value = job_status::cancelled;
};
template <>
struct enum_last<answer_kind>
{
    static constexpr answer_kind value = answer_kind::forbidden;
};
template <>
struct enum_last<client_verb>
{
    static constexpr client_verb value = client_verb::other;
};

template <>
struct enum_last<credential_kind>
{
    static constexpr credential_kind value = credential_kind::key;
};

template <>
struct codec<calendar_time>
{
    static json encode(calendar_time value)
    {
        return value.time_since_epoch().count();
    }
    static void decode(json const& from, calendar_time& value)
    {
        std::int64_t count = 0;
        codec<std::int64_t>::decode(from, count);
        value = calendar_time{std::chrono::milliseconds{count}};
    }
};

template <class V>
void fields(V& v, resource_amount& x)
{
    v("c", x.cpu_milli_);
    v("m", x.memory_mb_);
    v("a", x.accelerators_);
}

template <class V>
void fields(V& v, job_step& x)
{
    v("n", x.tasks_);
    v("r", x.each_);
    v("t", x.estimate_);
    v("d", x.after_);
    v("l", x.label_);
    v("k", x.data_rack_);
    v("i", x.image_);
    v("w", x.per_worker_);
    v("u", x.max_unavailable_);
    v("q", x.tail_target_);
    v("cp", x.checkpointing_);
    v("g", x.gang_);
    v("sr", x.same_rack_);
    v("ca", x.copies_allowed_);
    v("la", x.long_running_);
    v("f", x.best_effort_);
}

template <class V>
void fields(V& v, job_definition& x)
{
    v("id", x.id_);
    v("q", x.route_);
    v("p", x.pool_);
    v("m", x.max_attempts_);
    v("x", x.text_);
    v("s", x.steps_);
    v("o", x.occurrences_);
    v("f", x.first_run_);
    v("i", x.interval_);
    v.optional("ws", x.workspace_);
}

/// A row of plain values, without names: progress is written often.
template <>
struct codec<task_record>
{
    static json encode(task_record const& x)
    {
        return json::array({x.task_.occurrence_, x.task_.step_, x.task_.index_,
                            x.run_, x.failures_, x.done_, x.worker_,
                            x.checkpoint_});
    }
    static void decode(json const& from, task_record& x)
    {
        constexpr std::size_t columns = 8;
        if (!from.is_array() || from.size() != columns ||
            !from[6].is_string() || !from[7].is_string())
        {
            throw decode_error("not a task's row");
        }
        codec<std::uint32_t>::decode(from[0], x.task_.occurrence_);
        codec<std::uint32_t>::decode(from[1], x.task_.step_);
        codec<std::uint32_t>::decode(from[2], x.task_.index_);
        codec<std::uint32_t>::decode(from[3], x.run_);
        codec<std::uint32_t>::decode(from[4], x.failures_);
        codec<bool>::decode(from[5], x.done_);
        x.worker_ = from[6].get<std::string>();
        x.checkpoint_ = from[7].get<std::string>();
    }
};

template <class V>
void fields(V& v, job_progress& x)
{
    v("s", x.status_);
    v("t", x.tasks_);
    v.optional("ws", x.workspace_);
}

template <class V>
void fields(V& v, node_record& x)
{
    v("address", x.address_);
    v("cpu", x.cpu_milli_);
}

template <class V>
void fields(V& v, owner_record& x)
{
    v("epoch", x.epoch_);
    v("node", x.node_);
    v("address", x.address_);
    v("beat", x.heartbeat_);
    v("resigned", x.resigned_);
}

template <class V>
void fields(V& v, credential& x)
{
    v("k", x.kind_);
    v("d", x.digest_);
}

template <class V>
void fields(V& v, client_call& x)
{
    v("verb", x.verb_);
    v("host", x.host_);
    v("path", x.path_);
    v("job", x.job_);
    v("left", x.time_left_);
    v("floor", x.config_floor_);
    v.optional("key", x.credential_);
}

template <class V>
void fields(V& v, client_answer& x)
{
    v("kind", x.kind_);
    v("standing", x.status_);
    v("pending", x.pending_);
    v("retry", x.retry_after_);
    v("again", x.retry_soon_);
    v("why", x.cause_);
    v("config", x.config_version_);
}

template <class V>
void fields(V& v, peer_ping& x)
{
    v("node", x.node_);
    v("life", x.incarnation_);
    v("epoch", x.epoch_);
    v("owner", x.owner_address_);
    v("owning", x.owning_);
    v("unconfirmed", x.unconfirmed_);
}

template <class V>
void fields(V& v, forwarded_calls& x)
{
    v("life", x.incarnation_);
    v("calls", x.numbers_);
}

} // namespace detail

} // namespace cuminfold

#endif
