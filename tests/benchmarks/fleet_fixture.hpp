#ifndef CUMINFOLD_TESTS_BENCHMARKS_FLEET_FIXTURE_HPP
#define CUMINFOLD_TESTS_BENCHMARKS_FLEET_FIXTURE_HPP

#include "kernel/log_port.hpp"
#include "kernel/record.hpp"
#include "kernel/streams.hpp"
#include "kernel/time.hpp"

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace cuminfold
{

/// A fleet of a given size as streams of the log: one configuration, VMs of 4
/// to a rack in 8 data centres, pools of about 26 VMs, a gateway for every
/// data centre.
class fleet_fixture
{
public:
    explicit fleet_fixture(std::size_t vms);

    std::vector<log_entry> const& config() const noexcept
    {
        return config_;
    }
    std::vector<log_entry> const& fleet() const noexcept
    {
        return fleet_;
    }

    /// The list of VMs that the platform would give.
    std::size_t size() const noexcept
    {
        return vms_;
    }

    /// The answer to a read of any stream.
    log_read_result answer(log_read const& what) const;

    /// Hands a kernel events until it has read everything.
    template <class Kernel, class Tick>
    void feed(Kernel& kernel, Tick const& tick, time_point& now) const
    {
        constexpr int rounds = 400;
        for (int i = 0; i < rounds; ++i)
        {
            now += std::chrono::milliseconds{50};
            auto actions = kernel.handle(now, tick);
            while (answer_reads(kernel, actions, now))
            {
            }
        }
    }

    static std::size_t constexpr centres = 8;

private:
    template <class Kernel, class Actions>
    bool answer_reads(Kernel& kernel, Actions& actions, time_point now) const
    {
        Actions next;
        for (auto const& action : actions)
        {
            if (auto const* read = std::get_if<log_read>(&action))
            {
                for (auto& more : kernel.handle(now, answer(*read)))
                {
                    bool const again =
                        std::holds_alternative<log_read>(more) &&
                        std::get<log_read>(more).wait_.count() == 0;
                    if (again)
                    {
                        next.push_back(std::move(more));
                    }
                }
            }
        }
        actions = std::move(next);
        return !actions.empty();
    }

    std::size_t vms_;
    std::vector<log_entry> config_;
    std::vector<log_entry> fleet_;
};

} // namespace cuminfold

#endif
