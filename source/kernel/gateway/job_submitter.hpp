#ifndef CUMINFOLD_KERNEL_GATEWAY_JOB_SUBMITTER_HPP
#define CUMINFOLD_KERNEL_GATEWAY_JOB_SUBMITTER_HPP

#include "kernel/gateway/gateway_context.hpp"
#include "kernel/gateway/gateway_log.hpp"
#include "kernel/gateway/gateway_settings.hpp"

#include <map>

namespace cuminfold
{

/// Records callers' jobs and their cancellations, and answers each caller once
/// its record was read back.
class job_submitter
{
public:
    explicit job_submitter(gateway_settings const& settings)
        : settings_(&settings)
    {
    }

    /// Proposes a job's record, or refuses the job if the configuration is not
    /// read yet or does not have its service.
    void submit(gateway_context& context, gateway_log& log,
                caller_job const& job);
    void cancel(gateway_context& context, gateway_log& log,
                caller_job_cancel const& cancel);
    /// Drops the answer to the request; its record is not withdrawn.
    void on_caller_disconnected(request_id const& request);

    /// Answers the requests whose records were read back or whose deadlines
    /// have passed.
    void poll(gateway_context& context, gateway_log& log);

    /// True if no request waits for its answer.
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

    /// Answers a request at its deadline: refused if its record was not sent
    /// yet, else with an unknown outcome.
    void expire(gateway_context& context, gateway_log& log,
                request_id const& request, waiting_job const& job);

    gateway_settings const* settings_;
    std::map<request_id, waiting_job> waiting_;
};

} // namespace cuminfold

#endif
