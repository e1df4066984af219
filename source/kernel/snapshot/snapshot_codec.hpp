#ifndef CUMINFOLD_KERNEL_SNAPSHOT_SNAPSHOT_CODEC_HPP
#define CUMINFOLD_KERNEL_SNAPSHOT_SNAPSHOT_CODEC_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/fleet/fleet_state.hpp"

#include <optional>
#include <string>

namespace cuminfold
{

/// What a snapshot of the stream `fleet` holds: the fold's state, and the
/// configuration by which it judges records that name no newer one.
struct fleet_snapshot
{
    fleet_data fleet_;
    config_pin pin_;
};

/// States to bytes and back. Equal states give equal bytes, whatever the way
/// that led to them.
class snapshot_codec
{
public:
    snapshot_codec() = default;
    snapshot_codec(snapshot_codec const&) = delete;
    snapshot_codec& operator=(snapshot_codec const&) = delete;
    virtual ~snapshot_codec() = default;

    virtual std::string encode(config_data const& data) const = 0;
    virtual std::string encode(fleet_snapshot const& data) const = 0;
    /// Empty: the bytes are not such a state, or of another version.
    virtual std::optional<config_data>
    decode_config(std::string const& bytes) const = 0;
    virtual std::optional<fleet_snapshot>
    decode_fleet(std::string const& bytes) const = 0;
};

} // namespace cuminfold

#endif
