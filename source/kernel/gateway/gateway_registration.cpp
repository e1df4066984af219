#include "kernel/gateway/gateway_registration.hpp"

#include <algorithm>

namespace cuminfold
{

void gateway_registration::poll(gateway_log& log)
{
    if (leaving_since_ || is_registered(log) || !log.caught_up())
    {
        return;
    }
    if (proposed_)
    {
        auto const& registered = log.fleet().gateways().all();
        bool const replaced = registered.count(settings_->self_.node_) != 0;
        if (replaced || !log.fleet_writer().settled(*proposed_))
        {
            return;
        }
    }
    proposed_ = log.fleet_writer().propose(
        gateway_registered{settings_->data_centre_, settings_->address_});
}

void gateway_registration::leave(time_point now, gateway_log& log)
{
    if (leaving_since_)
    {
        return;
    }
    leaving_since_ = now;
    if (!proposed_ || log.fleet_writer().withdraw(*proposed_))
    {
        proposed_.reset();
        return;
    }
    log.fleet_writer().propose(gateway_left{settings_->self_, true});
}

bool gateway_registration::has_left(time_point now,
                                    gateway_log const& log) const
{
    if (!leaving_since_)
    {
        return false;
    }
    bool const registered =
        proposed_.has_value() && (is_registered(log) || !log.caught_up());
    return !registered || is_leave_timed_out(now);
}

bool gateway_registration::is_leave_timed_out(time_point now) const
{
    return leaving_since_ &&
           now - *leaving_since_ >= settings_->requests_.leave_wait_;
}

bool gateway_registration::is_registered(gateway_log const& log) const
{
    return log.fleet().gateways().is_registered(settings_->self_);
}

bool gateway_registration::may_dispatch(time_point now,
                                        gateway_log const& log) const
{
    if (is_registered(log))
    {
        return true;
    }
    if (leaving_since_ ||
        !log.is_unreachable_for(now, settings_->requests_.log_lost_after_))
    {
        return false;
    }
    auto const& registered = log.fleet().gateways().all();
    return std::none_of(
        registered.begin(), registered.end(),
        [&](auto const& item)
        { return item.second.data_centre_ == settings_->data_centre_; });
}

} // namespace cuminfold
