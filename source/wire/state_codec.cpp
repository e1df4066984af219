#include "wire/state_codec.hpp"

#include "wire/state_fields.hpp"

#include <utility>

namespace cuminfold
{

namespace
{

using detail::json;

std::string write_state(char const* kind, json state)
{
    return detail::write_cbor(json{{"version", state_version},
                                   {"kind", kind},
                                   {"state", std::move(state)}});
}

template <class T>
std::optional<T> read_state(char const* kind, std::string const& bytes)
{
    try
    {
        json const from = detail::parse_cbor(bytes);
        if (!from.is_object() || from.value("kind", json()) != json(kind) ||
            from.value("version", json()) != json(state_version))
        {
            return std::nullopt;
        }
        T state;
        detail::decode(from.value("state", json()), state);
        return state;
    }
    catch (decode_error const&)
    {
        return std::nullopt;
    }
}

detail::fleet_image make_image(fleet_snapshot const& from)
{
    fleet_data const& data = from.fleet_;
    detail::fleet_image image;
    image.next_ = data.next_;
    image.order_ = data.order_;
    image.config_floor_ = data.config_floor_;
    image.window_ = data.window_;
    image.gateways_ = data.gateways_.all();
    image.vms_ = data.vms_.all();
    image.unreachable_ = data.vms_.unreachable();
    image.jobs_ = data.jobs_.all();
    image.stopped_waves_ = data.stopped_waves_;
    image.unknown_kinds_ = data.unknown_kinds_;
    image.pin_ = from.pin_;
    return image;
}

class cbor_state_codec : public snapshot_codec
{
public:
    std::string encode(config_data const& data) const override
    {
        return write_state("config", detail::encode(data));
    }

    std::string encode(fleet_snapshot const& data) const override
    {
        return write_state("fleet", detail::encode(make_image(data)));
    }

    std::optional<config_data>
    decode_config(std::string const& bytes) const override
    {
        return read_state<config_data>("config", bytes);
    }

    std::optional<fleet_snapshot>
    decode_fleet(std::string const& bytes) const override
    {
        auto image = read_state<detail::fleet_image>("fleet", bytes);
        if (!image)
        {
            return std::nullopt;
        }
        fleet_snapshot result;
        fleet_data& data = result.fleet_;
        data.next_ = image->next_;
        data.order_ = image->order_;
        data.config_floor_ = image->config_floor_;
        data.window_ = std::move(image->window_);
        data.gateways_.restore(std::move(image->gateways_));
        data.vms_.restore(std::move(image->vms_),
                          std::move(image->unreachable_));
        data.jobs_.restore(std::move(image->jobs_));
        data.stopped_waves_ = std::move(image->stopped_waves_);
        data.unknown_kinds_ = std::move(image->unknown_kinds_);
        result.pin_ = std::move(image->pin_);
        return result;
    }
};

} // namespace

std::shared_ptr<snapshot_codec const> make_state_codec()
{
    return std::make_shared<cbor_state_codec>();
}

} // namespace cuminfold
