#include "gateway/caller_api.hpp"

#include "kernel/hash.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <cstdint>
#include <utility>

namespace cuminfold
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_key_bytes = 256;
constexpr std::int64_t max_deadline_ms = 24LL * 3600 * 1000;

bool parse_flag(std::string const& text, std::optional<bool>& value)
{
    if (text.empty())
    {
        return true;
    }
    if (text != "true" && text != "false")
    {
        return false;
    }
    value = text == "true";
    return true;
}

std::optional<std::int64_t> parse_count(std::string const& text)
{
    std::int64_t value = 0;
    char const* const end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < 0)
    {
        return std::nullopt;
    }
    return value;
}

unsigned status_of(reason cause)
{
    switch (cause)
    {
    case reason::bad_request:
    case reason::key_required:
        return 400;
    case reason::unknown_service:
        return 404;
    case reason::claim_taken:
    case reason::claim_running:
    case reason::claim_mismatch:
        return 409;
    case reason::body_too_large:
        return 413;
    case reason::quota_exceeded:
    case reason::queue_full:
        return 429;
    default:
        return 503;
    }
}

unsigned status_of_unknown(reason cause)
{
    switch (cause)
    {
    case reason::claim_taken:
    case reason::claim_running:
    case reason::claim_outcome_unknown:
        return 409;
    case reason::worker_timeout:
        return 504;
    default:
        return 502;
    }
}

void set_retry_after(http_response& response, duration after)
{
    if (after.count() > 0)
    {
        auto const seconds = std::chrono::ceil<std::chrono::seconds>(after);
        response.fields_["retry-after"] = std::to_string(seconds.count());
        auto const exact = std::chrono::ceil<std::chrono::milliseconds>(after);
        response.fields_["cuminfold-retry-after"] =
            std::to_string(exact.count());
    }
}

http_response make_problem(unsigned status, reason cause, char const* outcome,
                           std::string const& detail)
{
    json const body = {
        {"type", "about:blank"}, {"title", std::string(name_of(cause))},
        {"status", status},      {"reason", std::string(name_of(cause))},
        {"outcome", outcome},    {"detail", detail}};
    http_response response =
        make_response(status, "application/problem+json", body.dump() + "\n");
    response.fields_["cuminfold-outcome"] = outcome;
    response.fields_["cuminfold-reason"] = std::string(name_of(cause));
    return response;
}

} // namespace

caller_target find_caller_target(http_request const& request)
{
    auto const parts = request.parts();
    std::string const& method = request.method_;
    if (parts.size() == 1 && method == "GET")
    {
        if (parts[0] == "healthz")
        {
            return {caller_resource::health, ""};
        }
        if (parts[0] == "readyz")
        {
            return {caller_resource::readiness, ""};
        }
        if (parts[0] == "metrics")
        {
            return {caller_resource::metrics, ""};
        }
    }
    if (parts.size() == 4 && parts[0] == "v1" && parts[1] == "services" &&
        method == "POST")
    {
        if (parts[3] == "requests")
        {
            return {caller_resource::request, parts[2]};
        }
        if (parts[3] == "jobs")
        {
            return {caller_resource::submit_job, parts[2]};
        }
    }
    if (parts.size() == 3 && parts[0] == "v1" && parts[1] == "jobs")
    {
        if (method == "GET")
        {
            return {caller_resource::read_job, parts[2]};
        }
        if (method == "DELETE")
        {
            return {caller_resource::cancel_job, parts[2]};
        }
    }
    return {};
}

std::variant<caller_request, std::string>
parse_caller_request(http_request const& http, std::string const& service,
                     request_id id)
{
    caller_request request;
    request.request_ = std::move(id);
    request.service_ = service_name{service};
    request.team_ = team_name{http.field("cuminfold-team")};
    request.key_ = http.field("idempotency-key");
    request.body_digest_ = stable_hash(http.body_);
    request.urgent_ = http.field("cuminfold-urgent") == "true";
    if (request.key_.size() > max_key_bytes)
    {
        return "Idempotency-Key: longer than 256 bytes";
    }
    if (!parse_flag(http.field("cuminfold-idempotent"), request.idempotent_))
    {
        return "Cuminfold-Idempotent: expected true or false";
    }
    std::string const deadline = http.field("cuminfold-deadline");
    if (!deadline.empty())
    {
        auto const count = parse_count(deadline);
        if (!count || *count > max_deadline_ms)
        {
            return "Cuminfold-Deadline: expected milliseconds";
        }
        request.deadline_ = std::chrono::milliseconds{*count};
    }
    std::string const hops = http.field("cuminfold-hops");
    if (!hops.empty())
    {
        auto const count = parse_count(hops);
        if (!count || *count > 16)
        {
            return "Cuminfold-Hops: expected a small number";
        }
        request.hops_ = static_cast<std::uint32_t>(*count);
    }
    return request;
}

std::variant<caller_job, std::string>
parse_caller_job(http_request const& http, std::string const& service,
                 request_id id)
{
    json const body = json::parse(http.body_, nullptr, false);
    if (!body.is_object())
    {
        return "body: expected a JSON object";
    }
    caller_job job;
    job.request_ = id;
    job.job_ = job_id{"job-" + id.text()};
    job.deadline_ = std::chrono::seconds{5};
    job_request& job_options = job.job_request_;
    job_options.service_ = service_name{service};
    job_options.team_ = team_name{http.field("cuminfold-team")};
    job_options.idempotent_ = http.field("cuminfold-idempotent") == "true";
    job_options.urgent_ = http.field("cuminfold-urgent") == "true";
    try
    {
        job_options.declared_run_time_ = std::chrono::milliseconds{
            body.value("run_time_ms", std::uint32_t{1000})};
        job_options.cores_ = body.value("cores", std::uint32_t{1});
        job_options.memory_mb_ = body.value("memory_mb", std::uint32_t{0});
        job_options.accelerators_ =
            body.value("accelerators", std::uint32_t{0});
        job_options.body_ = body.value("input", std::string());
    }
    catch (json::exception const& error)
    {
        return std::string("body: ") + error.what();
    }
    return job;
}

http_response make_refusal(not_run const& refusal)
{
    http_response response =
        make_problem(status_of(refusal.cause()), refusal.cause(), "not-run",
                     std::string(describe(refusal.cause()).help_));
    set_retry_after(response, refusal.retry_after());
    return response;
}

http_response make_unknown_outcome(outcome_unknown const& outcome)
{
    http_response response =
        make_problem(status_of_unknown(outcome.cause()), outcome.cause(),
                     "unknown", std::string(describe(outcome.cause()).help_));
    set_retry_after(response, outcome.retry_after());
    return response;
}

http_response make_bad_request(std::string const& what)
{
    return make_problem(400, reason::bad_request, "not-run", what);
}

http_response describe_job(unsigned status, job_entry const& job)
{
    static constexpr char const* names[] = {"waiting", "placed",    "finished",
                                            "failed",  "cancelled", "unknown"};
    json const body = {{"job", job.job_.text()},
                       {"service", job.request_.service_.text()},
                       {"phase", names[static_cast<std::size_t>(job.phase_)]},
                       {"attempt", job.attempt_},
                       {"vm", job.vm_.text()},
                       {"detail", job.detail_}};
    return make_response(status, "application/json", body.dump() + "\n");
}

} // namespace cuminfold
