#include "load/load_run.hpp"

#include "transport/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <utility>

namespace cuminfold
{

namespace
{

using nlohmann::json;
using clock = std::chrono::steady_clock;

/// Time after the deadline during which late answers are still accepted.
constexpr duration answer_margin = std::chrono::seconds{5};

/// Open-loop load generator with exponentially distributed arrival gaps.
class load_run
{
public:
    explicit load_run(load_settings const& settings)
        : settings_(settings), client_(context_, make_limits()),
          timer_(context_), random_(settings.seed_), gap_(settings.rate_),
          start_(clock::now())
    {
        next_ = start_;
    }

    load_report run()
    {
        schedule();
        context_.run();
        return std::move(report_);
    }

private:
    static http_client_limits make_limits()
    {
        http_client_limits limits;
        limits.connections_ = 16'384;
        limits.connect_time_ = std::chrono::seconds{2};
        return limits;
    }

    void schedule()
    {
        next_ += std::chrono::duration_cast<clock::duration>(
            std::chrono::duration<double>(gap_(random_)));
        if (next_ - start_ > settings_.length_)
        {
            all_sent_ = true;
            stop_if_done();
            return;
        }
        timer_.expires_at(next_);
        timer_.async_wait(
            [this](boost::system::error_code const& error)
            {
                if (!error)
                {
                    send();
                    schedule();
                }
            });
    }

    void send()
    {
        std::uint64_t const number = report_.sent_++;
        std::string const body = "load-" + std::to_string(settings_.seed_) +
                                 "-" + std::to_string(number);
        std::uniform_int_distribution<std::uint32_t> percent(0, 99);
        bool const once = percent(random_) < settings_.non_idempotent_percent_;
        http_call call;
        call.address_ = settings_.targets_[number % settings_.targets_.size()];
        call.target_ =
            "/v1/services/" +
            settings_.services_[number % settings_.services_.size()] +
            "/requests";
        call.fields_["cuminfold-deadline"] =
            std::to_string(settings_.deadline_.count() / 1000);
        call.fields_["cuminfold-idempotent"] = once ? "false" : "true";
        call.fields_["idempotency-key"] = body;
        call.body_ = body;
        call.timeout_ = settings_.deadline_ + answer_margin;
        // Latency is measured from the scheduled send time, so that delays
        // within this process count.
        ++outstanding_;
        client_.start(std::move(call),
                      [this, body, due = next_](http_result const& result)
                      {
                          --outstanding_;
                          on_result(body, due, result);
                          stop_if_done();
                      });
    }

    /// Closes idle connections once all requests are answered, which ends the
    /// run.
    void stop_if_done()
    {
        if (all_sent_ && outstanding_ == 0)
        {
            client_.stop();
        }
    }

    void on_result(std::string const& body, clock::time_point due,
                   http_result const& result)
    {
        auto const spent =
            std::chrono::duration_cast<duration>(clock::now() - due);
        if (result.end_ != http_end::whole)
        {
            ++report_.unanswered_;
            return;
        }
        if (result.response_.status_ == 200)
        {
            on_answer(body, spent, result.response_.body_);
            return;
        }
        json const problem =
            json::parse(result.response_.body_, nullptr, false);
        if (!problem.is_object())
        {
            ++report_.failed_;
            return;
        }
        ++report_.reasons_[problem.value("reason", "none")];
        if (problem.value("outcome", "") == "not-run")
        {
            ++report_.not_run_;
            report_.refusal_times_.push_back(spent);
        }
        else
        {
            ++report_.unknown_;
        }
    }

    void on_answer(std::string const& body, duration spent,
                   std::string const& answer)
    {
        bool const own = answer.size() > body.size() &&
                         answer.compare(answer.size() - body.size(),
                                        body.size(), body) == 0 &&
                         answer[answer.size() - body.size() - 1] == ' ';
        if (!own)
        {
            ++report_.wrong_;
            return;
        }
        report_.answer_times_.push_back(spent);
        if (spent <= settings_.deadline_)
        {
            ++report_.good_;
        }
        else
        {
            ++report_.late_;
        }
    }

    load_settings const& settings_;
    boost::asio::io_context context_{1};
    http_client client_;
    boost::asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> gap_;
    clock::time_point start_;
    clock::time_point next_;
    load_report report_;
    std::uint64_t outstanding_ = 0;
    bool all_sent_ = false;
};

json describe_times(std::vector<duration>& times)
{
    std::sort(times.begin(), times.end());
    auto const at = [&](double share)
    {
        if (times.empty())
        {
            return 0.0;
        }
        auto const rank = static_cast<std::size_t>(
            std::floor(share * static_cast<double>(times.size() - 1)));
        return static_cast<double>(times[rank].count()) / 1000.0;
    };
    return {{"p50_ms", at(0.5)}, {"p99_ms", at(0.99)}, {"p999_ms", at(0.999)}};
}

} // namespace

load_report run_load(load_settings const& settings)
{
    return load_run(settings).run();
}

std::string describe_report(load_settings const& settings, load_report report)
{
    double const seconds =
        std::chrono::duration<double>(settings.length_).count();
    json const body = {
        {"sent", report.sent_},
        {"good", report.good_},
        {"goodput_per_s", static_cast<double>(report.good_) / seconds},
        {"late", report.late_},
        {"wrong", report.wrong_},
        {"not_run", report.not_run_},
        {"unknown", report.unknown_},
        {"failed", report.failed_},
        {"unanswered", report.unanswered_},
        {"reasons", report.reasons_},
        {"answers", describe_times(report.answer_times_)},
        {"refusals", describe_times(report.refusal_times_)}};
    return body.dump(2);
}

} // namespace cuminfold
