#include "node/topic_follower.hpp"

#include "node/node_clock.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace cuminfold
{

namespace
{

/// Pause after a read that failed.
constexpr duration retry_pause = std::chrono::milliseconds{200};
/// A store that is sent to this often at most, also while records pour in.
constexpr duration least_gap = std::chrono::milliseconds{30};

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
    read_whole();
}

void topic_follower::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void topic_follower::set_reachable(bool reachable)
{
    if (reachable != reachable_ || !told_)
    {
        told_ = true;
        reachable_ = reachable;
        handler_.reach_(reachable);
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
                self->whole_ ? self->read_on() : self->read_whole();
            }
        });
}

void topic_follower::read_whole()
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
            self->from_ = content->next_offset_;
            self->whole_ = true;
            self->known_at_ = sent;
            self->set_reachable(true);
            self->handler_.whole_(content->records_);
            if (!self->stopped_)
            {
                self->read_on();
            }
        });
}

void topic_follower::read_on()
{
    auto const sent = node_now();
    store_.read(
        topic_, from_, wait_,
        [self = shared_from_this(), sent](platform::read_result const& result)
        {
            if (self->stopped_)
            {
                return;
            }
            if (result.outcome_ == platform::read_outcome::offset_expired)
            {
                self->read_whole();
                return;
            }
            if (result.outcome_ == platform::read_outcome::failed)
            {
                self->retry();
                return;
            }
            self->set_reachable(true);
            self->known_at_ = sent;
            if (result.range_.count_ == 0)
            {
                // It was empty up to the end of the wait.
                self->known_at_ = std::min(node_now(), sent + self->wait_);
                self->read_on();
                return;
            }
            self->from_ += result.range_.count_;
            self->handler_.change_(result.range_.records_);
            self->timer_.expires_after(least_gap);
            self->timer_.async_wait(
                [self](boost::system::error_code error)
                {
                    if (!error && !self->stopped_)
                    {
                        self->read_on();
                    }
                });
        });
}

} // namespace cuminfold
