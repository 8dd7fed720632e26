// How the calls of the overload model end.
#include "model/overload_model.hpp"

#include <algorithm>

namespace pistachiopost::model {

namespace {

constexpr model_ms immediate_retry_ms = 2; // a round trip of the caller
// Shares of the caller's patience: shorter waits count as rejected at once, longer ones
// as held.
constexpr double at_once_share = 0.1;
constexpr double held_share_of_patience = 0.5;

} // namespace

/// Rejects a queued request as not run; its caller may retry.
void overload_model::reject(const std::shared_ptr<attempt>& it)
{
    if (!it->queued || states_[it->call].ended)
    {
        return;
    }
    auto& gateway = gateways_[it->gateway];
    it->place = gateway.dequeue(*it->queued, at(now_));
    it->queued.reset();
    if (it->place)
    {
        start(it);
        return;
    }
    const auto& call = calls_[it->call];
    auto& state = states_[it->call];
    const double waited = now_ - it->arrived;
    const double patience = patience_ms(kind_of(it->call));
    state.held = state.held || waited > patience * at_once_share;
    const double left = deadline(it->call) - now_;
    if (state.first_event >= 0)
    {
        end(it->call, call_outcome::failed); // a stream that could not be resumed
        return;
    }
    if (state.tries > 1 || left <= 0)
    {
        end(it->call,
            state.held ? call_outcome::rejected_late : call_outcome::rejected_at_once);
        return;
    }
    constexpr milliseconds least{100};
    const auto advised = gateway.expected_wait(service_name, least, at(now_));
    const double delay = call.manner == retry_manner::at_once
                             ? immediate_retry_ms
                             : std::min(static_cast<double>(advised.count()), left / 3);
    state.current.reset();
    schedule(now_ + delay, [this, i = it->call] { begin_try(i); });
}

void overload_model::release(const std::shared_ptr<attempt>& it)
{
    if (!it->place)
    {
        return;
    }
    auto& gateway = gateways_[it->gateway];
    if (!std::exchange(it->prompt_read, true))
    {
        gateway.prefill_done(*it->place, at(now_));
        long_prefills_ -= is_long_prefill(it->criteria) ? 1 : 0;
    }
    if (it->work)
    {
        it->work->cancelled = true;
    }
    gateway.release(*it->place, at(now_));
    it->place.reset();
    it->work.reset();
    it->prompt_read = false;
}

void overload_model::on_event(const std::shared_ptr<attempt>& it)
{
    auto& state = states_[it->call];
    if (state.ended || !it->work || it->work->cancelled)
    {
        return;
    }
    if (!std::exchange(it->prompt_read, true))
    {
        gateways_[it->gateway].first_event(*it->place, at(now_));
        long_prefills_ -= is_long_prefill(it->criteria) ? 1 : 0;
        wake_engine(engine_number(it->place->main.backend.id));
    }
    if (state.first_event < 0)
    {
        state.first_event = now_ - calls_[it->call].time;
    }
    else
    {
        state.longest_gap = std::max(state.longest_gap, now_ - state.last_event);
    }
    state.last_event = now_;
}

void overload_model::on_done(const std::shared_ptr<attempt>& it)
{
    auto& state = states_[it->call];
    if (state.ended || !it->work || it->work->cancelled)
    {
        return;
    }
    const auto& kind = kind_of(it->call);
    const bool in_time = state.first_event <= kind.first_event_target_ms &&
                         state.longest_gap <= kind.gap_target_ms;
    end(it->call, in_time ? call_outcome::on_time : call_outcome::late);
}

/// Ends the call of a try that has produced no event, as its caller gives up.
void overload_model::expire(const std::shared_ptr<attempt>& it, call_outcome outcome)
{
    const auto& state = states_[it->call];
    if (state.first_event < 0 && state.current == it)
    {
        end(it->call, outcome);
    }
}

void overload_model::end(std::size_t call, call_outcome outcome)
{
    auto& state = states_[call];
    if (std::exchange(state.ended, true))
    {
        return;
    }
    --unfinished_;
    const auto& kind = kind_of(call);
    const auto tokens = calls_[call].tokens;
    auto& kind_result = result_.kinds[calls_[call].kind];
    auto& counts = tokens >= large_from_[calls_[call].kind] ? kind_result.largest
                                                            : kind_result.usual;
    const double factor = worth_factor(kind, tokens);
    const bool served = outcome == call_outcome::on_time || outcome == call_outcome::late;
    ++counts.calls[static_cast<std::size_t>(outcome)];
    if (outcome != call_outcome::left)
    {
        counts.worth_due += kind.worth * factor;
        counts.worth += outcome == call_outcome::on_time ? kind.worth * factor
                        : outcome == call_outcome::late  ? kind.late_worth * factor
                                                         : 0;
        const double held = now_ - calls_[call].time;
        counts.worth_held += !served && held > held_share_of_patience * patience_ms(kind)
                                 ? kind.worth * factor
                                 : 0;
        auto& [customer_served, customer_all] = by_customer_[calls_[call].customer];
        customer_served += served ? 1 : 0;
        ++customer_all;
    }
    const auto it = state.current;
    if (!it)
    {
        return;
    }
    counts.wasted_ms += !served && it->work ? parameters_.prefill_ms(tokens) : 0;
    if (it->queued)
    {
        it->place = gateways_[it->gateway].dequeue(*it->queued, at(now_));
        it->queued.reset();
        long_prefills_ += it->place && is_long_prefill(it->criteria) ? 1 : 0;
    }
    release(it);
    state.current.reset();
}

} // namespace pistachiopost::model
