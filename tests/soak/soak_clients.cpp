#include "soak/soak_clients.hpp"

#include "platform/stand_in/platform_stand_in.hpp"

#include <algorithm>

namespace cuminfold
{

namespace
{

using platform::platform_stand_in;
using std::chrono::milliseconds;

constexpr milliseconds call_time{3000};
constexpr milliseconds ask_interval{300};
constexpr milliseconds repeat_pause{250};
/// A client gives a job up that was rejected this often.
constexpr std::uint32_t most_attempts = 12;
constexpr std::uint32_t jobs_gap_ms = 60;
constexpr std::uint32_t whole = 100;
constexpr std::uint32_t lasting_percent = 5;
constexpr std::uint32_t long_percent = 10;
constexpr std::uint32_t cancelled_percent = 10;
constexpr std::uint32_t two_steps_percent = 40;
constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;

std::string id_of(std::size_t number)
{
    auto const digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

} // namespace

soak_clients::soak_clients(soak_system& system, soak_oracle& oracle,
                           std::uint32_t seed, bool long_tasks)
    : system_(system), oracle_(oracle), random_(seed), long_tasks_(long_tasks)
{
}

std::uint32_t soak_clients::draw(std::uint32_t limit)
{
    return static_cast<std::uint32_t>(random_() % limit);
}

void soak_clients::add()
{
    auto const now = clock::now();
    client_job job;
    job.id_ = id_of(next_number_++);
    job.long_running_ = draw(whole) < lasting_percent;
    bool const is_long =
        long_tasks_ && !job.long_running_ && draw(whole) < long_percent;
    bool const two_steps =
        !job.long_running_ && !is_long && draw(whole) < two_steps_percent;
    auto const tasks = 1 + draw(4);
    auto const time =
        static_cast<int>(is_long ? 8000 + draw(4000) : 50 + draw(600));
    // A lasting task runs longer than any soak.
    job.body_ = platform_stand_in::write_job(
        static_cast<int>(tasks), job.long_running_ ? 10'000'000 : time,
        two_steps, job.long_running_);
    if (job.long_running_ || draw(whole) < cancelled_percent)
    {
        job.cancel_at_ =
            now + milliseconds{draw(job.long_running_ ? 6000 : 1500)};
    }
    oracle_.asked(job.id_, tasks, two_steps, job.long_running_);
    jobs_.push_back(std::move(job));
}

void soak_clients::send(client_job& job, std::string const& authorization)
{
    if (job.phase_ == job_phase::waiting && clock::now() >= job.cancel_at_)
    {
        job.phase_ = job_phase::cancelling;
        oracle_.cancel_sent(job.id_);
    }
    http_call call;
    call.address_ = system_.clients_address(
        draw(static_cast<std::uint32_t>(system_.nodes())));
    call.method_ = job.phase_ == job_phase::handing_in   ? "POST"
                   : job.phase_ == job_phase::cancelling ? "DELETE"
                                                         : "GET";
    call.target_ = platform_stand_in::prefix_ + job.id_;
    call.fields_["host"] = platform_stand_in::host_;
    call.fields_["deadline-ms"] = std::to_string(call_time.count());
    if (!authorization.empty())
    {
        call.fields_["authorization"] = authorization;
    }
    call.body_ = job.phase_ == job_phase::handing_in ? job.body_ : "";
    call.timeout_ = call_time;
    job.sent_ = clock::now();
    job.answer_ = caller_.start(std::move(call));
}

void soak_clients::take_submission(client_job& job, http_result const& result)
{
    ++job.attempts_;
    auto const status =
        result.end_ == http_end::whole ? result.response_.status_ : 0;
    if (status == status_ok)
    {
        job.phase_ = job_phase::waiting;
        ++accepted_;
        oracle_.accepted(job.id_);
        return;
    }
    bool const not_taken = status == 429 || status == 503 || status == 401 ||
                           result.end_ == http_end::not_sent;
    job.open_outcome_ = job.open_outcome_ || !not_taken;
    if (job.attempts_ >= most_attempts && !job.open_outcome_)
    {
        ++rejected_;
        oracle_.rejected(job.id_);
        job.phase_ = job_phase::over;
    }
}

void soak_clients::take(client_job& job, http_result const& result)
{
    if (job.phase_ == job_phase::handing_in)
    {
        take_submission(job, result);
        return;
    }
    if (result.end_ != http_end::whole)
    {
        return;
    }
    auto const status = result.response_.status_;
    if (job.phase_ == job_phase::cancelling)
    {
        if (status == status_ok || status == status_gone)
        {
            oracle_.cancel_acknowledged(job.id_);
            job.phase_ = job_phase::over;
        }
        return;
    }
    if (status == status_gone)
    {
        oracle_.shown(job.id_, "", job.sent_);
    }
    else if (status == status_ok)
    {
        auto const standing =
            platform_stand_in::read_status(result.response_.body_);
        oracle_.shown(job.id_, standing, job.sent_);
        if (standing == "completed")
        {
            job.phase_ = job_phase::over;
        }
    }
}

void soak_clients::tick(bool more, std::string const& authorization)
{
    auto const now = clock::now();
    if (more && now >= next_job_)
    {
        next_job_ = now + milliseconds{draw(2 * jobs_gap_ms)};
        add();
    }
    for (auto& job : jobs_)
    {
        if (job.answer_.valid())
        {
            if (job.answer_.wait_for(milliseconds{0}) ==
                std::future_status::ready)
            {
                auto const before = job.phase_;
                take(job, job.answer_.get());
                job.next_ = now + (before == job_phase::waiting ? ask_interval
                                                                : repeat_pause);
            }
        }
        else if (now >= job.next_)
        {
            send(job, authorization);
        }
    }
    jobs_.erase(std::remove_if(jobs_.begin(), jobs_.end(),
                               [](client_job const& job)
                               { return job.phase_ == job_phase::over; }),
                jobs_.end());
}

} // namespace cuminfold
