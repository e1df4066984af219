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

/// Receives the content of a followed topic.
struct topic_handler
{
    /// The newest record of each key; other keys no longer exist.
    std::function<void(std::vector<platform::keyed_record> const&)>
        on_snapshot_;
    /// Further records, in order.
    /// @param stored_after the store had none of them at that time
    std::function<void(std::vector<platform::keyed_record> const&,
                       time_point stored_after)>
        on_records_;
    /// Called after the first read, and whenever the store stops or resumes
    /// answering.
    std::function<void(bool reachable)> on_reachable_changed_;
};

/// Reads the newest record of each key of a topic, then follows the topic's
/// end by one long poll at a time. Starts again with all newest records if the
/// store no longer keeps the offset.
class topic_follower : public std::enable_shared_from_this<topic_follower>
{
public:
    /// @param wait how long one read waits for new records; the content is no
    /// older than about this while the store answers
    topic_follower(boost::asio::io_context& context,
                   platform::store_client& store, platform::store_topic topic,
                   duration wait, topic_handler handler);

    /// Starts the reads; callbacks run on the context's thread.
    void start();
    /// Ends the reads; no callback follows.
    void stop();

    /// The latest time at which the records read so far were known to be
    /// complete.
    time_point current_as_of() const noexcept
    {
        return current_as_of_;
    }
    /// When the last successful read was sent. The records read so far include
    /// all that were stored before, also if the store answered late.
    time_point proven_as_of() const noexcept
    {
        return proven_as_of_;
    }
    /// The store answered the last read.
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
    bool snapshot_read_ = false;
    bool stopped_ = false;
    bool reachable_ = false;
    bool reachability_reported_ = false;
    time_point current_as_of_{};
    time_point proven_as_of_{};
    /// When the last read was sent whose answer reached the topic's end.
    time_point end_read_at_{};
};

} // namespace cuminfold

#endif
