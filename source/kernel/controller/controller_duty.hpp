#ifndef CUMINFOLD_KERNEL_CONTROLLER_CONTROLLER_DUTY_HPP
#define CUMINFOLD_KERNEL_CONTROLLER_CONTROLLER_DUTY_HPP

#include "kernel/config/config_state.hpp"
#include "kernel/controller/controller_action.hpp"
#include "kernel/controller/controller_event.hpp"
#include "kernel/controller/controller_settings.hpp"
#include "kernel/fleet/fleet_state.hpp"
#include "kernel/record.hpp"
#include "kernel/time.hpp"

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace cuminfold
{

class fleet_view;
class membership;
class log_writer;

/// What a duty may read and use while it handles an event.
struct duty_context
{
    time_point now_;
    wall_time wall_;
    controller_settings const& settings_;
    config_state const& config_;
    fleet_state const& fleet_;
    membership const& members_;
    /// The platform's list as last heard.
    vm_list const& list_;
    std::mt19937_64& random_;
    /// Writer of the stream `fleet`.
    log_writer& fleet_writer_;
    std::vector<controller_action>& actions_;

    /// Proposes a fleet record that relies on the configuration in force here.
    /// A kind of which the log holds a newer version is not proposed: the id
    /// that comes back is settled at once.
    record_id propose(record_body body);

    /// Rank of this controller among the live ones of its data centre for the
    /// thing of that name; 0 proposes first.
    std::uint32_t rank(std::string const& name) const;

    /// Rank among the live controllers of all data centres.
    std::uint32_t rank_of_all(std::string const& name) const;

    /// Follows the streams; never null within `handle()`.
    fleet_view const* view_ = nullptr;

    /// False if nothing may be proposed: the state is not known or not fresh.
    bool ready_ = false;
};

/// One duty of a controller, as a plug-in: it hears every event after the
/// folds have taken it, and answers with actions and proposals.
///
/// A duty keeps no state that must last; it can be made anew at any moment and
/// goes on from the fold.
class controller_duty
{
public:
    using factory = std::function<std::unique_ptr<controller_duty>(
        controller_settings const&)>;

    static char const* kind()
    {
        return "controller duty";
    }

    controller_duty() = default;
    controller_duty(controller_duty const&) = delete;
    controller_duty& operator=(controller_duty const&) = delete;
    virtual ~controller_duty() = default;

    virtual void handle(duty_context& context,
                        controller_event const& event) = 0;
};

} // namespace cuminfold

#endif
