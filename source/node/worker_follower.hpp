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

/// Follows the workers' entries in the store.
class worker_follower
{
public:
    struct handler
    {
        std::function<void(worker_registration)> on_listed_;
        std::function<void(std::string const& worker)> on_unlisted_;
        /// All entries were read once.
        std::function<void()> ready_;
    };

    worker_follower(boost::asio::io_context& context,
                    platform::store_client& store, decision_log& log,
                    handler handler);
    ~worker_follower();

    void start();
    /// Everything that the store held then is known.
    time_point current_as_of() const
    {
        return follower_->current_as_of();
    }

private:
    void on_snapshot(std::vector<platform::keyed_record> const& records);
    void on_records(std::vector<platform::keyed_record> const& records);
    void apply_entry(std::string const& id, std::string const& bytes);

    decision_log& log_;
    handler handler_;
    /// The bytes last read of each worker, without what changes each time.
    std::map<std::string, worker_registration> entries_;
    bool ready_ = false;
    std::shared_ptr<topic_follower> follower_;
};

} // namespace cuminfold

#endif
