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

/// A data centre counts as heard again after contact without a pause for this
/// long, so that a link that comes and goes costs no records.
constexpr duration steady_for = std::chrono::seconds{5};
/// A pause that ends steady contact.
constexpr duration pause = std::chrono::seconds{2};

/// Records that another data centre is unheard, so that its VMs count as down
/// for budgets, and that it is heard again.
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
                consider(context, data_centre);
            }
        }
    }

private:
    void consider(duty_context& context, data_centre_name const& data_centre)
    {
        duration const silent =
            context.now_ - *context.members_.last_heard(data_centre);
        auto const since =
            steady_since_.emplace(data_centre, context.now_).first;
        if (silent > pause)
        {
            since->second = context.now_;
        }
        bool const unheard =
            context.fleet_.vms().unheard().count(data_centre) != 0;
        std::string const name = "heard-" + data_centre.text();
        duration const wait =
            context.settings_.rank_step_ * context.rank_of_all(name);
        bool const gone =
            !unheard && silent >= context.settings_.unheard_after_ + wait;
        bool const back =
            unheard && context.now_ - since->second >= steady_for + wait;
        if (!context.ready_ || (!gone && !back) ||
            guard_.waits(context.fleet_writer_, name))
        {
            return;
        }
        guard_.proposed(name,
                        context.propose(data_centre_heard{data_centre, back}));
    }

    std::map<data_centre_name, time_point> steady_since_;
    proposal_guard guard_;
};

registrar<controller_duty> const registered{
    "data_centre_watch", [](controller_settings const&)
    { return std::make_unique<data_centre_watch>(); }};

} // namespace

} // namespace cuminfold
