#ifndef CUMINFOLD_TESTS_PROOF_FAKE_LOG_HPP
#define CUMINFOLD_TESTS_PROOF_FAKE_LOG_HPP

#include "kernel/log_port.hpp"
#include "proof/timeline.hpp"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cuminfold
{

/// The platform's log in memory, with its faults.
class fake_log
{
public:
    using read_done = std::function<void(log_read_result)>;
    using append_done = std::function<void(log_append_result)>;

    explicit fake_log(timeline& time) : time_(time) {}

    /// Faults, set by the commands.
    bool down_ = false;
    duration delay_ = std::chrono::milliseconds{2};
    /// Of 100 appends, those whose reply is lost after the write.
    std::uint32_t lose_replies_ = 0;
    /// Of 100 appends, those that are written twice.
    std::uint32_t duplicate_ = 0;
    /// Of 100 reads, those whose entries are cut short.
    std::uint32_t truncate_ = 0;

    void read(log_read const& what, read_done done)
    {
        time_.after(delay_, [this, what, done = std::move(done)]
                    { begin_read(what, done); });
    }

    void append(log_append const& what, append_done done)
    {
        log_append_result result;
        result.stream_ = what.stream_;
        result.ticket_ = what.ticket_;
        if (down_)
        {
            result.status_ = log_append_status::rejected;
            time_.after(delay_, [done, result] { done(result); });
            return;
        }
        time_.after(delay_,
                    [this, what, done, result]() mutable
                    {
                        result.offset_ = write(what);
                        bool const lost = percent(lose_replies_);
                        result.status_ = lost ? log_append_status::unknown
                                              : log_append_status::appended;
                        time_.after(delay_, [done, result] { done(result); });
                    });
    }

    /// Drops the oldest entries, but for the last `kept`.
    void retain(std::size_t kept)
    {
        for (auto& item : streams_)
        {
            auto& data = item.second;
            while (data.entries_.size() > kept)
            {
                data.entries_.erase(data.entries_.begin());
                ++data.first_;
            }
        }
    }

    /// Forgets the newest entries: no log may do that. For seeded defects.
    void lose_newest(std::string const& stream, std::size_t count)
    {
        auto& entries = streams_[stream].entries_;
        entries.resize(entries.size() - std::min(count, entries.size()));
    }

    /// Appends on nobody's behalf. For seeded defects.
    void inject(std::string const& stream, record item)
    {
        log_append append;
        append.stream_ = stream_name{stream};
        append.records_ = {std::move(item)};
        write(append);
    }

    std::uint64_t appends() const noexcept
    {
        return appends_;
    }

private:
    struct stream_data
    {
        log_offset first_ = 0;
        std::vector<std::vector<record>> entries_;

        log_offset end() const
        {
            return first_ + entries_.size();
        }
    };

    struct waiting_read
    {
        log_read what_;
        read_done done_;
    };

    bool percent(std::uint32_t share)
    {
        return random_() % 100 < share;
    }

    void begin_read(log_read const& what, read_done const& done)
    {
        auto& data = streams_[what.stream_.text()];
        bool const wait =
            !down_ && what.from_ >= data.end() && what.wait_.count() > 0;
        if (!wait)
        {
            answer(what, done);
            return;
        }
        auto const place =
            waiting_.insert(waiting_.end(), waiting_read{what, done});
        auto const number = ++next_wait_;
        open_waits_[number] = place;
        time_.after(what.wait_, [this, number] { end_wait(number); });
    }

    void end_wait(std::uint64_t number)
    {
        auto const found = open_waits_.find(number);
        if (found != open_waits_.end())
        {
            waiting_read const held = *found->second;
            waiting_.erase(found->second);
            open_waits_.erase(found);
            answer(held.what_, held.done_);
        }
    }

    log_offset write(log_append const& what)
    {
        ++appends_;
        auto& data = streams_[what.stream_.text()];
        log_offset const offset = data.end();
        data.entries_.push_back(what.records_);
        if (percent(duplicate_))
        {
            data.entries_.push_back(what.records_);
        }
        std::vector<std::uint64_t> ready;
        for (auto const& item : open_waits_)
        {
            if (item.second->what_.stream_ == what.stream_)
            {
                ready.push_back(item.first);
            }
        }
        for (auto const number : ready)
        {
            end_wait(number);
        }
        return offset;
    }

    void answer(log_read const& what, read_done const& done)
    {
        auto const& data = streams_[what.stream_.text()];
        log_read_result result;
        result.stream_ = what.stream_;
        result.from_ = what.from_;
        if (!down_)
        {
            result.earliest_ = data.first_;
            result.end_ = data.end();
            result.status_ = what.from_ < data.first_ ? log_read_status::gap
                                                      : log_read_status::ok;
        }
        if (result.status_ == log_read_status::ok)
        {
            log_offset stop =
                std::min<log_offset>(data.end(), what.from_ + what.limit_);
            if (percent(truncate_) && stop > what.from_)
            {
                --stop;
            }
            for (log_offset at = what.from_; at < stop; ++at)
            {
                result.entries_.push_back(
                    {at, data.entries_[at - data.first_]});
            }
        }
        time_.after(delay_, [done, result] { done(result); });
    }

    timeline& time_;
    std::map<std::string, stream_data> streams_;
    std::list<waiting_read> waiting_;
    std::map<std::uint64_t, std::list<waiting_read>::iterator> open_waits_;
    std::uint64_t next_wait_ = 0;
    std::uint64_t appends_ = 0;
    std::mt19937_64 random_{7};
};

} // namespace cuminfold

#endif
