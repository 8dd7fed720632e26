#include "process/dispatcher.hpp"

#include "process/cell_placement.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <vector>

namespace pistachiopost {

namespace {

// Part of Retry-After for each queued request ahead: the duration of a short answer
// divided by a batch of ten.
constexpr milliseconds wait_per_queued_request{100};

// Engine time by which a customer may be ahead of the least served waiting customer
// before its short prompts no longer overtake longer prompts of others: two typical long
// prompts.
constexpr double max_lead_ms = 4'000;

// Multiple of the latency target after which a request accepts fewer engines than planned
// instead of waiting longer. It is late by then, and callers give up at four times the
// target.
constexpr int relax_after_targets = 2;

double engine_cost_ms(const placement& place)
{
    // A slot also costs its share of the decoding steps; one pass is the smallest unit.
    constexpr double slot_cost_ms = 50;
    double cost_ms = slot_cost_ms + place.main.work.prefill_ms;
    for (const auto& it : place.helpers)
    {
        cost_ms += it.work.prefill_ms;
    }
    return cost_ms;
}

} // namespace

queued_request::queued_request(std::string_view customer,
                               const placement_request& request, time_point arrived,
                               time_point target_deadline, time_point urgent_from)
    : customer_(customer), request_(&request), arrived_(arrived),
      target_deadline_(target_deadline), urgent_from_(urgent_from), wake_(open_event_fd())
{
}

std::optional<placement> dispatcher::try_place(std::string_view customer,
                                               const placement_request& request,
                                               time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto same_service = [&](const queued_request* it) {
        return it->request_->service == request.service &&
               is_long_prefill(*it->request_) == is_long_prefill(request);
    };
    if (std::any_of(queue_.begin(), queue_.end(), same_service))
    {
        return std::nullopt;
    }
    candidate_cache cache;
    auto place = find_placement(request, steady::duration{0}, false, cache, now);
    if (place)
    {
        charge(customer, *place, now);
    }
    return place;
}

void dispatcher::enqueue(queued_request& queued, time_point now)
{
    const std::lock_guard lock(mutex_);
    queue_.push_back(&queued);
    ++load_generation_;
    serve_queue(now);
}

std::optional<placement> dispatcher::dequeue(queued_request& queued, time_point now)
{
    const std::lock_guard lock(mutex_);
    queue_.remove(&queued);
    ++load_generation_;
    serve_queue(now);
    return std::move(queued.place_);
}

void dispatcher::prefill_done(const placement& place, time_point now)
{
    const std::lock_guard lock(mutex_);
    loads_.prefill_done(place.main.backend.id, place.main.work);
    for (const auto& it : place.helpers)
    {
        loads_.prefill_done(it.backend.id, it.work);
    }
    ++load_generation_;
    serve_queue(now);
}

void dispatcher::release(const placement& place, time_point now)
{
    const std::lock_guard lock(mutex_);
    loads_.remove(place.main.backend.id, place.main.work, now);
    turns_.record_release(place.main.backend.id);
    for (const auto& it : place.helpers)
    {
        loads_.remove(it.backend.id, it.work, now);
    }
    ++load_generation_;
    serve_queue(now);
}

milliseconds dispatcher::expected_wait(milliseconds least) const
{
    const std::lock_guard lock(mutex_);
    return least + wait_per_queued_request * queue_.size();
}

std::size_t dispatcher::waiting() const
{
    const std::lock_guard lock(mutex_);
    return queue_.size();
}

void dispatcher::set_cell(bool has_cells, std::size_t gateways)
{
    const std::lock_guard lock(mutex_);
    has_cells_ = has_cells;
    cell_gateways_ = gateways;
}

void dispatcher::apply_report(const load_report_message& message, time_point now)
{
    const std::lock_guard lock(mutex_);
    loads_.apply_report(message, now);
    serve_queue(now);
}

void dispatcher::wait_until_report_due(milliseconds longest)
{
    std::unique_lock lock(mutex_);
    report_due_changed_.wait_for(lock, longest, [this] { return report_due_; });
    report_due_ = false;
}

void dispatcher::request_report()
{
    const std::lock_guard lock(mutex_);
    report_due_ = true;
    report_due_changed_.notify_one();
}

std::uint64_t dispatcher::load_generation() const
{
    const std::lock_guard lock(mutex_);
    return load_generation_;
}

std::set<std::string, std::less<>> dispatcher::zones_in_use(time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::set<std::string, std::less<>> zones;
    for (const auto& it : loads_.local_loads(now))
    {
        if (const auto* backend = registry_.find(it.backend))
        {
            zones.insert(backend->zone);
        }
    }
    return zones;
}

load_report_message dispatcher::digest(time_point now) const
{
    const std::lock_guard lock(mutex_);
    load_report_message message;
    message.is_digest = true;
    for (const auto* backend : registry_.in_zone(zone_))
    {
        const auto load = loads_.total_load(backend->id, now);
        if (load != backend_load())
        {
            message.loads.push_back({backend->id, load});
        }
    }
    return message;
}

load_report_message dispatcher::report(time_point now)
{
    const std::lock_guard lock(mutex_);
    turns_.mark_reported();
    loads_.mark_reported(now);
    load_report_message it;
    it.loads = loads_.local_loads(now);
    it.waiting = list_waiting(now);
    return it;
}

queue_snapshot dispatcher::snapshot(std::string_view service, time_point now) const
{
    const std::lock_guard lock(mutex_);
    queue_snapshot it;
    it.waiting = queue_.size();
    it.gateways = loads_.live_gateways(now);
    for (const auto& [backend, healthy] : registry_.eligible(service, now))
    {
        const auto load = loads_.total_load(backend->id, now);
        it.least_backlog_ms = it.backends == 0
                                  ? load.prefill_ms
                                  : std::min(it.least_backlog_ms, load.prefill_ms);
        ++it.backends;
        it.with_slot += load.requests < backend->slots ? 1 : 0;
        it.healthy += healthy ? 1 : 0;
    }
    return it;
}

std::vector<placement_candidate>
dispatcher::candidates_for(const placement_request& request, std::string_view zone,
                           candidate_cache& cache, time_point now)
{
    const auto [entry, is_new] = cache.try_emplace(std::pair(request.service, zone));
    if (is_new)
    {
        registry_.remove_expired(now);
        const auto eligible =
            zone.empty() ? registry_.eligible(request.service, now)
                         : registry_.eligible_in_zone(request.service, zone, now);
        entry->second.reserve(eligible.size());
        for (const auto& it : eligible)
        {
            entry->second.push_back(
                {it.backend, loads_.total_load(it.backend->id, now), it.healthy});
        }
    }
    auto candidates = entry->second;
    if (!is_long_prefill(request))
    {
        turns_.yield_slots(request.service, loads_, candidates, now);
    }
    return candidates;
}

std::vector<waiting_work> dispatcher::waiting_kinds(time_point now)
{
    const std::lock_guard lock(mutex_);
    return list_waiting(now);
}

std::vector<waiting_work> dispatcher::list_waiting(time_point now)
{
    candidate_cache cache;
    std::vector<waiting_work> kinds;
    for (const auto* it : queue_)
    {
        const bool is_long = is_long_prefill(*it->request_);
        auto kind = std::find_if(kinds.begin(), kinds.end(), [&](const auto& known) {
            return known.service == it->request_->service &&
                   known.long_prefill == is_long;
        });
        if (kind == kinds.end())
        {
            kind = kinds.insert(kinds.end(),
                                {std::string(it->request_->service), is_long, false});
        }
        kind->claims = kind->claims || claims_engines(*it, cache, now);
    }
    return kinds;
}

bool dispatcher::claims_engines(const queued_request& queued, candidate_cache& cache,
                                time_point now)
{
    const auto& request = *queued.request_;
    return is_long_prefill(request) &&
           is_claim_time(now - queued.arrived_, queued.target()) &&
           fits_without_long_prompts(
               request, candidates_for(request, own_zones(), cache, now), zone_);
}

std::string_view dispatcher::own_zones() const
{
    return has_cells_ ? std::string_view(zone_) : std::string_view();
}

std::optional<placement> dispatcher::find_placement(const placement_request& request,
                                                    steady::duration waited, bool claims,
                                                    candidate_cache& cache,
                                                    time_point now)
{
    constexpr std::string_view all_zones;
    if (is_long_prefill(request) &&
        turns_.yields_engines(request.service, claims, loads_, now))
    {
        return std::nullopt;
    }
    auto shared = request;
    shared.gateways = cell_gateways_;
    if (has_cells_)
    {
        const auto own = candidates_for(request, zone_, cache, now);
        if (is_sufficient_cell(request, own))
        {
            auto result = place(shared, own, zone_);
            if (result || waited < cell_patience)
            {
                return result;
            }
            const auto known = [&](std::string_view zone) {
                return loads_.has_digest(zone, now);
            };
            return place_outside_cell(
                shared, candidates_for(request, all_zones, cache, now), zone_, known);
        }
    }
    return place(shared, candidates_for(request, all_zones, cache, now), zone_);
}

void dispatcher::charge(std::string_view customer, const placement& place, time_point now)
{
    ++load_generation_;
    turns_.record_placement(place.main.backend.id);
    loads_.add(place.main.backend.id, place.main.work, now);
    for (const auto& it : place.helpers)
    {
        loads_.add(it.backend.id, it.work, now);
    }
    if (!place.helpers.empty())
    {
        report_due_ = true;
        report_due_changed_.notify_one();
    }
    auto it = served_cost_.find(customer);
    if (it != served_cost_.end())
    {
        served_levels_.erase(served_levels_.find(it->second));
    }
    else
    {
        // A new customer starts at the level of the least served one, so that idle time
        // does not accumulate as credit.
        const double level = served_levels_.empty() ? 0 : *served_levels_.begin();
        it = served_cost_.emplace(std::string(customer), level).first;
    }
    it->second += engine_cost_ms(place);
    served_levels_.insert(it->second);
}

double dispatcher::served_cost(std::string_view customer) const
{
    const auto it = served_cost_.find(customer);
    return it == served_cost_.end() ? 0 : it->second;
}

double dispatcher::min_served_cost() const
{
    double least = std::numeric_limits<double>::max();
    for (const auto* it : queue_)
    {
        least = std::min(least, served_cost(it->customer_));
    }
    return least;
}

void dispatcher::serve_queue(time_point now)
{
    if (queue_.empty())
    {
        served_cost_.clear(); // without contention fairness needs no history
        served_levels_.clear();
        return;
    }
    // Requests that can still meet their target and those whose callers are about to give
    // up go first; then by priority, by fairness among customers, by prompt length and by
    // arrival.
    const double least = min_served_cost();
    const auto key = [&](const queued_request* it) {
        const bool ahead = served_cost(it->customer_) > least + max_lead_ms;
        const bool late = it->target_deadline_ < now && now < it->urgent_from_;
        return std::tuple(late, it->request_->priority, ahead,
                          it->request_->prompt_tokens, it->arrived_);
    };
    queue_.sort([&](const auto* a, const auto* b) { return key(a) < key(b); });
    candidate_cache cache;
    const auto claim = std::find_if(queue_.begin(), queue_.end(), [&](const auto* it) {
        return claims_engines(*it, cache, now);
    });
    const auto* claimant = claim == queue_.end() ? nullptr : *claim;
    for (auto it = queue_.begin(); it != queue_.end();)
    {
        auto& queued = **it;
        auto request = *queued.request_;
        request.accept_fewer_engines =
            now - queued.arrived_ >= queued.target() * relax_after_targets;
        const bool yields = claimant != nullptr && claimant != &queued &&
                            is_long_prefill(request) &&
                            request.service == claimant->request_->service;
        if (!yields)
        {
            queued.place_ = find_placement(request, now - queued.arrived_,
                                           claimant == &queued, cache, now);
        }
        if (!queued.place_)
        {
            ++it;
            continue;
        }
        charge(queued.customer_, *queued.place_, now);
        cache.clear();
        claimant = claimant == &queued ? nullptr : claimant;
        signal_event_fd(queued.wake_);
        it = queue_.erase(it);
    }
}

} // namespace pistachiopost
