// The queue of the dispatcher: its order, and when its requests are looked at again.
#include "process/admission/dispatcher.hpp"

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
        const bool late = it->target_deadline_ < now && now < it->urgent_from_;
        return std::tuple(late, it->request_->priority, ahead,
                          it->request_->prompt_tokens, it->arrived_);
    };
    queue_.sort([&](const auto* a, const auto* b) { return key(a) < key(b); });
    candidate_cache cache;
    for (auto it = queue_.begin(); it != queue_.end();)
    {
        auto& queued = **it;
        auto request = *queued.request_;
        request.accept_fewer_engines =
            now - queued.arrived_ >= queued.target() * relax_after_targets;
        queued.place_ = find_placement(request, now - queued.arrived_, cache, now);
        if (!queued.place_)
        {
            ++it;
            continue;
        }
        charge(queued.customer_, *queued.place_, now);
        cache.clear();
        signal_event_fd(queued.wake_);
        it = queue_.erase(it);
    }
    update_recheck_times(cache, now);
}

std::optional<time_point> dispatcher::next_free_by_time(std::string_view service,
                                                        candidate_cache& cache,
                                                        time_point now)
{
    const auto& candidates = candidates_for(service, cache, now);
    const bool has_slot =
        std::any_of(candidates.begin(), candidates.end(),
                    [](const auto& it) { return it.load.requests < it.backend->slots; });
    const auto expiry = loads_.next_expiry(now);
    return has_slot ? std::min(now + turn_duration, expiry.value_or(time_point::max()))
                    : expiry;
}

void dispatcher::update_recheck_times(candidate_cache& cache, time_point now)
{
    std::map<std::string_view, std::optional<time_point>> ends;
    for (auto* it : queue_)
    {
        const auto service = it->request_->service;
        const auto [entry, is_first] = ends.try_emplace(service);
        const auto before = it->recheck_time();
        bool changed = false;
        if (is_first)
        {
            entry->second = registry_.next_backoff_end(service, now);
            if (!it->retry_at_ || *it->retry_at_ <= now)
            {
                it->retry_at_ = next_free_by_time(service, cache, now);
            }
        }
        else
        {
            it->retry_at_.reset();
        }
        if (it->backoff_end_ != entry->second)
        {
            it->backoff_end_ = entry->second;
            changed = true;
        }
        if (changed || it->recheck_time() < before)
        {
            signal_event_fd(it->wake_);
        }
    }
}

} // namespace pistachiopost
