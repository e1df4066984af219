#include "platform.h"

#include <boost/endian/conversion.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <future>
#include <iostream>
#include <mutex>
#include <thread>

namespace review
{

namespace
{

steady::time_point const program_start = steady::now();
std::mutex record_mutex;

std::string base64(std::string const& bytes)
{
    static char const* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
                                      "opqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t value = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            value =
                value << 8U |
                (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                      : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            text += i + k > bytes.size() ? '='
                                         : digits[value >> (18 - 6 * k) & 63U];
        }
    }
    return text;
}

std::string decode_percent(std::string const& text)
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

void append_number(std::string& to, std::uint64_t value)
{
    boost::endian::native_to_big_inplace(value);
    to.append(reinterpret_cast<char const*>(&value), sizeof value);
}

void append_length(std::string& to, std::size_t size)
{
    auto value = static_cast<std::uint32_t>(size);
    boost::endian::native_to_big_inplace(value);
    to.append(reinterpret_cast<char const*>(&value), sizeof value);
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() -
                                                    program_start)
        .count();
}

void record(std::string const& line)
{
    std::lock_guard<std::mutex> const lock(record_mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ",
                  static_cast<double>(now_ms()) / 1000);
    std::cout << time << line << std::endl;
}

void sleep_ms(std::int64_t time)
{
    std::this_thread::sleep_for(milliseconds{time});
}

std::string to_cbor(json const& value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

json request::body() const
{
    return json::from_cbor(message_.body());
}

// ---------------------------------------------------------------- server

class server::session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<server> owner)
        : socket_(std::move(socket)), owner_(std::move(owner))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(8 * 1024 * 1024);
        http::async_read(
            socket_, buffer_, *parser_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                if (error)
                {
                    self->close();
                    return;
                }
                self->handle();
            });
    }

    void close()
    {
        beast::error_code ignored;
        socket_.close(ignored);
        if (auto const owner = owner_.lock())
        {
            owner->sessions_.erase(shared_from_this());
        }
    }

private:
    void handle()
    {
        request call;
        call.message_ = parser_->release();
        call.method_ = std::string(call.message_.method_string());
        std::string const target(call.message_.target());
        auto const mark = target.find('?');
        call.path_ = target.substr(0, mark);
        std::string query =
            mark == std::string::npos ? "" : target.substr(mark + 1);
        while (!query.empty())
        {
            auto const end = std::min(query.find('&'), query.size());
            auto const part = query.substr(0, end);
            auto const equals = part.find('=');
            call.query_[part.substr(0, equals)] =
                equals == std::string::npos
                    ? ""
                    : decode_percent(part.substr(equals + 1));
            query = end < query.size() ? query.substr(end + 1) : "";
        }
        auto const owner = owner_.lock();
        if (!owner)
        {
            return;
        }
        owner->handler_(
            call,
            [weak = weak_from_this()](unsigned status, std::string body)
            {
                if (auto const self = weak.lock())
                {
                    self->write(status, std::move(body));
                }
            });
    }

    void write(unsigned status, std::string body)
    {
        response_ = {};
        response_.version(11);
        response_.result(status);
        response_.set(http::field::content_type, "application/cbor");
        response_.keep_alive(true);
        response_.body() = std::move(body);
        response_.prepare_payload();
        http::async_write(
            socket_, response_,
            [self = shared_from_this()](beast::error_code error, std::size_t)
            {
                if (error)
                {
                    self->close();
                    return;
                }
                self->read();
            });
    }

    tcp::socket socket_;
    std::weak_ptr<server> owner_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
};

server::server(asio::io_context& context, request_handler handler)
    : context_(context), acceptor_(context), handler_(std::move(handler))
{
}

std::string server::listen()
{
    tcp::endpoint const at(asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(at.protocol());
    acceptor_.bind(at);
    acceptor_.listen();
    accept();
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void server::accept()
{
    acceptor_.async_accept(
        [weak = weak_from_this()](beast::error_code error, tcp::socket socket)
        {
            auto const self = weak.lock();
            if (!self || error)
            {
                return;
            }
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            auto const fresh =
                std::make_shared<session>(std::move(socket), self);
            self->sessions_.insert(fresh);
            fresh->read();
            self->accept();
        });
}

void server::close()
{
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (auto const& each : std::set<std::shared_ptr<session>>(sessions_))
    {
        each->close();
    }
}

// ----------------------------------------------------------------- store

void store::put(std::string const& topic, std::string const& key,
                std::optional<std::string> const& value)
{
    auto& part = parts_[topic];
    part.log_.push_back({key, value});
    answer_readers(part);
}

std::optional<std::string> store::newest(std::string const& topic,
                                         std::string const& key)
{
    auto const& log = parts_[topic].log_;
    for (auto at = log.rbegin(); at != log.rend(); ++at)
    {
        if (at->key_ == key)
        {
            return at->value_;
        }
    }
    return std::nullopt;
}

std::string store::range(partition const& part, std::size_t from)
{
    constexpr std::size_t largest = 1024 * 1024;
    std::string bytes;
    append_number(bytes, part.log_.size());
    append_number(bytes, 0);
    for (; from < part.log_.size() && bytes.size() < largest; ++from)
    {
        auto const& each = part.log_[from];
        auto const size =
            1 + each.key_.size() + (each.value_ ? each.value_->size() : 0);
        append_length(bytes, size);
        bytes += static_cast<char>(each.key_.size());
        bytes += each.key_;
        bytes += each.value_.value_or("");
    }
    return bytes;
}

void store::answer_readers(partition& part)
{
    for (auto const& each : std::exchange(part.readers_, {}))
    {
        if (!each->answered_)
        {
            each->answered_ = true;
            each->respond_(200, range(part, each->from_));
        }
    }
}

bool store::serve(request const& call, respond_function const& respond)
{
    if (call.path_.rfind("/api/log-", 0) != 0)
    {
        return false;
    }
    auto& part = parts_[call.query_.at("topic")];
    if (call.path_ == "/api/log-append")
    {
        append(part, call, respond);
    }
    else if (call.path_ == "/api/log-read")
    {
        auto const from =
            static_cast<std::size_t>(std::stoull(call.query_.at("from")));
        auto const wait = call.query_.find("wait_ms");
        if (from < part.log_.size() || wait == call.query_.end())
        {
            respond(200, range(part, from));
            return true;
        }
        auto const waiting = std::make_shared<reader>();
        waiting->from_ = from;
        waiting->respond_ = respond;
        part.readers_.push_back(waiting);
        auto const timer = std::make_shared<asio::steady_timer>(
            context_, milliseconds{std::stoll(wait->second)});
        timer->async_wait(
            [waiting, timer, &part](beast::error_code)
            {
                if (!waiting->answered_)
                {
                    waiting->answered_ = true;
                    waiting->respond_(200, range(part, waiting->from_));
                }
            });
    }
    else if (call.path_ == "/api/log-newest")
    {
        std::map<std::string, std::pair<std::string, std::size_t>> values;
        for (std::size_t i = 0; i < part.log_.size(); ++i)
        {
            auto const& each = part.log_[i];
            if (each.value_ && !each.value_->empty())
            {
                values[each.key_] = {*each.value_, i};
            }
            else
            {
                values.erase(each.key_);
            }
        }
        auto const after = call.query_.find("depends_on");
        auto at = after == call.query_.end()
                      ? values.begin()
                      : values.upper_bound(after->second);
        json items = json::array();
        std::size_t bytes = 0;
        for (; at != values.end() && items.size() < 500 && bytes < 1'000'000;
             ++at)
        {
            bytes += at->second.first.size();
            items.push_back({{"key", at->first},
                             {"value", base64(at->second.first)},
                             {"offset", at->second.second}});
        }
        respond(200, to_cbor({{"items", items},
                              {"has_more", at != values.end()},
                              {"end_offset", part.log_.size()}}));
    }
    else
    {
        respond(404, "");
    }
    return true;
}

void store::append(partition& part, request const& call,
                   respond_function const& respond)
{
    std::vector<entry> entries;
    auto const& bytes = call.message_.body();
    for (std::size_t at = 0; at + 4 <= bytes.size();)
    {
        std::uint32_t size = 0;
        std::memcpy(&size, bytes.data() + at, sizeof size);
        boost::endian::big_to_native_inplace(size);
        auto const key_size =
            static_cast<std::size_t>(static_cast<unsigned char>(bytes[at + 4]));
        entry read;
        read.key_ = bytes.substr(at + 5, key_size);
        if (size > key_size + 1)
        {
            read.value_ = bytes.substr(at + 5 + key_size, size - key_size - 1);
        }
        entries.push_back(std::move(read));
        at += 4 + size;
    }
    auto const epoch_text = call.query_.find("epoch");
    producer* writer = nullptr;
    std::optional<std::uint64_t> sequence;
    if (epoch_text != call.query_.end())
    {
        auto const epoch = std::stoull(epoch_text->second);
        writer = &part.producers_[call.query_.at("producer")];
        auto const number = call.query_.find("sequence");
        if (number != call.query_.end())
        {
            sequence = std::stoull(number->second);
        }
        if (epoch < writer->epoch_)
        {
            respond(409, to_cbor({{"reason", "fenced"}}));
            return;
        }
        if (epoch > writer->epoch_)
        {
            *writer = {};
            writer->epoch_ = epoch;
        }
        for (auto const& repeated : writer->answers_)
        {
            if (sequence && repeated.first == *sequence)
            {
                respond(200, repeated.second);
                return;
            }
        }
        if (sequence && writer->sequence_ &&
            *sequence != *writer->sequence_ + 1)
        {
            respond(409, to_cbor({{"reason", "seq"},
                                  {"sequence", *writer->sequence_ + 1}}));
            return;
        }
    }
    auto const offset = part.log_.size();
    for (auto& each : entries)
    {
        part.log_.push_back(std::move(each));
    }
    auto const body =
        to_cbor({{"offset", offset}, {"end_offset", part.log_.size()}});
    if (writer != nullptr && sequence)
    {
        writer->sequence_ = sequence;
        writer->answers_.emplace_back(*sequence, body);
        if (writer->answers_.size() > 5)
        {
            writer->answers_.pop_front();
        }
    }
    if (!entries.empty())
    {
        answer_readers(part);
    }
    respond(200, body);
}

// ---------------------------------------------------------------- minion

minion::minion(platform& owner, std::string id, std::string machine,
               std::string service, std::string rack, std::string kind)
    : id_(std::move(id)), machine_(std::move(machine)),
      service_(std::move(service)), labels_{std::move(kind), std::move(rack)},
      platform_(owner), born_(now_ms() - 100'000)
{
    server_ = std::make_shared<server>(
        owner.context_, [this](request const& call, respond_function respond)
        { serve(call, respond); });
    address_ = server_->listen();
    write_entry();
}

minion::~minion()
{
    server_->close();
}

std::int64_t minion::clock() const
{
    return now_ms() - born_;
}

void minion::write_entry()
{
    platform_.store_.put(
        "keyed.servers", id_,
        to_cbor({{"service", service_},
                 {"address", address_},
                 {"machine", machine_},
                 {"zone", "walu-hall"},
                 {"version", "v1"},
                 {"capacity", 8},
                 {"state", "ready"},
                 {"cold_remaining_ms", 0},
                 {"available_resources",
                  {{"cpu", 16000}, {"mem_mb", 65536}, {"gpu", 0}}},
                 {"labels", labels_},
                 {"clock_ms", clock()},
                 {"sequence", ++sequence_}}));
}

void minion::answer(unsigned status, json body, respond_function const& respond)
{
    body["clock_ms"] = clock();
    respond(status, to_cbor(body));
}

void minion::serve(request const& call, respond_function const& respond)
{
    if (!alive_ || now_ms() < cut_until_)
    {
        return;
    }
    if (call.path_ == "/health")
    {
        respond(200, "");
        return;
    }
    if (call.message_["Target-Instance"] != id_)
    {
        answer(421, json::object(), respond);
        return;
    }
    auto const body = call.body();
    auto const token = body.value("fencing_token", std::uint64_t{0});
    if (token < fence_)
    {
        answer(409, {{"reason", "fence"}}, respond);
        return;
    }
    fence_ = token;
    if (call.path_ == "/api/run-start")
    {
        start_run(body, respond);
    }
    else if (call.path_ == "/api/run-stop")
    {
        stop_run(body, respond);
    }
    else if (call.path_ == "/api/hold")
    {
        hold(body, respond);
    }
    else
    {
        answer(200, json::object(), respond);
    }
}

void minion::start_run(json const& body, respond_function const& respond)
{
    auto const task = body.at("task").get<std::string>();
    auto const run = body.at("run").get<std::uint32_t>();
    auto const deadline = body.at("deadline_ms").get<std::int64_t>();
    auto const reject = [&](char const* reason)
    {
        ++platform_.rejected_[reason];
        answer(409, {{"reason", reason}}, respond);
    };
    auto const extend = [&]
    {
        lease_ = std::max(lease_,
                          std::min(deadline, clock() + platform_.hold_max_ms_));
    };
    auto const there = running_.find(task);
    if (there != running_.end() && there->second.number_ == run)
    {
        extend();
        answer(200, json::object(), respond);
        return;
    }
    auto const over = over_.find(task);
    bool const is_old =
        (over != over_.end() && run <= over->second) || there != running_.end();
    if (is_old)
    {
        extend();
        reject("old");
        return;
    }
    if (deadline <= clock())
    {
        reject("late");
        return;
    }
    auto const plan = platform_.plan_(*this, task, run);
    auto const step = task.substr(0, task.rfind('.'));
    auto const ticket = body.value("ticket", std::string());
    bool const has_ticket = ticket == "t-" + step + "-" + id_ &&
                            platform_.tickets_.count({step, id_}) != 0;
    if (plan.needs_ticket_ && !has_ticket)
    {
        reject("ticket");
        return;
    }
    extend();
    minion::run fresh;
    fresh.number_ = run;
    fresh.plan_ = plan;
    fresh.started_ = now_ms();
    fresh.works_since_ = plan.gang_size_ == 0 ? fresh.started_ : -1;
    running_[task] = fresh;
    if (platform_.on_start_)
    {
        platform_.on_start_(*this, task, run);
    }
    answer(200, json::object(), respond);
}

void minion::stop_run(json const& body, respond_function const& respond)
{
    auto const task = body.at("task").get<std::string>();
    auto const run = body.at("run").get<std::uint32_t>();
    over_[task] = std::max(over_[task], run);
    auto const there = running_.find(task);
    if (there != running_.end() && there->second.number_ <= run)
    {
        stopping_.emplace(task, std::make_pair(run, now_ms() + 50));
    }
    answer(200, json::object(), respond);
}

json minion::report() const
{
    json running = json::array();
    for (auto const& each : running_)
    {
        auto const& run = each.second;
        auto const worked =
            run.works_since_ < 0 ? 0 : now_ms() - run.works_since_;
        auto const percent = std::min<std::int64_t>(
            99, worked * 100 / std::max<std::int64_t>(1, run.plan_.work_ms_));
        running.push_back({each.first, run.number_, "", percent, 500});
    }
    json finished = json::array();
    for (auto const& each : finished_)
    {
        if (finished.size() < 500)
        {
            finished.push_back(each);
        }
    }
    return {{"running", running}, {"finished", finished}};
}

void minion::hold(json const& body, respond_function const& respond)
{
    if (body.contains("deadline_ms"))
    {
        auto const deadline = body.at("deadline_ms").get<std::int64_t>();
        lease_ = std::max(lease_,
                          std::min(deadline, clock() + platform_.hold_max_ms_));
    }
    auto const acked = body.value("last_acked", std::uint64_t{0});
    while (!finished_.empty() &&
           finished_.front()[0].get<std::uint64_t>() <= acked)
    {
        finished_.pop_front();
    }
    auto const wait =
        std::min<std::int64_t>(2000, body.value("wait_ms", std::int64_t{0}));
    if (wait > 0 && finished_.empty())
    {
        waiting_.push_back({now_ms() + wait, respond});
        return;
    }
    answer(200, report(), respond);
}

void minion::end(std::string const& task, char const* how)
{
    auto const there = running_.find(task);
    auto const run = there->second.number_;
    running_.erase(there);
    stopping_.erase(task);
    over_[task] = std::max(over_[task], run);
    finished_.push_back({++last_number_, task, run, how, ""});
    if (platform_.on_end_)
    {
        platform_.on_end_(*this, task, run, how);
    }
}

void minion::tick()
{
    if (!alive_)
    {
        return;
    }
    auto const now = now_ms();
    auto const runs = running_;
    for (auto const& each : runs)
    {
        if (running_.count(each.first) == 0)
        {
            continue;
        }
        auto const& run = running_.at(each.first);
        auto const stopping = stopping_.find(each.first);
        if (clock() > lease_)
        {
            end(each.first, "lapsed");
        }
        else if (stopping != stopping_.end() && now >= stopping->second.second)
        {
            end(each.first, "stopped");
        }
        else if (run.works_since_ < 0 &&
                 now - run.started_ > platform_.gang_wait_ms_)
        {
            end(each.first, "alone");
        }
        else if (run.works_since_ >= 0 &&
                 now - run.works_since_ >= run.plan_.work_ms_)
        {
            auto const how = run.plan_.end_;
            end(each.first, how.c_str());
        }
    }
    auto const waiting = std::exchange(waiting_, {});
    for (auto const& each : waiting)
    {
        if (!finished_.empty() || now >= each.until_)
        {
            answer(200, report(), each.respond_);
        }
        else
        {
            waiting_.push_back(each);
        }
    }
}

void minion::crash()
{
    alive_ = false;
    running_.clear();
    waiting_.clear();
    server_->close();
}

// -------------------------------------------------------------- platform

platform::platform() : store_(context_), timer_(context_)
{
    server_ = std::make_shared<server>(
        context_, [this](request const& call, respond_function respond)
        { serve(call, respond); });
    address_ = server_->listen();
    tick();
    thread_ = std::thread([this] { context_.run(); });
}

platform::~platform()
{
    run(
        [this]
        {
            timer_.cancel();
            server_->close();
            for (auto& each : machines_)
            {
                each.second.minion_.reset();
            }
            graveyard_.clear();
        });
    context_.stop();
    thread_.join();
}

void platform::run(std::function<void()> const& function)
{
    std::promise<void> done;
    asio::post(context_,
               [&]
               {
                   function();
                   done.set_value();
               });
    done.get_future().wait();
}

void platform::start_minion(machine& on)
{
    on.state_ = "up";
    ++on.lives_;
    on.minion_ = std::make_shared<minion>(
        *this, "i-" + on.name_.substr(2) + "-" + std::to_string(on.lives_),
        on.name_, on.pool_, on.rack_, "a");
}

void platform::add_machine(std::string const& name, std::string const& pool,
                           std::string const& rack)
{
    run(
        [&]
        {
            auto& added = machines_[name];
            added.name_ = name;
            added.pool_ = pool;
            added.rack_ = rack;
            start_minion(added);
        });
}

void platform::put_config(json const& config)
{
    run([&] { store_.put("keyed.op", "config", to_cbor(config)); });
}

void platform::put_wave(int number, std::vector<std::string> const& machines,
                        int duration_s, int max_count)
{
    run(
        [&]
        {
            store_.put("keyed.op", "wave/" + std::to_string(number),
                       to_cbor({{"wave", number},
                                {"machines", machines},
                                {"duration_s", duration_s},
                                {"max_count", max_count}}));
        });
}

std::string platform::wave_state(int number)
{
    std::string state;
    run(
        [&]
        {
            auto const value =
                store_.newest("keyed.status", "wave/" + std::to_string(number));
            if (value)
            {
                state = json::from_cbor(*value).value("state", "");
            }
        });
    return state;
}

void platform::serve(request const& call, respond_function const& respond)
{
    if (store_.serve(call, respond))
    {
        return;
    }
    if (call.path_ == "/api/machines" || call.path_ == "/api/machine-move" ||
        call.path_ == "/api/machine-upkeep")
    {
        if (machines_silent_)
        {
            return;
        }
        order(call, respond);
        return;
    }
    if (call.path_ == "/api/advise")
    {
        auto const body = call.body();
        auto const step = body.at("step").get<std::string>();
        json rows = json::array();
        for (auto const& each : body.at("workers"))
        {
            auto const id = each.get<std::string>();
            tickets_.insert({step, id});
            rows.push_back({id, "t-" + step + "-" + id});
        }
        respond(200, to_cbor({{"allowed", rows}, {"validity_ms", 3000}}));
        return;
    }
    respond(404, "");
}

void platform::order(request const& call, respond_function const& respond)
{
    if (call.method_ == "GET")
    {
        json list = json::array();
        for (auto const& item : machines_)
        {
            auto const& each = item.second;
            bool const up = each.state_ == "up";
            list.push_back({{"machine", each.name_},
                            {"pool", each.pool_},
                            {"state", each.state_},
                            {"zone", "walu-hall"},
                            {"labels", {"a", each.rack_}},
                            {"available_resources",
                             {{"cpu", 16000}, {"mem_mb", 65536}, {"gpu", 0}}},
                            {"id", up ? each.minion_->id_ : ""}});
        }
        respond(200,
                to_cbor({{"machines", list}, {"next_page_token", nullptr}}));
        return;
    }
    auto const body = call.body();
    auto const name = body.at("machine").get<std::string>();
    bool const is_upkeep = call.path_ == "/api/machine-upkeep";
    record("the platform gets " + call.path_ + " for " + name);
    auto const found = machines_.find(name);
    if (found == machines_.end())
    {
        respond(400, to_cbor(json::object()));
        return;
    }
    auto& on = found->second;
    auto const wave = is_upkeep ? body.at("wave").get<int>() : 0;
    bool const is_done = is_upkeep
                             ? on.upkeeps_.count(wave) != 0
                             : on.pool_ == body.at("pool").get<std::string>();
    if (is_done)
    {
        respond(200, to_cbor(json::object()));
        return;
    }
    if (on.state_ != "up")
    {
        respond(409, to_cbor({{"reason", "busy"}}));
        return;
    }
    on.minion_->crash();
    graveyard_.push_back(on.minion_);
    store_.put("keyed.servers", on.minion_->id_, std::nullopt);
    std::int64_t down = 1500;
    if (is_upkeep)
    {
        on.upkeeps_.insert(wave);
        on.state_ = "upkeep";
        down = 2000;
    }
    else
    {
        on.pool_ = body.at("pool").get<std::string>();
        on.state_ = "moving";
    }
    later_.emplace_back(now_ms() + down,
                        [this, name] { start_minion(machines_.at(name)); });
    respond(200, to_cbor(json::object()));
}

void platform::tick()
{
    auto const now = now_ms();
    for (auto& each : machines_)
    {
        if (each.second.minion_ && each.second.minion_->alive_)
        {
            each.second.minion_->tick();
        }
    }
    // The members of a gang work from the moment when all of one run are there,
    // and end together.
    std::map<std::string, std::vector<minion::run*>> gangs;
    for (auto& each : machines_)
    {
        if (!each.second.minion_ || !each.second.minion_->alive_)
        {
            continue;
        }
        for (auto& item : each.second.minion_->running_)
        {
            if (item.second.plan_.gang_size_ != 0)
            {
                gangs[item.first.substr(0, item.first.rfind('.')) + " " +
                      std::to_string(item.second.number_)]
                    .push_back(&item.second);
            }
        }
    }
    for (auto const& gang : gangs)
    {
        bool const is_whole =
            gang.second.size() == gang.second.front()->plan_.gang_size_;
        for (auto* const member : gang.second)
        {
            if (is_whole && member->works_since_ < 0)
            {
                member->works_since_ = now;
            }
        }
    }
    if (now >= next_beat_)
    {
        next_beat_ = now + heartbeat_ms_;
        for (auto& each : machines_)
        {
            if (each.second.minion_ && each.second.minion_->alive_)
            {
                each.second.minion_->write_entry();
            }
        }
    }
    auto const due = std::exchange(later_, {});
    for (auto const& each : due)
    {
        if (now >= each.first)
        {
            each.second();
        }
        else
        {
            later_.push_back(each);
        }
    }
    timer_.expires_after(milliseconds{5});
    timer_.async_wait(
        [this](beast::error_code error)
        {
            if (!error)
            {
                tick();
            }
        });
}

// ----------------------------------------------------------------- nodes

namespace
{

std::string free_address()
{
    asio::io_context context;
    tcp::acceptor acceptor(
        context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

answer call_http(std::string const& address, std::string const& host,
                 std::string const& method, std::string const& target,
                 std::string const& body, std::int64_t limit_ms)
{
    answer result;
    try
    {
        asio::io_context context;
        beast::tcp_stream stream(context);
        auto const colon = address.find(':');
        tcp::endpoint const at(
            asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
        http::request<http::string_body> message;
        message.method_string(method);
        message.target(target);
        message.version(11);
        message.set(http::field::host, host);
        message.set(http::field::content_type, "application/cbor");
        message.set("Deadline-Ms", std::to_string(limit_ms));
        message.body() = body;
        message.prepare_payload();
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        bool done = false;
        stream.expires_after(milliseconds{limit_ms + 200});
        stream.async_connect(
            at,
            [&](beast::error_code error)
            {
                if (error)
                {
                    return;
                }
                http::async_write(stream, message,
                                  [&](beast::error_code failed, std::size_t)
                                  {
                                      if (failed)
                                      {
                                          return;
                                      }
                                      http::async_read(
                                          stream, buffer, response,
                                          [&](beast::error_code ended,
                                              std::size_t) { done = !ended; });
                                  });
            });
        context.run();
        if (done)
        {
            result.status_ = response.result_int();
            if (!response.body().empty())
            {
                result.body_ = json::from_cbor(response.body(), true, false);
            }
        }
    }
    catch (std::exception const& error)
    {
        record(std::string("a client's call failed: ") + error.what());
    }
    return result;
}

} // namespace

nodes::nodes(std::string program, std::string folder, std::string platform,
             unsigned count)
    : program_(std::move(program)), folder_(std::move(folder))
{
    for (unsigned i = 0; i < count; ++i)
    {
        auto const name = "edge-" + std::to_string(i + 1);
        clients_.push_back(free_address());
        health_.push_back(free_address());
        // As deploy/settings.yaml.in renders it for a small installation.
        std::ofstream(folder_ + "/" + name + ".yaml")
            << "name: \"" << name << "\"\n"
            << "data_centre: \"walu-hall\"\n"
            << "clients_address: \"" << clients_[i] << "\"\nhealth_address: \""
            << health_[i] << "\"\npeers_address: \"" << free_address()
            << "\"\nstore_address: \"" << platform << "\"\nmachines_address: \""
            << platform << "\"\nadvice_address: \"" << platform
            << "\"\nlongest_lease: 10000ms\n"
               "drain_notice: 2000ms\n"
               "stop_grace: 200ms\n"
               "order_pause: 3000ms\n"
               "max_record_bytes: 262144\n"
               "max_append_bytes: 2097152\n"
               "cpu_share: 0.25\n"
               "cpu_speed: 1\n";
        pids_.push_back(0);
        start(i);
    }
}

void nodes::start(unsigned node)
{
    auto const path = folder_ + "/edge-" + std::to_string(node + 1);
    auto const settings = path + ".yaml";
    auto const log = path + ".log";
    auto const pid = fork();
    if (pid == 0)
    {
        int const out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        for (int fd = 3; fd < 256; ++fd)
        {
            close(fd);
        }
        execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(),
              nullptr);
        _exit(127);
    }
    pids_.at(node) = pid;
}

void nodes::restart(unsigned node)
{
    int status = 0;
    waitpid(pids_.at(node), &status, 0);
    start(node);
}

unsigned nodes::owner() const
{
    unsigned found = 0;
    std::uint64_t newest = 0;
    for (unsigned i = 0; i < pids_.size(); ++i)
    {
        std::ifstream in(folder_ + "/edge-" + std::to_string(i + 1) + ".log");
        for (std::string line; std::getline(in, line);)
        {
            auto const at = line.find(" epoch=");
            if (line.find("event=owner_serves") == std::string::npos ||
                at == std::string::npos)
            {
                continue;
            }
            auto const epoch = std::stoull(line.substr(at + 7));
            if (epoch > newest)
            {
                newest = epoch;
                found = i;
            }
        }
    }
    return found;
}

double nodes::memory_mb(unsigned node) const
{
    std::ifstream in("/proc/" + std::to_string(pids_.at(node)) + "/status");
    for (std::string word; in >> word;)
    {
        if (word == "VmRSS:")
        {
            double kilobytes = 0;
            in >> kilobytes;
            return kilobytes / 1024;
        }
    }
    return 0;
}

nodes::~nodes()
{
    for (auto const pid : pids_)
    {
        ::kill(pid, SIGKILL);
        int status = 0;
        waitpid(pid, &status, 0);
    }
}

void nodes::kill(unsigned node, int signal)
{
    ::kill(pids_.at(node), signal);
}

bool nodes::wait_ready(std::int64_t limit_ms)
{
    auto const until = now_ms() + limit_ms;
    for (unsigned i = 0; i < count();)
    {
        if (call_http(health_[i], "x", "GET", "/api/readiness", "", 500)
                .status_ == 200)
        {
            ++i;
            continue;
        }
        if (now_ms() > until)
        {
            return false;
        }
        sleep_ms(100);
    }
    return true;
}

answer nodes::call(unsigned node, std::string const& method,
                   std::string const& path, std::string const& body,
                   std::int64_t limit_ms)
{
    return call_http(clients_.at(node), host_, method, path, body, limit_ms);
}

bool nodes::submit(std::string const& path, json const& job)
{
    for (unsigned attempt = 0; attempt < 20; ++attempt)
    {
        auto const result = call(attempt % count(), "POST", path, to_cbor(job));
        record("POST " + path + ": " + std::to_string(result.status_));
        if (result.status_ / 100 == 2)
        {
            return true;
        }
        sleep_ms(300);
    }
    return false;
}

std::string nodes::state(std::string const& path)
{
    for (unsigned attempt = 0; attempt < 6; ++attempt)
    {
        auto const result = call(attempt % count(), "GET", path);
        if (result.status_ == 200)
        {
            return result.body_.value("state", "");
        }
        if (result.status_ == 410)
        {
            return "410";
        }
        sleep_ms(200);
    }
    return "";
}

} // namespace review
