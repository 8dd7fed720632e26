#include "process/admission/dispatcher.hpp"

#include "process/placement/cell_placement.hpp"

#include <algorithm>
#include <vector>

namespace pistachiopost {

namespace {

// Part of Retry-After for each queued request ahead: the duration of a short answer
// divided by a batch of ten.
constexpr milliseconds wait_per_queued_request{100};

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
    auto place = find_placement(request, steady::duration{0}, cache, now);
    if (place && request.requires_available &&
        registry_.is_ejected(place->main.backend.id, now))
    {
        return std::nullopt;
    }
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
    if (!queued.place_ && !queued.rejected_)
    {
        clear_event_fd(queued.wake_); // its task reads the recheck time next
    }
}

time_point dispatcher::recheck_time(const queued_request& queued) const
{
    const std::lock_guard lock(mutex_);
    return queued.recheck_time();
}

std::optional<rejection_reason> dispatcher::rejection(const queued_request& queued) const
{
    const std::lock_guard lock(mutex_);
    return queued.rejected_;
}

bool dispatcher::serve(queued_request& queued, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (!queued.place_ && !queued.rejected_ && queued.recheck_time() <= now)
    {
        serve_queue(now);
    }
    clear_event_fd(queued.wake_);
    return queued.place_.has_value();
}

std::optional<placement> dispatcher::dequeue(queued_request& queued, time_point now)
{
    const std::lock_guard lock(mutex_);
    queue_.remove(&queued);
    ++load_generation_;
    serve_queue(now);
    return std::move(queued.place_);
}

void dispatcher::first_event(const placement& place, time_point now)
{
    {
        const std::lock_guard lock(mutex_);
        const bool is_long = place.main.work.short_requests == 0;
        const std::chrono::duration<double, std::milli> forecast(place.first_event_ms);
        run_errors_[{place.main.backend.service, is_long}].add(
            now - place.granted_at -
            std::chrono::duration_cast<steady::duration>(forecast));
    }
    prefill_done(place, now);
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
    unreported_releases_.insert(place.main.backend.id);
    for (const auto& it : place.helpers)
    {
        loads_.remove(it.backend.id, it.work, now);
    }
    ++load_generation_;
    serve_queue(now);
}

milliseconds dispatcher::expected_wait(std::string_view service, milliseconds least,
                                       time_point now) const
{
    const std::lock_guard lock(mutex_);
    const auto outage = outage_end(service, now).value_or(now) - now;
    return std::max(least, ceil_milliseconds(outage)) +
           wait_per_queued_request * queue_.size();
}

std::optional<time_point> dispatcher::unavailable_until(std::string_view service,
                                                        time_point now) const
{
    const std::lock_guard lock(mutex_);
    return outage_end(service, now);
}

std::optional<time_point> dispatcher::outage_end(std::string_view service,
                                                 time_point now) const
{
    const auto end = registry_.next_backoff_end(service, now);
    return end && registry_.eligible(service, now).empty() ? end : std::nullopt;
}

std::size_t dispatcher::waiting() const
{
    const std::lock_guard lock(mutex_);
    return queue_.size();
}

void dispatcher::set_cells(bool has_cells)
{
    const std::lock_guard lock(mutex_);
    has_cells_ = has_cells;
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
    unreported_releases_.clear();
    unreported_placements_.clear();
    loads_.mark_reported(self_, now);
    load_report_message it;
    it.loads = loads_.local_loads(now);
    it.waiting = waiting_kinds();
    return it;
}

queue_snapshot dispatcher::snapshot(std::string_view service, time_point now) const
{
    const std::lock_guard lock(mutex_);
    queue_snapshot it;
    it.waiting = queue_.size();
    it.gateways = loads_.live_gateways(now);
    for (const auto& [backend, healthy, cold] : registry_.eligible(service, now))
    {
        const auto load = loads_.total_load(backend->id, now);
        it.least_backlog_ms = it.backends == 0
                                  ? load.prefill_ms
                                  : std::min(it.least_backlog_ms, load.prefill_ms);
        ++it.backends;
        it.with_slot += load.requests < backend->slots ? 1 : 0;
        it.healthy += healthy ? 1 : 0;
        it.cold += cold > 0 ? 1 : 0;
    }
    return it;
}

const std::vector<placement_candidate>&
dispatcher::candidates_for(std::string_view service, candidate_cache& cache,
                           time_point now)
{
    const auto [entry, is_new] = cache.try_emplace(service);
    if (is_new)
    {
        registry_.remove_expired(now);
        for (const auto& it : registry_.eligible(service, now))
        {
            entry->second.push_back({it.backend, loads_.total_load(it.backend->id, now),
                                     it.healthy, cold_.state_of(it, now)});
        }
    }
    return entry->second;
}

std::vector<waiting_work> dispatcher::waiting_kinds() const
{
    std::vector<waiting_work> kinds;
    for (const auto* it : queue_)
    {
        const auto& request = *it->request_;
        const waiting_work one{std::string(request.service), is_long_prefill(request),
                               request.priority};
        auto known = std::find_if(kinds.begin(), kinds.end(), [&](const auto& kind) {
            return kind.same_kind(one) && kind.priority == one.priority;
        });
        if (known == kinds.end())
        {
            known = kinds.insert(kinds.end(), one);
        }
        known->prefill_ms += request.engine == nullptr
                                 ? 0
                                 : request.engine->prefill_ms(request.prompt_tokens);
    }
    return kinds;
}

/// Returns a number that is the same at all gateways that know the same rivals, and
/// changes with them or after a turn.
std::uint64_t dispatcher::long_prefill_turn(std::string_view service,
                                            std::span<const std::uint64_t> rivals,
                                            time_point now)
{
    auto state = self_;
    for (const auto rival : rivals)
    {
        state ^= rival;
    }
    auto& known = long_rivals_[std::string(service)];
    if (known.state != state)
    {
        known = {state, now};
    }
    return state + static_cast<std::uint64_t>((now - known.since) / turn_duration);
}

bool dispatcher::yield_to_rivals(const placement_request& request,
                                 std::vector<placement_candidate>& candidates,
                                 time_point now)
{
    const waiting_work work{std::string(request.service), is_long_prefill(request)};
    const auto rivals = loads_.rivals(work, now);
    const slot_contention contention(self_, rivals);
    if (work.long_prefill)
    {
        // A long prompt takes many engines at once: one gateway at a time.
        return contention.may_take(contention_hash(request.service), 1,
                                   long_prefill_turn(request.service, rivals, now));
    }
    for (auto& it : candidates)
    {
        const auto& id = it.backend->id;
        const auto free =
            it.backend->slots - std::min(it.load.requests, it.backend->slots);
        const auto taken = unreported_placements_.find(id);
        const auto taken_count =
            taken == unreported_placements_.end() ? 0 : taken->second;
        if (free > 0 && !unreported_releases_.contains(id) &&
            !contention.may_take(contention_hash(id), free, loads_.turn(id, now),
                                 taken_count))
        {
            it.load.requests = it.backend->slots;
        }
    }
    return true;
}

std::optional<placement> dispatcher::find_placement(const placement_request& request,
                                                    steady::duration waited,
                                                    candidate_cache& cache,
                                                    time_point now)
{
    auto candidates = candidates_for(request.service, cache, now);
    if (request.regions)
    {
        std::erase_if(candidates, [&](const auto& it) {
            return !allows_zone(request, it.backend->zone);
        });
    }
    if (!yield_to_rivals(request, candidates, now))
    {
        return std::nullopt;
    }
    auto shared = request;
    shared.gateways = loads_.live_gateways(now);
    if (!has_cells_)
    {
        return place(shared, candidates, zone_);
    }
    return place_in_cells(shared, candidates, zone_, waited, [&](std::string_view zone) {
        return loads_.has_digest(zone, now);
    });
}

void dispatcher::charge(std::string_view customer, placement& place, time_point now)
{
    cold_.charge(registry_, place, now);
    place.granted_at = now;
    ++load_generation_;
    ++unreported_placements_[place.main.backend.id];
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
    served_cost_.add(customer, engine_cost_ms(place));
}

} // namespace pistachiopost
