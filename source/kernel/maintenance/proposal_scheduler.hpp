#ifndef CUMINFOLD_KERNEL_MAINTENANCE_PROPOSAL_SCHEDULER_HPP
#define CUMINFOLD_KERNEL_MAINTENANCE_PROPOSAL_SCHEDULER_HPP

#include "kernel/controller/controller_duty.hpp"
#include "kernel/log/proposal_guard.hpp"
#include "kernel/record.hpp"
#include "kernel/time.hpp"

#include <map>
#include <string>

namespace cuminfold
{

/// Decides when a duty proposes about an entity: after as many rank steps as
/// this controller's rank, once while the proposal is out, and with growing
/// pauses while the fold refuses it.
class proposal_scheduler
{
public:
    /// True if a proposal that relies on that generation of the entity may be
    /// made now. Asked again and again while there is cause for it.
    bool is_due(duty_context& context, std::string const& entity,
                generation relied_on);

    /// Makes the proposal.
    void propose(duty_context& context, std::string const& entity,
                 record_body body);

    /// Forgets entities that were not asked for lately.
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
