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

/// State and services that a duty may use while it handles one event.
struct duty_context
{
    time_point now_;
    wall_time wall_;
    controller_settings const& settings_;
    config_state const& config_;
    fleet_state const& fleet_;
    membership const& members_;
    /// The platform's VM list as last received.
    vm_list const& list_;
    std::mt19937_64& random_;
    /// Appends to the stream `fleet`.
    log_writer& fleet_writer_;
    std::vector<controller_action>& actions_;

    /// Proposes a fleet record that depends on the configuration version that
    /// this controller has applied.
    ///
    /// If the log holds a newer version of the record's kind, the record is not
    /// proposed and `reason::record_unknown_kind` is counted. The returned id
    /// then has sequence 0, which the writer reports as resolved immediately.
    record_id propose(record_body body);

    /// Rank of this controller among the live controllers of its data centre
    /// for the entity `name`. Rank 0 proposes first.
    std::uint32_t rank(std::string const& name) const;

    /// Rank of this controller among the live controllers of all data centres
    /// for the entity `name`.
    std::uint32_t rank_of_all(std::string const& name) const;

    /// Folded state of both streams; never null within `handle()`.
    fleet_view const* view_ = nullptr;

    /// False if the folds have not caught up with the log. A duty must not
    /// propose anything then.
    bool ready_ = false;
};

/// Plug-in for one responsibility of a controller. It receives every event
/// after the folds have applied it, and adds actions and proposals.
///
/// A duty holds no durable state: it can be recreated at any time and continues
/// from the folded state.
class controller_duty
{
public:
    using factory = std::function<std::unique_ptr<controller_duty>(
        controller_settings const&)>;

    /// Name of this plug-in type in the error messages of the registry.
    static char const* kind()
    {
        return "controller duty";
    }

    controller_duty() = default;
    controller_duty(controller_duty const&) = delete;
    controller_duty& operator=(controller_duty const&) = delete;
    virtual ~controller_duty() = default;

    /// Handles one event. Actions are appended to `context.actions_`.
    virtual void handle(duty_context& context,
                        controller_event const& event) = 0;
};

} // namespace cuminfold

#endif
