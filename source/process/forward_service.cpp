#include "process/forward_service.hpp"

#include "process/crash_log.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pistachiopost {

namespace {

// A hundred round trips between availability zones. Waiting for the retransmission of a
// lost SYN would take a second.
constexpr milliseconds connect_timeout{400};
// Callers abort a stream after a gap of eight times its target, at least two seconds.
// Half of that leaves time to resume it at another backend server.
constexpr int gap_timeout_factor = 4;
constexpr milliseconds min_gap_timeout{900};
// Time after which an engine reports that its helper is dead.
constexpr milliseconds helper_stall_time{1'500};
// Factor by which the time to the first event may exceed its estimate.
constexpr double estimate_error_factor = 2;
// A starting gateway has loaded its configuration within about the minimum. After that
// the store is down, and the longer it was, the longer it is likely to stay so. Callers
// wait for a third of their time at most, and those of calls have four seconds.
constexpr milliseconds min_startup_retry_after{500};
constexpr milliseconds max_startup_retry_after{3'000};
// Engines distinguish ten ranks of urgency, 0 to 9.
constexpr std::uint32_t max_urgency_rank = 9;

} // namespace

std::string_view select_service(const route& matched_route, std::string_view id)
{
    std::uint64_t total_weight = 0;
    for (const auto& it : matched_route.services)
    {
        total_weight += it.weight;
    }
    if (total_weight == 0)
    {
        return matched_route.services.empty() ? std::string_view()
                                              : matched_route.services.front().service;
    }
    auto point = XXH3_64bits(id.data(), id.size()) % total_weight;
    for (const auto& it : matched_route.services)
    {
        if (point < it.weight)
        {
            return it.service;
        }
        point -= it.weight;
    }
    return matched_route.services.back().service;
}

milliseconds startup_retry_after(steady::duration elapsed)
{
    return std::clamp(ceil_milliseconds(elapsed), min_startup_retry_after,
                      max_startup_retry_after);
}

std::optional<service_grade> grade_request(const forward_context& run, bool answered,
                                           time_point now)
{
    const auto& matched_route = run.call.matched_route;
    const bool target_missed =
        run.first_event.value_or(now) - run.arrived > matched_route.latency_target;
    if (!answered)
    {
        const bool left = peer_closed(run.call.caller.fd());
        return left && !target_missed ? std::nullopt
                                      : std::optional(service_grade::failed);
    }
    const bool paused = matched_route.event_gap_target.count() > 0 &&
                        run.longest_pause > matched_route.event_gap_target;
    return target_missed || paused ? service_grade::late : service_grade::on_time;
}

placement_request make_placement_request(const forward_context& run,
                                         std::string_view service)
{
    const auto* known = run.table.find_service(service);
    placement_request wanted;
    wanted.service = service;
    wanted.priority = run.priority;
    wanted.spread = contention_hash(run.call.request.id);
    wanted.engine = known != nullptr && known->engine && run.call.matched_route.runs_model
                        ? &*known->engine
                        : nullptr;
    if (run.allowed_regions)
    {
        wanted.regions = *run.allowed_regions;
    }
    wanted.tightest_gap = run.table.shortest_event_gap();
    if (run.call.request.prompt)
    {
        wanted.prompt_tokens = run.call.request.prompt->prompt_tokens;
        wanted.output_tokens = run.call.request.prompt->max_output_tokens;
    }
    return wanted;
}

forward_options make_terms(const forward_context& run, const placement& place)
{
    forward_options terms;
    terms.backend = place.main.backend.id;
    terms.customer = run.customer;
    terms.priority = std::min(run.priority, max_urgency_rank);
    terms.last_event_id =
        run.call.events.last_id().value_or(run.call.request.last_event_id.value_or(""));
    for (const auto& it : place.helpers)
    {
        terms.helpers.push_back({it.backend.address, {}});
    }
    return terms;
}

attempt_timeouts attempt_timeouts_for(const route& matched_route, const placement& place,
                                      milliseconds delay)
{
    if (matched_route.kind != call_kind::stream)
    {
        return {connect_timeout, matched_route.timeout, matched_route.timeout};
    }
    const milliseconds expected{
        static_cast<milliseconds::rep>(place.first_event_ms * estimate_error_factor)};
    const auto gap =
        std::max(matched_route.event_gap_target * gap_timeout_factor, min_gap_timeout);
    const auto first = expected + std::max(gap, delay) +
                       (place.helpers.empty() ? milliseconds{0} : helper_stall_time);
    return {connect_timeout, first, gap};
}

void record_crash(gateway_state& state, const forward_context& run,
                  const backend_record& backend, const attempt_result& result,
                  time_point now)
{
    auto progress = answer_progress::none;
    if (result.delivered())
    {
        progress = answer_progress::delivered;
    }
    else if (result.kind == answer_kind::success)
    {
        progress = answer_progress::begun;
    }
    for (const auto& it : state.crashes.add_broken_attempt(
             run.suspects, {backend.id, backend.start_time_ms}, progress, now))
    {
        log_blocked(it, state.settings.self.vm);
    }
}

void record_backend_failure(backend_registry& registry, forward_context& run,
                            const placement& place, const attempt_result& result,
                            time_point now)
{
    const auto& id = place.main.backend.id;
    if (!result.blamed.empty())
    {
        // The main engine is healthy and was blocked by this helper.
        const auto* helper = registry.find_by_address(result.blamed);
        run.failed_backends.push_back(helper != nullptr ? helper->id : id);
        registry.record_stall(run.failed_backends.back(), now);
    }
    else if (result.kind == answer_kind::misdirected)
    {
        registry.remove_reassigned(id);
    }
    else if (result.end == attempt_end::answered)
    {
        registry.record_error_response(id, now);
    }
    else if (result.silent)
    {
        registry.record_stall(id, now);
    }
    else
    {
        registry.record_failure(id, now);
    }
}

} // namespace pistachiopost
