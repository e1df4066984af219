#ifndef CUMINFOLD_TESTS_PROOF_STEPS_HPP
#define CUMINFOLD_TESTS_PROOF_STEPS_HPP

#include "proof/world.hpp"

#include <cstdint>
#include <vector>

namespace cuminfold
{

/// One kind of command of the fuzz.
struct step_kind
{
    char const* name_;
    /// How often it is chosen, against the others.
    std::uint32_t weight_;
    void (*apply_)(world& target, std::uint32_t argument);
};

/// All kinds of commands.
std::vector<step_kind> const& step_table();

/// One command of a history.
struct step
{
    std::uint32_t kind_ = 0;
    std::uint32_t argument_ = 0;
    /// Virtual time that passes afterwards.
    std::uint32_t wait_ms_ = 0;

    void run(world& target) const;
};

} // namespace cuminfold

#endif
