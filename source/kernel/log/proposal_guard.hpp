#ifndef CUMINFOLD_KERNEL_LOG_PROPOSAL_GUARD_HPP
#define CUMINFOLD_KERNEL_LOG_PROPOSAL_GUARD_HPP

#include "kernel/log/log_writer.hpp"
#include "kernel/record.hpp"

#include <map>
#include <string>
#include <utility>

namespace cuminfold
{

/// Keeps a duty from proposing about an entity while its last proposal about
/// it is not settled.
class proposal_guard
{
public:
    /// True if a proposal about the entity is still out.
    bool waits(log_writer const& writer, std::string const& entity)
    {
        auto const found = last_.find(entity);
        if (found == last_.end())
        {
            return false;
        }
        if (writer.settled(found->second))
        {
            last_.erase(found);
            return false;
        }
        return true;
    }

    void proposed(std::string entity, record_id id)
    {
        last_[std::move(entity)] = std::move(id);
    }

private:
    std::map<std::string, record_id> last_;
};

} // namespace cuminfold

#endif
