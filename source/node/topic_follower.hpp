#ifndef CUMINFOLD_NODE_TOPIC_FOLLOWER_HPP
#define CUMINFOLD_NODE_TOPIC_FOLLOWER_HPP

#include "kernel/time.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace cuminfold
{

/// What is heard from a topic that is followed.
struct topic_handler
{
    /// All newest records; what is not among them has been dropped.
    std::function<void(std::vector<platform::keyed_record> const&)> whole_;
    /// Further records, in order.
    std::function<void(std::vector<platform::keyed_record> const&)> on_records_;
    /// The store did not answer, or does so again.
    std::function<void(bool reachable)> on_reachable_changed_;
};

/// Reads the newest record of each key of a topic, then follows its end by one
/// waiting read at a time.
class topic_follower : public std::enable_shared_from_this<topic_follower>
{
public:
    /// @param wait of one read; how old the knowledge may be while all is well
    topic_follower(boost::asio::io_context& context,
                   platform::store_client& store, platform::store_topic topic,
                   duration wait, topic_handler handler);

    void start();
    void stop();

    /// The time for which what was read so far is known to be all.
    time_point current_as_of() const noexcept
    {
        return current_as_of_;
    }
    bool reachable() const noexcept
    {
        return reachable_;
    }

private:
    void read_snapshot();
    void read_next();
    void retry();
    void set_reachable(bool reachable);

    boost::asio::steady_timer timer_;
    platform::store_client& store_;
    platform::store_topic topic_;
    duration wait_;
    topic_handler handler_;
    std::uint64_t next_offset_ = 0;
    bool whole_ = false;
    bool stopped_ = false;
    bool reachable_ = false;
    bool reachability_reported_ = false;
    time_point current_as_of_{};
};

} // namespace cuminfold

#endif
