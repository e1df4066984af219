#ifndef CUMINFOLD_TESTS_PROPERTY_HPP
#define CUMINFOLD_TESTS_PROPERTY_HPP

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace cuminfold
{

/// Checks a rapidcheck property within a doctest case; the seed and the number
/// of runs come from `RC_PARAMS`.
template <class Property>
void check_property(std::string const& what, Property&& property)
{
    bool const holds = rc::check(what, std::forward<Property>(property));
    CHECK_MESSAGE(holds, what);
}

} // namespace cuminfold

#endif
