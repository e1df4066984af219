#ifndef CUMINFOLD_WIRE_STATE_FIELDS_HPP
#define CUMINFOLD_WIRE_STATE_FIELDS_HPP

#include "kernel/snapshot/snapshot_codec.hpp"
#include "wire/json_codec.hpp"

#include <deque>
#include <map>
#include <set>
#include <utility>

/// The field lists of what snapshots hold. Each list binds all members of its
/// struct, so that a member which is added there and not here does not
/// compile.

namespace cuminfold
{

namespace detail
{

/// What of a `fleet_snapshot` is encoded; tables are made anew from it.
struct fleet_image
{
    log_offset next_ = 0;
    std::uint64_t order_ = 0;
    log_offset config_floor_ = no_offset;
    record_window window_;
    std::map<node_id, gateway_entry> gateways_;
    std::map<vm_id, vm_entry> vms_;
    std::set<data_centre_name> unreachable_;
    std::map<job_id, job_entry> jobs_;
    std::map<wave_name, reason> stopped_waves_;
    std::set<std::string> unknown_kinds_;
    config_pin pin_;
};

template <>
struct enum_last<vm_phase>
{
    static constexpr auto value = vm_phase::rebooting;
};
template <>
struct enum_last<job_phase>
{
    static constexpr auto value = job_phase::unknown;
};

template <class V>
void fields(V& v, record_window& x)
{
    auto& [last] = x;
    v("last", last);
}

template <class V>
void fields(V& v, config_file& x)
{
    auto& [text, revision, author] = x;
    v("text", text);
    v("revision", revision);
    v("author", author);
}

template <class V>
void fields(V& v, accepted_change& x)
{
    auto& [offset, author, edits] = x;
    v("offset", offset);
    v("author", author);
    v("edits", edits);
}

template <class V>
void fields(V& v, config_data& x)
{
    auto& [base, base_version, changes, window, next] = x;
    v("base", base);
    v("base_version", base_version);
    v("changes", changes);
    v("window", window);
    v("next", next);
}

template <class V>
void fields(V& v, config_pin& x)
{
    auto& [offset, version, files] = x;
    v("offset", offset);
    v("version", version);
    v("files", files);
}

template <class V>
void fields(V& v, gateway_entry& x)
{
    auto& [gateway, data_centre, address, registered_order] = x;
    v("gateway", gateway);
    v("data_centre", data_centre);
    v("address", address);
    v("registered_order", registered_order);
}

template <class V>
void fields(V& v, vm_event& x)
{
    auto& [order, what] = x;
    v("order", order);
    v("what", what);
}

template <class V>
void fields(V& v, vm_entry& x)
{
    auto& [vm, address, data_centre, rack, shape, pool, phase, generation, down,
           target, wave, released, released_order, acknowledged, reboot, boot,
           tasks, maintained, history] = x;
    v("vm", vm);
    v("address", address);
    v("data_centre", data_centre);
    v("rack", rack);
    v("shape", shape);
    v("pool", pool);
    v("phase", phase);
    v("generation", generation);
    v("down", down);
    v("target", target);
    v("wave", wave);
    v("released", released);
    v("released_order", released_order);
    v("acknowledged", acknowledged);
    v("reboot", reboot);
    v("boot", boot);
    v("tasks", tasks);
    v("maintained", maintained);
    v("history", history);
}

template <class V>
void fields(V& v, job_entry& x)
{
    auto& [job, request, home, phase, generation, attempt, vm, lease, placed_by,
           cancel, failed_on, checkpoint, detail, last_offset] = x;
    v("job", job);
    v("request", request);
    v("home", home);
    v("phase", phase);
    v("generation", generation);
    v("attempt", attempt);
    v("vm", vm);
    v("lease", lease);
    v("placed_by", placed_by);
    v("cancel", cancel);
    v("failed_on", failed_on);
    v("checkpoint", checkpoint);
    v("detail", detail);
    v("last_offset", last_offset);
}

template <class V>
void fields(V& v, fleet_image& x)
{
    auto& [next, order, floor, window, gateways, vms, unreachable, jobs,
           stopped, unknown, pin] = x;
    v("next", next);
    v("order", order);
    v("config_floor", floor);
    v("window", window);
    v("gateways", gateways);
    v("vms", vms);
    v("unheard", unreachable);
    v("jobs", jobs);
    v("stopped_waves", stopped);
    v("unknown_kinds", unknown);
    v("pin", pin);
}

/// Maps travel as arrays of pairs, in the order of their keys.
template <class Key, class Value>
struct codec<std::map<Key, Value>>
{
    static json encode(std::map<Key, Value> const& values)
    {
        json result = json::array();
        for (auto const& item : values)
        {
            result.push_back(json::array({codec<Key>::encode(item.first),
                                          codec<Value>::encode(item.second)}));
        }
        return result;
    }
    static void decode(json const& from, std::map<Key, Value>& values)
    {
        if (!from.is_array())
        {
            throw decode_error("not an array");
        }
        values.clear();
        for (auto const& item : from)
        {
            if (!item.is_array() || item.size() != 2)
            {
                throw decode_error("not a pair");
            }
            Key key;
            codec<Key>::decode(item[0], key);
            codec<Value>::decode(item[1], values[key]);
        }
    }
};

/// Sets and deques travel as arrays.
template <class T>
struct codec<std::set<T>>
{
    static json encode(std::set<T> const& values)
    {
        return codec<std::vector<T>>::encode(
            std::vector<T>(values.begin(), values.end()));
    }
    static void decode(json const& from, std::set<T>& values)
    {
        std::vector<T> items;
        codec<std::vector<T>>::decode(from, items);
        values = std::set<T>(items.begin(), items.end());
    }
};

template <class T>
struct codec<std::deque<T>>
{
    static json encode(std::deque<T> const& values)
    {
        return codec<std::vector<T>>::encode(
            std::vector<T>(values.begin(), values.end()));
    }
    static void decode(json const& from, std::deque<T>& values)
    {
        std::vector<T> items;
        codec<std::vector<T>>::decode(from, items);
        values = std::deque<T>(items.begin(), items.end());
    }
};

} // namespace detail

} // namespace cuminfold

#endif
