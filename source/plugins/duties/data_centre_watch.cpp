#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/proposal_guard.hpp"
#include "kernel/membership/membership.hpp"
#include "kernel/registry.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <variant>

namespace cuminfold
{

namespace
{

/// A data centre counts as reachable again after steady contact for this time,
/// so that a link that flaps causes no records.
constexpr duration min_steady_contact = std::chrono::seconds{5};
/// A longer gap between messages ends steady contact.
constexpr duration max_contact_gap = std::chrono::seconds{2};

/// Records that another data centre is unreachable, so that its VMs count as
/// down for budgets, and that it is reachable again.
class data_centre_watch : public controller_duty
{
public:
    void handle(duty_context& context, controller_event const& event) override
    {
        if (!std::holds_alternative<tick>(event))
        {
            return;
        }
        for (auto const& data_centre : context.members_.data_centres())
        {
            if (data_centre != context.settings_.data_centre_)
            {
                evaluate(context, data_centre);
            }
        }
    }

private:
    void evaluate(duty_context& context, data_centre_name const& data_centre)
    {
        duration const silence =
            context.now_ - *context.members_.last_heard(data_centre);
        auto const since =
            steady_since_.emplace(data_centre, context.now_).first;
        if (silence > max_contact_gap)
        {
            since->second = context.now_;
        }
        bool const recorded_unreachable =
            context.fleet_.vms().unreachable().count(data_centre) != 0;
        std::string const name = "heard-" + data_centre.text();
        duration const wait =
            context.settings_.rank_step_ * context.rank_of_all(name);
        bool const lost = !recorded_unreachable &&
                          silence >= context.settings_.unheard_after_ + wait;
        bool const restored =
            recorded_unreachable &&
            context.now_ - since->second >= min_steady_contact + wait;
        if (!context.ready_ || (!lost && !restored) ||
            guard_.waits(context.fleet_writer_, name))
        {
            return;
        }
        guard_.proposed(
            name, context.propose(data_centre_heard{data_centre, restored}));
    }

    std::map<data_centre_name, time_point> steady_since_;
    proposal_guard guard_;
};

registrar<controller_duty> const registered{
    "data_centre_watch", [](controller_settings const&)
    { return std::make_unique<data_centre_watch>(); }};

} // namespace

} // namespace cuminfold
