#ifndef CUMINFOLD_KERNEL_REGISTRY_HPP
#define CUMINFOLD_KERNEL_REGISTRY_HPP

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace cuminfold
{

/// No strategy of the asked name is registered; the text lists those that are.
class unknown_strategy : public std::invalid_argument
{
public:
    using std::invalid_argument::invalid_argument;
};

/// The table of one kind of strategy, by name.
///
/// A plug-in file defines a `registrar` at namespace scope; settings name the
/// strategy that a process uses. `Strategy` has a member type `factory`, a
/// `std::function` that makes a strategy, and a static `kind()` that names the
/// kind in errors.
template <class Strategy>
class registry
{
public:
    using factory = typename Strategy::factory;

    static registry& instance()
    {
        static registry table;
        return table;
    }

    void add(std::string name, factory make)
    {
        factories_.emplace(std::move(name), std::move(make));
    }

    /// The factory of that name.
    /// @throws unknown_strategy which lists the known names.
    factory const& find(std::string const& name) const
    {
        auto const found = factories_.find(name);
        if (found == factories_.end())
        {
            throw unknown_strategy(describe_unknown(name));
        }
        return found->second;
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (auto const& entry : factories_)
        {
            result.push_back(entry.first);
        }
        return result;
    }

private:
    std::string describe_unknown(std::string const& name) const
    {
        std::string text = "unknown ";
        text += Strategy::kind();
        text += " '" + name + "'; known:";
        for (auto const& entry : factories_)
        {
            text += " " + entry.first;
        }
        return text;
    }

    std::map<std::string, factory> factories_;
};

/// Adds a strategy to its table when the program starts.
template <class Strategy>
struct registrar
{
    registrar(std::string name, typename Strategy::factory make)
    {
        registry<Strategy>::instance().add(std::move(name), std::move(make));
    }
};

} // namespace cuminfold

#endif
