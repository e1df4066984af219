#include "node/topic_follower.hpp"

#include "node/node_clock.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace cuminfold
{

namespace
{

/// Pause after a failed read.
constexpr duration retry_pause = std::chrono::milliseconds{200};
/// Minimum time between two reads, to limit the load on the store while many
/// records are written.
constexpr duration min_read_interval = std::chrono::milliseconds{30};

} // namespace

topic_follower::topic_follower(boost::asio::io_context& context,
                               platform::store_client& store,
                               platform::store_topic topic, duration wait,
                               topic_handler handler)
    : timer_(context), store_(store), topic_(topic), wait_(wait),
      handler_(std::move(handler))
{
}

void topic_follower::start()
{
    read_snapshot();
}

void topic_follower::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void topic_follower::set_reachable(bool reachable)
{
    if (reachable != reachable_ || !reachability_reported_)
    {
        reachability_reported_ = true;
        reachable_ = reachable;
        handler_.on_reachable_changed_(reachable);
    }
}

void topic_follower::retry()
{
    set_reachable(false);
    timer_.expires_after(retry_pause);
    timer_.async_wait(
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (!error && !self->stopped_)
            {
                self->snapshot_read_ ? self->read_next()
                                     : self->read_snapshot();
            }
        });
}

void topic_follower::read_snapshot()
{
    auto const sent = node_now();
    store_.read_newest(
        topic_,
        [self = shared_from_this(),
         sent](std::optional<platform::topic_content> const& content)
        {
            if (self->stopped_)
            {
                return;
            }
            if (!content)
            {
                self->retry();
                return;
            }
            self->next_offset_ = content->next_offset_;
            self->snapshot_read_ = true;
            self->current_as_of_ = sent;
            self->proven_as_of_ = sent;
            self->end_read_at_ = sent;
            self->set_reachable(true);
            self->handler_.on_snapshot_(content->records_);
            if (!self->stopped_)
            {
                self->read_next();
            }
        });
}

void topic_follower::read_next()
{
    auto const sent = node_now();
    store_.read(
        topic_, next_offset_, wait_,
        [self = shared_from_this(), sent](platform::read_result const& result)
        {
            if (self->stopped_)
            {
                return;
            }
            if (result.outcome_ == platform::read_outcome::offset_expired)
            {
                self->read_snapshot();
                return;
            }
            if (result.outcome_ == platform::read_outcome::failed)
            {
                self->retry();
                return;
            }
            self->set_reachable(true);
            self->current_as_of_ = sent;
            self->proven_as_of_ = sent;
            auto const stored_after = self->end_read_at_;
            if (self->next_offset_ + result.range_.count_ >= result.range_.end_)
            {
                self->end_read_at_ = sent;
            }
            if (result.range_.count_ == 0)
            {
                // No record was written before the read's wait ended.
                self->current_as_of_ = std::min(node_now(), sent + self->wait_);
                self->read_next();
                return;
            }
            self->next_offset_ += result.range_.count_;
            self->handler_.on_records_(result.range_.records_, stored_after);
            self->timer_.expires_after(min_read_interval);
            self->timer_.async_wait(
                [self](boost::system::error_code error)
                {
                    if (!error && !self->stopped_)
                    {
                        self->read_next();
                    }
                });
        });
}

} // namespace cuminfold
