#include "node/cell_owner.hpp"

#include "node/node_clock.hpp"

#include <utility>

namespace cuminfold
{

namespace
{

using platform::append_outcome;

/// If the epoch was last confirmed longer ago than this, an unknown job is
/// answered with `unavailable`.
constexpr duration max_confirmation_age = std::chrono::milliseconds{1500};

char const* outcome_name(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::accepted:
        return "accepted";
    case call_outcome::not_sent:
        return "not_sent";
    case call_outcome::no_answer:
        return "no_answer";
    case call_outcome::fenced:
        return "fenced";
    case call_outcome::run_too_old:
        return "run_too_old";
    case call_outcome::too_late:
        return "too_late";
    case call_outcome::no_room:
        return "no_room";
    case call_outcome::ticket_refused:
        return "ticket_refused";
    case call_outcome::incarnation_mismatch:
        return "incarnation_mismatch";
    case call_outcome::not_run:
        return "not_run";
    }
    return "unknown";
}

} // namespace

void cell_owner::run_actions()
{
    for (auto const& action : cell_.take_actions())
    {
        std::visit([this](auto const& each) { run(each); }, action);
    }
    for (auto const& action : fleet_.take_actions())
    {
        std::visit([this](auto const& each) { run(each); }, action);
    }
}

bool cell_owner::can_order_vms() const
{
    return node_now() - confirmed_at_ <
           fleet_plan_options{}.confirmation_limit_;
}

void cell_owner::run(list_vms const&)
{
    auto const requested_at = node_now();
    environment_.vm_client_.list(
        [self = shared_from_this(), requested_at](std::optional<vm_list> list)
        {
            if (self->stopped_)
            {
                return;
            }
            if (list)
            {
                self->fleet_.listed(std::move(*list), requested_at, node_now());
            }
            else
            {
                self->environment_.log_.write("vm_list_failed", {}, node_now());
                self->fleet_.list_failed(node_now());
            }
            self->post_pump();
        });
}

void cell_owner::run(maintain_vm const& action)
{
    if (!can_order_vms())
    {
        fleet_.maintained(action.vm_, action.wave_, vm_outcome::throttled,
                          node_now());
        return;
    }
    environment_.vm_client_.maintain(
        action.vm_, action.wave_,
        [self = shared_from_this(), action](vm_outcome outcome)
        {
            if (!self->stopped_)
            {
                self->fleet_.maintained(action.vm_, action.wave_, outcome,
                                        node_now());
                self->post_pump();
            }
        });
}

void cell_owner::run(move_vm const& action)
{
    if (!can_order_vms())
    {
        fleet_.moved(action.vm_, vm_outcome::throttled, node_now());
        return;
    }
    environment_.vm_client_.move(
        action.vm_, action.pool_,
        [self = shared_from_this(), action,
         sent = node_now()](vm_outcome outcome)
        {
            if (!self->stopped_)
            {
                self->environment_.metrics_.observe("cuminfold_vm_order_call",
                                                    node_now() - sent);
                self->fleet_.moved(action.vm_, outcome, node_now());
                self->post_pump();
            }
        });
}

void cell_owner::run(report_wave const& action)
{
    environment_.store_.write_wave_status(
        action.wave_, action.completed_,
        [self = shared_from_this(),
         action](platform::append_result const& result)
        {
            if (!self->stopped_)
            {
                self->fleet_.reported(action.wave_, result.outcome_ ==
                                                        append_outcome::stored);
            }
        });
}

void cell_owner::run(answer_client const& action)
{
    if (action.answer_.kind_ != answer_kind::no_such_job)
    {
        reply(action.exchange_, action.answer_);
        return;
    }
    unproven_answers_.push_back({action, node_now()});
    send_proven_answers();
    confirm_epoch();
}

void cell_owner::reply(std::uint64_t exchange, client_answer const& answer)
{
    auto const found = exchanges_.find(exchange);
    if (found != exchanges_.end())
    {
        auto const done = std::move(found->second);
        exchanges_.erase(found);
        done(answer);
    }
}

void cell_owner::send_proven_answers()
{
    bool const is_stale = node_now() - confirmed_at_ > max_confirmation_age;
    while (!unproven_answers_.empty())
    {
        auto const next = unproven_answers_.front();
        bool const is_proven = confirmed_at_ >= next.decided_at_;
        if (!is_proven && !is_stale)
        {
            return;
        }
        unproven_answers_.pop_front();
        reply(next.action_.exchange_,
              is_proven ? next.action_.answer_
                        : make_refusal(answer_kind::unavailable,
                                       "epoch_unconfirmed"));
    }
}

void cell_owner::run(start_run const& action)
{
    auto const sent = node_now();
    environment_.workers_.start(
        action,
        [self = shared_from_this(), action, sent](order_answer const& answer)
        {
            if (!self->stopped_)
            {
                auto const now = node_now();
                auto& metrics = self->environment_.metrics_;
                metrics.observe("cuminfold_start_call", now - sent);
                metrics.add("cuminfold_starts_total", 1, "outcome",
                            outcome_name(answer.outcome_));
                self->cell_.on_start_response(action, answer, sent, now);
                self->post_pump();
            }
        });
}

void cell_owner::run(stop_run const& action)
{
    environment_.log_.write("run_stopped",
                            {{"task", describe(action.task_)},
                             {"run", std::to_string(action.run_)},
                             {"worker", action.worker_},
                             {"cause", action.cause_},
                             {"epoch", std::to_string(record_.epoch_)}},
                            node_now());
    environment_.workers_.stop(action,
                               [self = shared_from_this(), action,
                                sent = node_now()](order_answer const& answer)
                               {
                                   if (!self->stopped_)
                                   {
                                       self->cell_.on_stop_response(
                                           action, answer, sent, node_now());
                                       self->post_pump();
                                   }
                               });
}

void cell_owner::run(renew_worker const& action)
{
    environment_.workers_.renew(
        action,
        [self = shared_from_this(), action,
         sent = node_now()](call_outcome outcome, worker_report const& report)
        {
            if (!self->stopped_)
            {
                self->cell_.on_renewal_response(action, outcome, report, sent,
                                                node_now());
                self->post_pump();
            }
        });
}

void cell_owner::run(query_advice const& action)
{
    environment_.advice_.request_tickets(
        action,
        [self = shared_from_this(), action,
         sent = node_now()](advice_result const& result)
        {
            if (!self->stopped_)
            {
                self->environment_.metrics_.observe("cuminfold_advice_call",
                                                    node_now() - sent);
                self->cell_.on_advice_response(action, result, sent,
                                               node_now());
                self->post_pump();
            }
        });
}

void cell_owner::run(log_decision const& action)
{
    environment_.log_.write(action.event_,
                            {{"subject", action.subject_},
                             {"cause", action.cause_},
                             {"epoch", std::to_string(record_.epoch_)}},
                            node_now());
}

} // namespace cuminfold
