#include "node/worker_follower.hpp"

#include "node/node_clock.hpp"
#include "platform/body_codec.hpp"
#include "platform/worker_format.hpp"

#include <set>
#include <utility>

namespace cuminfold
{

namespace
{

/// How long one read waits for changes. Workers' entries change all the time,
/// so reads seldom wait this long.
constexpr duration workers_read_wait = std::chrono::milliseconds{1000};

} // namespace

worker_follower::worker_follower(boost::asio::io_context& context,
                                 platform::store_client& store,
                                 decision_log& log, handler handler)
    : log_(log), handler_(std::move(handler))
{
    topic_handler topic;
    topic.on_snapshot_ = [this](auto const& records) { on_snapshot(records); };
    topic.on_records_ = [this](auto const& records, time_point stored_after)
    { on_records(records, stored_after); };
    topic.on_reachable_changed_ = [this](bool reachable)
    {
        log_.write(reachable ? "store_regained" : "store_lost",
                   {{"topic", "workers"}}, node_now());
    };
    follower_ = std::make_shared<topic_follower>(
        context, store, platform::store_topic::workers, workers_read_wait,
        std::move(topic));
}

worker_follower::~worker_follower()
{
    follower_->stop();
}

void worker_follower::start()
{
    follower_->start();
}

void worker_follower::on_snapshot(
    std::vector<platform::keyed_record> const& records)
{
    std::set<std::string> listed;
    for (auto const& record : records)
    {
        listed.insert(record.key_);
    }
    std::vector<std::string> dropped;
    for (auto const& item : entries_)
    {
        if (listed.count(item.first) == 0)
        {
            dropped.push_back(item.first);
        }
    }
    for (auto const& id : dropped)
    {
        entries_.erase(id);
        handler_.on_unlisted_(id);
    }
    on_records(records, time_point{});
    if (!ready_)
    {
        ready_ = true;
        handler_.on_ready_();
    }
}

void worker_follower::on_records(
    std::vector<platform::keyed_record> const& records, time_point stored_after)
{
    for (auto const& record : records)
    {
        if (record.value_)
        {
            apply_entry(record.key_, *record.value_, stored_after);
        }
        else if (entries_.erase(record.key_) != 0)
        {
            handler_.on_unlisted_(record.key_);
        }
    }
}

void worker_follower::apply_entry(std::string const& id,
                                  std::string const& bytes,
                                  time_point stored_after)
{
    try
    {
        auto entry = platform::read_worker_entry(id, bytes);
        auto const known = entries_.find(id);
        bool const same =
            known != entries_.end() &&
            known->second.address_ == entry.address_ &&
            known->second.pool_ == entry.pool_ &&
            known->second.draining_ == entry.draining_ &&
            known->second.incarnation_start_ == entry.incarnation_start_ &&
            known->second.labels_ == entry.labels_ &&
            known->second.size_.cpu_milli_ == entry.size_.cpu_milli_ &&
            known->second.size_.memory_mb_ == entry.size_.memory_mb_ &&
            known->second.size_.accelerators_ == entry.size_.accelerators_;
        if (same)
        {
            handler_.on_repeated_(entry, stored_after);
            return;
        }
        entries_[id] = entry;
        handler_.on_listed_(std::move(entry));
    }
    catch (platform::format_error const& error)
    {
        log_.write("worker_entry_skipped",
                   {{"worker", id}, {"error", error.what()}}, node_now());
        if (entries_.erase(id) != 0)
        {
            handler_.on_unlisted_(id);
        }
    }
}

} // namespace cuminfold
