#ifndef CUMINFOLD_KERNEL_GATEWAY_JOB_SUBMITTER_HPP
#define CUMINFOLD_KERNEL_GATEWAY_JOB_SUBMITTER_HPP

#include "kernel/gateway/gateway_context.hpp"
#include "kernel/gateway/gateway_log.hpp"
#include "kernel/gateway/gateway_settings.hpp"

#include <map>

namespace cuminfold
{

/// Records callers' jobs and their cancellations, and answers once they were
/// read back.
class job_submitter
{
public:
    explicit job_submitter(gateway_settings const& settings)
        : settings_(&settings)
    {
    }

    void submit(gateway_context& context, gateway_log& log,
                caller_job const& job);
    void cancel(gateway_context& context, gateway_log& log,
                caller_job_cancel const& cancel);
    void on_caller_disconnected(request_id const& request);

    /// Answers what was read back, and what is at its deadline.
    void poll(gateway_context& context, gateway_log& log);

    bool idle() const noexcept
    {
        return waiting_.empty();
    }

private:
    struct waiting_job
    {
        job_id job_;
        record_id record_;
        time_point deadline_;
    };

    void expire(gateway_context& context, gateway_log& log,
                request_id const& request, waiting_job const& job);

    gateway_settings const* settings_;
    std::map<request_id, waiting_job> waiting_;
};

} // namespace cuminfold

#endif
