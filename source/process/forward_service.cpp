#include "process/forward_service.hpp"

#include <xxhash.h>

namespace pistachiopost {

namespace {

// Time for a connection: a hundred round trips between availability zones; a lost first
// packet would be sent again after a second.
constexpr milliseconds connect_limit{400};
// Callers give a stream up after a pause of eight times its target, at least two
// seconds; half of that leaves time to go on elsewhere.
constexpr int gap_patience = 4;
constexpr milliseconds least_gap_patience{900};
// An engine whose helper is dead stalls this long before it says so.
constexpr milliseconds helper_stall{1'500};
// Shares of a caller's patience after which a waiting request is urgent, and after which
// it is refused so that the caller can come back while it has time left.
constexpr double urgent_share = 0.2;
constexpr double longest_share = 0.7;
// Estimates of the time to the first event may be this much too low.
constexpr double estimate_slack = 2;

} // namespace

std::string_view choose_service(const route& way, std::string_view id)
{
    std::uint64_t sum = 0;
    for (const auto& it : way.services)
    {
        sum += it.weight;
    }
    if (sum == 0)
    {
        return way.services.empty() ? std::string_view() : way.services.front().service;
    }
    auto point = XXH3_64bits(id.data(), id.size()) % sum;
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

std::optional<service_grade> grade_of(const forwarding& run, bool answered,
                                      time_point now)
{
    const auto& way = run.it.matched_route;
    const bool due = run.first_event.value_or(now) - run.arrived > way.latency_target;
    if (!answered)
    {
        const bool left = peer_closed(run.it.caller.fd());
        return left && !due ? std::nullopt : std::optional(service_grade::failed);
    }
    const bool paused =
        way.event_gap_target.count() > 0 && run.longest_pause > way.event_gap_target;
    return due || paused ? service_grade::late : service_grade::on_time;
}

place_patience line_patience(const route& way)
{
    const auto whole = static_cast<double>(way.caller_patience().count());
    return {milliseconds{static_cast<milliseconds::rep>(whole * urgent_share)},
            milliseconds{static_cast<milliseconds::rep>(whole * longest_share)}};
}

attempt_timeouts patience_of(const route& way, const placement& place, milliseconds delay)
{
    if (way.kind != call_kind::stream)
    {
        return {connect_limit, way.timeout, way.timeout};
    }
    const milliseconds expected{
        static_cast<milliseconds::rep>(place.first_event_ms * estimate_slack)};
    const auto gap = std::max(way.event_gap_target * gap_patience, least_gap_patience);
    const auto first = expected + std::max(gap, delay) +
                       (place.helpers.empty() ? milliseconds{0} : helper_stall);
    return {connect_limit, first, gap};
}

} // namespace pistachiopost
