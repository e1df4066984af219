#ifndef REVIEW_STAND_IN_3_STORE_HPP
#define REVIEW_STAND_IN_3_STORE_HPP

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review
{

using nlohmann::json;

inline std::string to_body(json const& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

inline json from_body(std::string const& bytes)
{
    return json::from_cbor(bytes);
}

/// The platform's metadata store, as far as the system uses it: keyed topics
/// with one partition, fenced appends, waiting reads and reads of the newest
/// records. Each answer takes 4 ms.
class store
{
public:
    explicit store(asio::io_context& io) : io_(io) {}

    void put(std::string const& topic, std::string const& key,
             std::string const& value)
    {
        topics_[topic].add({key, value});
        wake(topics_[topic]);
    }
    void drop(std::string const& topic, std::string const& key)
    {
        topics_[topic].add({key, std::nullopt});
        wake(topics_[topic]);
    }
    std::optional<std::string> newest(std::string const& topic,
                                      std::string const& key)
    {
        auto& values = topics_[topic].newest_;
        auto const found = values.find(key);
        return found == values.end() ? std::nullopt
                                     : std::make_optional(found->second.second);
    }

    void serve(request const& call, responder respond)
    {
        auto const query = parse_query(call.target_);
        auto const path = call.target_.substr(0, call.target_.find('?'));
        respond = delayed(std::move(respond));
        auto const topic = query.count("topic") ? query.at("topic") : "";
        if (path == "/api/log-append")
        {
            append(topics_[topic], call, query, respond);
        }
        else if (path == "/api/log-read")
        {
            read(topic, number(query, "from"), number(query, "wait_ms"),
                 respond);
        }
        else if (path == "/api/log-newest")
        {
            list(topics_[topic],
                 query.count("depends_on") ? query.at("depends_on") : "",
                 respond);
        }
        else
        {
            respond({404, ""});
        }
    }

private:
    struct record
    {
        std::string key_;
        std::optional<std::string> value_;
    };
    struct producer
    {
        std::uint64_t epoch_ = 0;
        std::uint64_t sequence_ = 0;
    };
    struct partition
    {
        std::vector<record> log_;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest_;
        std::map<std::string, producer> producers_;
        std::vector<std::shared_ptr<asio::steady_timer>> readers_;

        void add(record each)
        {
            if (each.value_)
            {
                newest_[each.key_] = {log_.size(), *each.value_};
            }
            else
            {
                newest_.erase(each.key_);
            }
            log_.push_back(std::move(each));
        }
    };

    static std::map<std::string, std::string>
    parse_query(std::string const& target)
    {
        std::map<std::string, std::string> result;
        auto at = target.find('?');
        while (at != std::string::npos)
        {
            auto const end = target.find('&', at + 1);
            auto const part = target.substr(
                at + 1, end == std::string::npos ? end : end - at - 1);
            auto const equals = part.find('=');
            if (equals != std::string::npos)
            {
                result[part.substr(0, equals)] =
                    decode(part.substr(equals + 1));
            }
            at = end;
        }
        return result;
    }
    static std::string decode(std::string const& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            if (text[i] == '%' && i + 2 < text.size())
            {
                result += static_cast<char>(
                    std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else
            {
                result += text[i];
            }
        }
        return result;
    }
    static std::uint64_t number(std::map<std::string, std::string> const& query,
                                char const* name)
    {
        auto const found = query.find(name);
        return found == query.end() ? 0 : std::stoull(found->second);
    }

    responder delayed(responder respond)
    {
        return [this, respond](response answer)
        {
            auto const timer = std::make_shared<asio::steady_timer>(
                io_, std::chrono::milliseconds{4});
            timer->async_wait([timer, respond, answer](error_code)
                              { respond(answer); });
        };
    }

    static void wake(partition& part)
    {
        for (auto const& reader : std::exchange(part.readers_, {}))
        {
            reader->cancel();
        }
    }

    static void add_number(std::string& to, std::uint64_t value, int bytes)
    {
        for (int i = bytes - 1; i >= 0; --i)
        {
            to += static_cast<char>((value >> (8 * i)) & 0xff);
        }
    }
    static std::uint64_t read_number(std::string const& from, std::size_t& at,
                                     int bytes)
    {
        std::uint64_t value = 0;
        for (int i = 0; i < bytes; ++i)
        {
            value = (value << 8) | static_cast<unsigned char>(from.at(at++));
        }
        return value;
    }

    void append(partition& part, request const& call,
                std::map<std::string, std::string> const& query,
                responder const& respond)
    {
        auto const epoch = number(query, "epoch");
        auto const sequence = number(query, "sequence");
        bool repeated = false;
        if (epoch != 0)
        {
            auto& from = part.producers_[query.at("producer")];
            if (epoch < from.epoch_)
            {
                respond({409, to_body({{"reason", "fenced"}})});
                return;
            }
            bool const newer = epoch > from.epoch_;
            repeated = !newer && sequence != 0 && sequence <= from.sequence_ &&
                       sequence + 5 > from.sequence_;
            bool const misplaced = !newer && sequence != 0 && !repeated &&
                                   from.sequence_ != 0 &&
                                   sequence != from.sequence_ + 1;
            if (misplaced)
            {
                respond({409, to_body({{"reason", "seq"},
                                       {"sequence", from.sequence_ + 1}})});
                return;
            }
            from.epoch_ = epoch;
            from.sequence_ =
                newer ? sequence : std::max(sequence, from.sequence_);
        }
        auto const first = part.log_.size();
        if (!repeated)
        {
            std::size_t at = 0;
            while (at < call.body_.size())
            {
                auto const size = read_number(call.body_, at, 4);
                auto const end = at + size;
                auto const key_size = read_number(call.body_, at, 1);
                record each;
                each.key_ = call.body_.substr(at, key_size);
                at += key_size;
                if (end > at)
                {
                    each.value_ = call.body_.substr(at, end - at);
                }
                at = end;
                part.add(std::move(each));
            }
            wake(part);
        }
        respond({200, to_body({{"offset", first},
                               {"end_offset", part.log_.size()}})});
    }

    static response range(partition const& part, std::uint64_t from)
    {
        std::string body;
        add_number(body, part.log_.size(), 8);
        add_number(body, 0, 8);
        for (auto i = from; i < part.log_.size(); ++i)
        {
            auto const& each = part.log_[i];
            auto const value = each.value_.value_or("");
            add_number(body, 1 + each.key_.size() + value.size(), 4);
            add_number(body, each.key_.size(), 1);
            body += each.key_ + value;
        }
        return {200, body, "application/octet-stream"};
    }

    void read(std::string const& topic, std::uint64_t from, std::uint64_t wait,
              responder const& respond)
    {
        auto& part = topics_[topic];
        if (from < part.log_.size() || wait == 0)
        {
            respond(range(part, from));
            return;
        }
        auto const timer = std::make_shared<asio::steady_timer>(
            io_, std::chrono::milliseconds{wait});
        part.readers_.push_back(timer);
        timer->async_wait([this, topic, from, respond, timer](error_code)
                          { respond(range(topics_[topic], from)); });
    }

    static void list(partition const& part, std::string const& after,
                     responder const& respond)
    {
        constexpr std::size_t page = 500;
        auto items = json::array();
        auto place = after.empty() ? part.newest_.begin()
                                   : part.newest_.upper_bound(after);
        for (; place != part.newest_.end() && items.size() < page; ++place)
        {
            auto const& value = place->second.second;
            items.push_back(
                {{"key", place->first},
                 {"value", json::binary({value.begin(), value.end()})},
                 {"offset", place->second.first}});
        }
        respond({200, to_body({{"items", items},
                               {"has_more", place != part.newest_.end()},
                               {"end_offset", part.log_.size()}})});
    }

    asio::io_context& io_;
    std::map<std::string, partition> topics_;
};

} // namespace review

#endif
