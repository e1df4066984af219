#ifndef CUMINFOLD_KERNEL_CELL_START_BUDGET_HPP
#define CUMINFOLD_KERNEL_CELL_START_BUDGET_HPP

#include <cstdint>

namespace cuminfold
{

/// Bounds the starts of a task whose runs are lost with their workers.
///
/// Every run counts that ended without a report, whatever is known of its
/// worker's end, and from the third on every start: the users allow two starts
/// after three crashes. So the bound holds for crashes that are never proved.
class start_budget
{
public:
    /// The run is assigned to a worker.
    void on_placed(std::uint32_t run) noexcept;
    /// The run has never begun, and can't begin any more.
    void on_not_started(std::uint32_t run) noexcept;
    /// The run was lost with its worker, or may have been.
    void on_lost(std::uint32_t run) noexcept;
    /// The worker that the run was lost with answers again, so that it has not
    /// crashed.
    void on_worker_found(std::uint32_t run) noexcept;
    /// Takes over a stored state.
    /// @param run the task's run if it is on a worker, else 0
    void restore(std::uint32_t used, std::uint32_t run) noexcept;

    /// Whether the task may not be started again.
    bool is_spent() const noexcept;
    /// The runs that count. To be stored before a run is started.
    std::uint32_t used() const noexcept
    {
        return used_;
    }

private:
    std::uint32_t used_ = 0;
    /// The latest run that counts.
    std::uint32_t counted_run_ = 0;
};

} // namespace cuminfold

#endif
