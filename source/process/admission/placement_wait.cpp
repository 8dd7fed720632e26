#include "process/admission/placement_wait.hpp"

#include "process/forward_log.hpp"
#include "process/logging.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <string>
#include <utility>

namespace pistachiopost {

namespace {

// Shares of a caller's timeout after which a queued request becomes urgent, and after
// which it is refused, so that the caller can retry within its deadline.
constexpr double urgent_wait_share = 0.2;
constexpr double max_wait_share = 0.7;
// A stream that broke off may wait this long for its continuation: callers abort it two
// seconds after its last event at the earliest.
constexpr milliseconds max_continuation_wait{1'000};

/// Returns until when a request that is queued at `now` waits for its placement.
time_point wait_limit(const forward_context& run, time_point now)
{
    auto limit = run.arrived + queue_timeouts_for(run.call.matched_route).max_wait;
    if (run.call.response.begun())
    {
        limit = std::max(limit, now + max_continuation_wait);
    }
    return std::min(limit, run.call.until);
}

/// Counts and logs a request that no backend server may serve.
void record_exclusion(gateway_state& state, forward_context& run,
                      const placement_request& wanted, const service_exclusion& cause)
{
    const auto regions = wanted.regions
                             ? fmt::format("{}", fmt::join(*wanted.regions, ", "))
                             : std::string("all");
    const auto zones = fmt::format("{}", fmt::join(cause.evacuated_zones, ", "));
    run.out_of_time = false;
    run.last_error = cause.outside_regions
                         ? "no backend server in the allowed regions: " + regions
                         : "all backend servers are in evacuated zones: " + zones;
    state.metrics.increment(cause.outside_regions ? "region_refusals"
                                                  : "evacuation_refusals");
    log_event(log_level::info,
              cause.outside_regions ? "no backend server in the allowed regions"
                                    : "no backend server outside the evacuated zones",
              {{"request", run.call.request.id},
               {"service", wanted.service},
               {"regions", regions},
               {"zones", zones}});
}

std::optional<placement> wait_for_placement(gateway_state& state, forward_context& run,
                                            const placement_request& wanted)
{
    const auto timeouts = queue_timeouts_for(run.call.matched_route);
    const auto wait_deadline = wait_limit(run, steady::now());
    queued_request queued(run.customer, wanted, run.arrived,
                          run.arrived + run.call.matched_route.latency_target,
                          run.arrived + timeouts.urgent_after);
    state.dispatch.enqueue(queued, steady::now());
    int caller = run.call.caller.fd();
    for (;;)
    {
        const auto back = state.dispatch.unavailable_until(wanted.service, steady::now());
        const bool closed = state.queue_closed;
        const auto exclusion = state.dispatch.exclusion_of(wanted);
        const bool in_vain = closed || exclusion || (back && *back >= wait_deadline);
        const auto until = std::min(wait_deadline, state.dispatch.recheck_time(queued));
        const auto woken = in_vain ? wake_cause::timeout
                                   : wait_readable(queued.wake().get(), caller, until);
        if (woken != wake_cause::second)
        {
            const auto now = steady::now();
            if (!in_vain && now < wait_deadline && !state.dispatch.serve(queued, now))
            {
                continue;
            }
            auto place = state.dispatch.dequeue(queued, now);
            if (!place && !closed && exclusion)
            {
                record_exclusion(state, run, wanted, exclusion);
            }
            else if (!place)
            {
                run.out_of_time = !in_vain;
                run.last_error =
                    closed ? "the gateway stops"
                    : in_vain
                        ? "all backend servers asked for backoff until later"
                        : "no placement at a backend server within the queue timeout";
                log_no_placement(run, wanted,
                                 state.dispatch.snapshot(wanted.service, steady::now()));
            }
            return place;
        }
        if (peer_closed(caller))
        {
            run.last_error = "the caller closed the connection";
            if (auto place = state.dispatch.dequeue(queued, steady::now()))
            {
                state.dispatch.release(*place, steady::now());
            }
            return std::nullopt;
        }
        caller = -1; // pipelined request, read after this response
    }
}

} // namespace

queue_timeouts queue_timeouts_for(const route& matched_route)
{
    const auto timeout_ms = static_cast<double>(matched_route.caller_timeout().count());
    return {milliseconds{static_cast<milliseconds::rep>(timeout_ms * urgent_wait_share)},
            milliseconds{static_cast<milliseconds::rep>(timeout_ms * max_wait_share)}};
}

std::unique_ptr<placement_guard> acquire_placement(gateway_state& state,
                                                   forward_context& run,
                                                   const placement_request& wanted)
{
    if (state.queue_closed)
    {
        // A further attempt could not be answered before the process ends.
        run.last_error = "the gateway stops";
        return nullptr;
    }
    auto place = state.dispatch.try_place(run.customer, wanted, steady::now());
    try
    {
        if (!place)
        {
            place = wait_for_placement(state, run, wanted);
        }
    }
    catch (const connection_error& ex) // the process is out of descriptors
    {
        run.last_error = ex.what();
    }
    return place ? std::make_unique<placement_guard>(state.dispatch, std::move(*place))
                 : nullptr;
}

} // namespace pistachiopost
