#ifndef CUMINFOLD_KERNEL_MAINTENANCE_PROPOSAL_TURN_HPP
#define CUMINFOLD_KERNEL_MAINTENANCE_PROPOSAL_TURN_HPP

#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/proposal_guard.hpp"
#include "kernel/record.hpp"
#include "kernel/time.hpp"

#include <map>
#include <string>

namespace cuminfold
{

/// Decides when a duty may propose a record about an entity. The first proposal
/// is delayed by this controller's rank for the entity times
/// `controller_settings::rank_step_`. While a proposal is in flight there is no
/// other, and while the fold refuses proposals the interval between them grows
/// exponentially.
class proposal_scheduler
{
public:
    /// Whether a proposal that relies on this generation of the entity may be
    /// made now. The caller calls it repeatedly while the proposal has a cause;
    /// a new generation, or 5 s without a call, starts the delay anew.
    bool is_due(duty_context& context, std::string const& entity,
                generation relied_on);

    /// Proposes the record and starts the backoff.
    void propose(duty_context& context, std::string const& entity,
                 record_body body);

    /// Erases entities for which `is_due` has not been called for 5 s.
    void forget_idle(time_point now);

private:
    struct waiting
    {
        generation relied_on_ = 0;
        time_point due_at_{};
        time_point last_requested_{};
        duration backoff_{0};
    };

    std::map<std::string, waiting> waiting_;
    proposal_guard guard_;
};

} // namespace cuminfold

#endif
