#ifndef CUMINFOLD_NODE_WORKER_FOLLOWER_HPP
#define CUMINFOLD_NODE_WORKER_FOLLOWER_HPP

#include "kernel/cell/worker_state.hpp"
#include "node/decision_log.hpp"
#include "node/topic_follower.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cuminfold
{

/// Follows the workers' entries in the store. Entries that cannot be decoded
/// are logged.
class worker_follower
{
public:
    /// Receives the changes of the entries.
    struct handler
    {
        /// An entry is new, or its address, pool, draining state, labels or
        /// size has changed.
        std::function<void(worker_registration)> on_listed_;
        /// An entry was written again, with nothing new that matters.
        /// @param stored_after the store did not have it at that time
        std::function<void(worker_registration const& entry,
                           time_point stored_after)>
            on_repeated_;
        /// An entry was removed or can no longer be decoded.
        std::function<void(std::string const& worker)> on_unlisted_;
        /// Called once, when all entries have been read.
        std::function<void()> on_ready_;
    };

    worker_follower(boost::asio::io_context& context,
                    platform::store_client& store, decision_log& log,
                    handler handler);
    /// Ends the reads; no callback follows.
    ~worker_follower();

    /// Starts the reads; callbacks run on the context's thread.
    void start();
    /// The latest time at which the entries were known to be complete.
    time_point current_as_of() const
    {
        return follower_->current_as_of();
    }

private:
    void on_snapshot(std::vector<platform::keyed_record> const& records);
    /// @param stored_after as in `topic_handler`
    void on_records(std::vector<platform::keyed_record> const& records,
                    time_point stored_after);
    void apply_entry(std::string const& id, std::string const& bytes,
                     time_point stored_after);

    decision_log& log_;
    handler handler_;
    /// The last entry reported by `on_listed_` of each worker.
    std::map<std::string, worker_registration> entries_;
    bool ready_ = false;
    std::shared_ptr<topic_follower> follower_;
};

} // namespace cuminfold

#endif
