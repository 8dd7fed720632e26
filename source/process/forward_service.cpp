#include "process/forward_service.hpp"

#include <xxhash.h>

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
// Shares of a caller's patience after which a queued request becomes urgent, and after
// which it is refused, so that the caller can retry within its deadline.
constexpr double urgent_wait_share = 0.2;
constexpr double max_wait_share = 0.7;
// Factor by which the time to the first event may exceed its estimate.
constexpr double estimate_error_factor = 2;

} // namespace

std::string_view select_service(const route& way, std::string_view id)
{
    std::uint64_t total_weight = 0;
    for (const auto& it : way.services)
    {
        total_weight += it.weight;
    }
    if (total_weight == 0)
    {
        return way.services.empty() ? std::string_view() : way.services.front().service;
    }
    auto point = XXH3_64bits(id.data(), id.size()) % total_weight;
    for (const auto& it : way.services)
    {
        if (point < it.weight)
        {
            return it.service;
        }
        point -= it.weight;
    }
    return way.services.back().service;
}

std::optional<service_grade> grade_request(const forward_context& run, bool answered,
                                           time_point now)
{
    const auto& way = run.call.matched_route;
    const bool target_missed =
        run.first_event.value_or(now) - run.arrived > way.latency_target;
    if (!answered)
    {
        const bool left = peer_closed(run.call.caller.fd());
        return left && !target_missed ? std::nullopt
                                      : std::optional(service_grade::failed);
    }
    const bool paused =
        way.event_gap_target.count() > 0 && run.longest_pause > way.event_gap_target;
    return target_missed || paused ? service_grade::late : service_grade::on_time;
}

queue_timeouts queue_timeouts_for(const route& way)
{
    const auto caller_patience = static_cast<double>(way.caller_timeout().count());
    return {
        milliseconds{static_cast<milliseconds::rep>(caller_patience * urgent_wait_share)},
        milliseconds{static_cast<milliseconds::rep>(caller_patience * max_wait_share)}};
}

attempt_timeouts attempt_patience_for(const route& way, const placement& place,
                                      milliseconds delay)
{
    if (way.kind != call_kind::stream)
    {
        return {connect_timeout, way.timeout, way.timeout};
    }
    const milliseconds expected{
        static_cast<milliseconds::rep>(place.first_event_ms * estimate_error_factor)};
    const auto gap = std::max(way.event_gap_target * gap_timeout_factor, min_gap_timeout);
    const auto first = expected + std::max(gap, delay) +
                       (place.helpers.empty() ? milliseconds{0} : helper_stall_time);
    return {connect_timeout, first, gap};
}

} // namespace pistachiopost
