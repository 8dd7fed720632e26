// The queue of the dispatcher: its order, and when its requests are looked at again.
#include "process/admission/dispatcher.hpp"
#include "process/placement/candidate_choice.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace pistachiopost {

namespace {

// Engine time by which a customer may be ahead of the least served waiting customer
// before its short prompts no longer overtake longer prompts of others: two typical long
// prompts.
constexpr double max_lead_ms = 4'000;

// Multiple of the latency target after which a request accepts fewer engines than planned
// instead of waiting longer. It is late by then, and callers give up at four times the
// target.
constexpr int relax_after_targets = 2;

// Part of a caller's patience after which a late request is as urgent as one that can
// meet its target, since its caller may leave at any time.
constexpr int urgent_divisor = 5;

// Part of a caller's patience up to which the measured delay of first events counts.
constexpr int max_delay_divisor = 4;

} // namespace

double dispatcher::min_served_cost() const
{
    double least = std::numeric_limits<double>::max();
    for (const auto* it : queue_)
    {
        least = std::min(least, served_cost_.cost_ms(it->customer_));
    }
    return least;
}

void dispatcher::serve_queue(time_point now)
{
    if (queue_.empty())
    {
        served_cost_.clear(); // without contention fairness needs no history
        return;
    }
    // Requests that can still meet their target and those whose callers are about to give
    // up go first; then by priority, by fairness among customers, by prompt length and by
    // arrival.
    const double least = min_served_cost();
    const auto key = [&](const queued_request* it) {
        const bool ahead = served_cost_.cost_ms(it->customer_) > least + max_lead_ms;
        const auto urgent_from =
            it->arrived_ + (it->deadlines_.first_event - it->arrived_) / urgent_divisor;
        const bool late = it->target_deadline_ < now && now < urgent_from;
        return std::tuple(late, it->request_->priority, ahead,
                          it->request_->prompt_tokens, it->arrived_);
    };
    queue_.sort([&](const auto* a, const auto* b) { return key(a) < key(b); });
    candidate_cache cache;
    forecast_map forecasts;
    for (auto it = queue_.begin(); it != queue_.end();)
    {
        auto& queued = **it;
        auto request = *queued.request_;
        request.accept_fewer_engines =
            now - queued.arrived_ >= queued.target() * relax_after_targets;
        queued.place_ = find_placement(request, now - queued.arrived_, cache, now);
        if (queued.place_ && is_in_vain(queued, *queued.place_, now))
        {
            queued.place_.reset();
        }
        if (queued.place_)
        {
            if (queued.forecast_wait_)
            {
                wait_errors_[std::string(request.service)].add(now - queued.arrived_ -
                                                               *queued.forecast_wait_);
            }
            charge(queued.customer_, *queued.place_, now);
            cache.clear();
        }
        else
        {
            queued.rejected_ = find_rejection(queued, cache, forecasts, now);
            if (!queued.rejected_)
            {
                ++it;
                continue;
            }
        }
        signal_event_fd(queued.wake_);
        it = queue_.erase(it);
    }
    update_recheck_times(cache, now);
}

/// Returns by how much later than forecast the first event of a request is expected. The
/// delay counts up to a part of the caller's patience only: after a stall of the engines
/// a request that has just arrived is still tried.
steady::duration dispatcher::start_delay(const queued_request& queued) const
{
    const auto& request = *queued.request_;
    const auto it =
        run_errors_.find({std::string(request.service), is_long_prefill(request)});
    if (request.engine == nullptr || it == run_errors_.end())
    {
        return steady::duration{0};
    }
    const auto patience = queued.deadlines_.first_event - queued.arrived_;
    return std::clamp(it->second.mean(), steady::duration{0},
                      std::max(patience / max_delay_divisor, steady::duration{0}));
}

/// Returns whether a request would not be answered in time although it is placed now:
/// its engine time would be lost to others.
bool dispatcher::is_in_vain(const queued_request& queued, const placement& place,
                            time_point now) const
{
    const auto& request = *queued.request_;
    return request.engine != nullptr && !queued.deadlines_.begun &&
           latest_start(forecast_run(request, place), queued.deadlines_,
                        start_delay(queued)) < now;
}

/// Decides whether a request that found no place is rejected. It is if it cannot be
/// answered in time even on idle engines, or if its forecast start misses the latest one
/// by more than the deviation of such forecasts. Waits are forecast for long prompts
/// only: short ones wait for a slot, and these become free all the time.
std::optional<rejection_reason> dispatcher::find_rejection(queued_request& queued,
                                                           candidate_cache& cache,
                                                           forecast_map& forecasts,
                                                           time_point now)
{
    const auto& request = *queued.request_;
    const auto& candidates = candidates_for(request.service, cache, now);
    if (!queued.deadlines_.begun)
    {
        queued.latest_start_ = latest_start(forecast_best_run(request, candidates.size()),
                                            queued.deadlines_, start_delay(queued));
    }
    rejection_reason reason;
    reason.latest = queued.latest_start_ - now;
    if (is_long_prefill(request) && !candidates.empty())
    {
        auto& forecast = forecasts.try_emplace(request.service, candidates).first->second;
        reason.start = forecast.next_wait(
            request.engine->prefill_ms(request.prompt_tokens),
            loads_.waiting_prefill_ms(request.service, request.priority, now));
        queued.forecast_wait_ =
            queued.forecast_wait_.value_or(now - queued.arrived_ + reason.start);
        const auto known = wait_errors_.find(request.service);
        const auto error =
            known == wait_errors_.end() ? std::nullopt : known->second.deviation();
        reason.error = error.value_or(reason.start);
        if (!queued.deadlines_.begun && reason.start - reason.error > reason.latest)
        {
            return reason;
        }
    }
    return reason.latest < steady::duration{0} ? std::optional(reason) : std::nullopt;
}

std::optional<time_point> dispatcher::next_free_by_time(std::string_view service,
                                                        candidate_cache& cache,
                                                        time_point now)
{
    const auto& candidates = candidates_for(service, cache, now);
    const bool has_slot =
        std::any_of(candidates.begin(), candidates.end(), has_free_slot);
    const auto expiry = loads_.next_expiry(now);
    return has_slot ? std::min(now + turn_duration, expiry.value_or(time_point::max()))
                    : expiry;
}

} // namespace pistachiopost
