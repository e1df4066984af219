#ifndef CUMINFOLD_KERNEL_CELL_STEP_WAITS_HPP
#define CUMINFOLD_KERNEL_CELL_STEP_WAITS_HPP

#include "kernel/cell/job_definition.hpp"
#include "kernel/time.hpp"

#include <map>

namespace cuminfold
{

/// How long steps have been waiting, as seen by successive reviews. A step that
/// one review leaves out waits anew from the next one that observes it.
class step_waits
{
public:
    /// Begins a review.
    void begin_review();
    /// The step is waiting in the present review.
    /// @return how long it has been observed without interruption
    duration observe(step_id const& step, time_point now);

private:
    std::map<step_id, time_point> previous_;
    std::map<step_id, time_point> current_;
};

} // namespace cuminfold

#endif
