#include "controller/platform_client.hpp"

#include "wire/decode_error.hpp"
#include "wire/json_codec.hpp"
#include "wire/record_codec.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace cuminfold
{

namespace
{

using nlohmann::json;

/// Time that the platform has to answer, beyond the wait that a read requests.
constexpr duration response_timeout = std::chrono::seconds{2};

/// Fills a result from the platform's response, whose status is 200 or 410.
/// @throws json::exception or decode_error if the body is malformed
void parse_read(http_response const& response, log_read_result& result)
{
    json const body = detail::parse_cbor(response.body_);
    result.earliest_ = body.at("earliest").get<log_offset>();
    result.end_ = body.at("end").get<log_offset>();
    if (response.status_ == 410)
    {
        result.status_ = log_read_status::gap;
        return;
    }
    log_offset offset = result.from_;
    for (auto const& item : body.at("entries"))
    {
        auto const& bytes = item.get_binary();
        log_entry entry;
        entry.offset_ = offset++;
        try
        {
            entry.records_ =
                decode_records(std::string(bytes.begin(), bytes.end()));
        }
        catch (decode_error const& error)
        {
            // An entry that cannot be decoded becomes one record of unknown
            // kind: it keeps its offset and has no effect.
            record unknown;
            unknown.body_ = unknown_body{error.what(), 0};
            entry.records_ = {unknown};
        }
        result.entries_.push_back(std::move(entry));
    }
    result.status_ = log_read_status::ok;
}

void reject(log_read_result& result)
{
    result.status_ = log_read_status::unavailable;
    result.entries_.clear();
}

vm_list parse_list(json const& body)
{
    vm_list list;
    list.version_ = body.at("version").get<std::uint64_t>();
    for (auto const& item : body.at("vms"))
    {
        listed_vm vm;
        vm.vm_ = vm_id{item.at("vm").get<std::string>()};
        vm.address_ = item.value("address", "");
        vm.data_centre_ = data_centre_name{item.value("data_centre", "")};
        vm.rack_ = rack_name{item.value("rack", "")};
        vm.shape_ =
            vm_shape{item.value("cores", 0U), item.value("memory_mb", 0U),
                     item.value("accelerators", 0U), item.value("slots", 0U),
                     item.value("connections", 0U)};
        std::string const state = item.value("state", "live");
        vm.state_ = state == "gone"      ? listed_state::gone
                    : state == "leaving" ? listed_state::leaving
                                         : listed_state::live;
        vm.entry_ = item.value("entry", false);
        list.vms_.push_back(std::move(vm));
    }
    return list;
}

bool has_status(http_result const& reply, unsigned status)
{
    return reply.end_ == http_end::whole && reply.response_.status_ == status;
}

} // namespace

platform_client::platform_client(http_client& http, std::string address)
    : http_(http), address_(std::move(address))
{
}

void platform_client::read(log_read const& request,
                           std::function<void(log_read_result)> done)
{
    auto const wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.wait_);
    http_call call;
    call.address_ = address_;
    call.method_ = "GET";
    call.target_ = "/v1/streams/" + request.stream_.text() +
                   "/entries?from=" + std::to_string(request.from_) +
                   "&limit=" + std::to_string(request.limit_) +
                   "&wait_ms=" + std::to_string(wait.count());
    call.timeout_ = request.wait_ + response_timeout;
    http_.start(std::move(call),
                [request, done = std::move(done)](http_result const& reply)
                {
                    log_read_result result;
                    result.stream_ = request.stream_;
                    result.from_ = request.from_;
                    if (has_status(reply, 200) || has_status(reply, 410))
                    {
                        try
                        {
                            parse_read(reply.response_, result);
                        }
                        catch (json::exception const&)
                        {
                            reject(result);
                        }
                        catch (decode_error const&)
                        {
                            reject(result);
                        }
                    }
                    done(std::move(result));
                });
}

void platform_client::append(log_append const& request,
                             std::function<void(log_append_result)> done)
{
    http_call call;
    call.address_ = address_;
    call.target_ = "/v1/streams/" + request.stream_.text() + "/entries";
    call.body_ = encode_records(request.records_);
    call.timeout_ = response_timeout;
    log_append_result result;
    result.stream_ = request.stream_;
    result.ticket_ = request.ticket_;
    http_.start(std::move(call),
                [result, done = std::move(done)](http_result const& reply)
                {
                    log_append_result answer = result;
                    json const body =
                        json::parse(reply.response_.body_, nullptr, false);
                    if (has_status(reply, 201) && body.is_object() &&
                        body.contains("offset"))
                    {
                        answer.status_ = log_append_status::appended;
                        answer.offset_ = body["offset"].get<log_offset>();
                    }
                    else if (has_status(reply, 503) ||
                             reply.end_ == http_end::not_sent)
                    {
                        answer.status_ = log_append_status::rejected;
                    }
                    done(answer);
                });
}

void platform_client::list(std::function<void(std::optional<vm_list>)> done)
{
    http_call call;
    call.address_ = address_;
    call.method_ = "GET";
    call.target_ = "/v1/vms";
    http_.start(std::move(call),
                [done = std::move(done)](http_result const& reply)
                {
                    std::optional<vm_list> list;
                    if (has_status(reply, 200))
                    {
                        try
                        {
                            list =
                                parse_list(json::parse(reply.response_.body_));
                        }
                        catch (json::exception const&)
                        {
                            list.reset();
                        }
                    }
                    done(std::move(list));
                });
}

void platform_client::reboot(vm_id const& vm, std::string const& token,
                             std::function<void(platform_call_result)> done)
{
    http_call call;
    call.address_ = address_;
    call.target_ = "/v1/vms/" + vm.text() + "/reboot";
    call.body_ = json{{"token", token}}.dump();
    platform_call_result result;
    result.vm_ = vm;
    result.kind_ = platform_call_kind::reboot;
    result.token_ = token;
    http_.start(std::move(call),
                [result, done = std::move(done)](http_result const& reply)
                {
                    platform_call_result answer = result;
                    answer.replied_ = reply.end_ == http_end::whole;
                    answer.accepted_ = has_status(reply, 202);
                    done(answer);
                });
}

} // namespace cuminfold
