#include "process/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <vector>

namespace pistachiopost {

namespace {

// Pause a waiting request is told for each one before it: a short answer's share of a
// batch of ten.
constexpr milliseconds wait_for_each{100};

// Engine time by which a customer may be ahead of the least served one that waits before
// its shorter prompts stop passing the other's longer ones: two usual long prompts.
constexpr double lead_ms = 4'000;

// Times its target after which a request takes fewer engines than it should rather than
// none: it is late by then, and its caller leaves at four times the target.
constexpr int impatient_after = 2;

double cost_of(const placement& place)
{
    // A place also costs its share of the steps; one pass is the smallest unit.
    constexpr double place_ms = 50;
    double sum = place_ms + place.main.work.prefill_ms;
    for (const auto& it : place.helpers)
    {
        sum += it.work.prefill_ms;
    }
    return sum;
}

} // namespace

place_waiter::place_waiter(std::string_view customer, const placement_request& request,
                           time_point arrived, time_point on_time_until,
                           time_point lost_soon_from)
    : customer_(customer), request_(&request), arrived_(arrived),
      on_time_until_(on_time_until), lost_soon_from_(lost_soon_from),
      wake_(open_event_fd())
{
}

std::optional<placement> dispatcher::try_take(std::string_view customer,
                                              const placement_request& request,
                                              time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto same_service = [&](const place_waiter* it) {
        return it->request_->service == request.service &&
               is_long_prefill(*it->request_) == is_long_prefill(request);
    };
    if (std::any_of(line_.begin(), line_.end(), same_service))
    {
        return std::nullopt;
    }
    auto place = find_place(request, now);
    if (place)
    {
        charge(customer, *place, now);
    }
    return place;
}

void dispatcher::wait(place_waiter& waiter, time_point now)
{
    const std::lock_guard lock(mutex_);
    line_.push_back(&waiter);
    serve_line(now);
}

std::optional<placement> dispatcher::leave(place_waiter& waiter, time_point now)
{
    const std::lock_guard lock(mutex_);
    line_.remove(&waiter);
    serve_line(now);
    return std::move(waiter.place_);
}

void dispatcher::reading_done(const placement& place, time_point now)
{
    const std::lock_guard lock(mutex_);
    loads_.prefill_done(place.main.backend.id, place.main.work);
    for (const auto& it : place.helpers)
    {
        loads_.prefill_done(it.backend.id, it.work);
    }
    serve_line(now);
}

void dispatcher::release(const placement& place, time_point now)
{
    const std::lock_guard lock(mutex_);
    loads_.remove(place.main.backend.id, place.main.work, now);
    for (const auto& it : place.helpers)
    {
        loads_.remove(it.backend.id, it.work, now);
    }
    serve_line(now);
}

milliseconds dispatcher::expected_wait(milliseconds least) const
{
    const std::lock_guard lock(mutex_);
    return least + wait_for_each * line_.size();
}

std::size_t dispatcher::waiting() const
{
    const std::lock_guard lock(mutex_);
    return line_.size();
}

void dispatcher::hear(const load_report_message& message, time_point now)
{
    const std::lock_guard lock(mutex_);
    loads_.apply_report(message, now);
    serve_line(now);
}

void dispatcher::wait_for_news(milliseconds longest)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, longest, [this] { return urgent_; });
    urgent_ = false;
}

load_report_message dispatcher::report(time_point now) const
{
    const std::lock_guard lock(mutex_);
    load_report_message it;
    it.loads = loads_.local_loads(now);
    return it;
}

line_state dispatcher::describe(std::string_view service, time_point now) const
{
    const std::lock_guard lock(mutex_);
    line_state it;
    it.waiting = line_.size();
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

std::optional<placement> dispatcher::find_place(const placement_request& request,
                                                time_point now)
{
    registry_.remove_expired(now);
    std::vector<placement_candidate> candidates;
    for (const auto& it : registry_.eligible(request.service, now))
    {
        candidates.push_back(
            {it.backend, loads_.total_load(it.backend->id, now), it.healthy});
    }
    return place(request, candidates, zone_);
}

void dispatcher::charge(std::string_view customer, const placement& place, time_point now)
{
    loads_.add(place.main.backend.id, place.main.work, now);
    for (const auto& it : place.helpers)
    {
        loads_.add(it.backend.id, it.work, now);
    }
    if (!place.helpers.empty())
    {
        urgent_ = true;
        changed_.notify_one();
    }
    const auto it = served_.find(customer);
    if (it != served_.end())
    {
        it->second += cost_of(place);
        return;
    }
    // A customer that was idle starts level with the least served one.
    double least = 0;
    if (!served_.empty())
    {
        const auto by_served = [](const auto& a, const auto& b) {
            return a.second < b.second;
        };
        least = std::min_element(served_.begin(), served_.end(), by_served)->second;
    }
    served_.emplace(customer, least + cost_of(place));
}

double dispatcher::served(std::string_view customer) const
{
    const auto it = served_.find(customer);
    return it == served_.end() ? 0 : it->second;
}

double dispatcher::least_served() const
{
    double least = std::numeric_limits<double>::max();
    for (const auto* it : line_)
    {
        least = std::min(least, served(it->customer_));
    }
    return least;
}

void dispatcher::serve_line(time_point now)
{
    if (line_.empty())
    {
        served_.clear(); // nobody contends: all counters start anew
        return;
    }
    // Those that can still be on time and those whose callers are about to give up first,
    // then by priority, then customers in their turn, short prompts before long ones,
    // then by arrival.
    const double least = least_served();
    const auto key = [&](const place_waiter* it) {
        const bool ahead = served(it->customer_) > least + lead_ms;
        const bool late = it->on_time_until_ < now && now < it->lost_soon_from_;
        return std::tuple(late, it->request_->priority, ahead,
                          it->request_->prompt_tokens, it->arrived_);
    };
    line_.sort([&](const auto* a, const auto* b) { return key(a) < key(b); });
    for (auto it = line_.begin(); it != line_.end();)
    {
        auto& waiter = **it;
        auto request = *waiter.request_;
        request.accept_fewer_engines =
            now - waiter.arrived_ >= waiter.target() * impatient_after;
        waiter.place_ = find_place(request, now);
        if (!waiter.place_)
        {
            ++it;
            continue;
        }
        charge(waiter.customer_, *waiter.place_, now);
        signal_event_fd(waiter.wake_);
        it = line_.erase(it);
    }
}

} // namespace pistachiopost
