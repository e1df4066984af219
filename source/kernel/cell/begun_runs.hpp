#ifndef CUMINFOLD_KERNEL_CELL_BEGUN_RUNS_HPP
#define CUMINFOLD_KERNEL_CELL_BEGUN_RUNS_HPP

#include <cstdint>

namespace cuminfold
{

/// Which of a task's recent runs are known to have begun on their workers.
///
/// A start without an answer may never have been carried out, so that a crash
/// of its worker is no evidence against the task.
class begun_runs
{
public:
    /// @param run begins with 1
    void add(std::uint32_t run) noexcept;
    /// Whether the run was added. Runs that are 64 or more below the latest
    /// one are forgotten.
    bool contains(std::uint32_t run) const noexcept;

private:
    /// 0: no run was added.
    std::uint32_t latest_ = 0;
    /// Bit `i` stands for the run `latest_ - i`.
    std::uint64_t recent_ = 0;
};

} // namespace cuminfold

#endif
