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

// A stream that broke off may wait this long for its continuation: callers abort it two
// seconds after its last event at the earliest.
constexpr milliseconds max_continuation_wait{1'000};

/// Returns by when a request that is queued at `now` needs its answer.
caller_deadlines queue_deadlines(const forward_context& run, time_point now)
{
    auto it = deadlines_for(run.call.matched_route, run.arrived, run.call.until);
    if (run.call.response.begun())
    {
        it.begun = true;
        it.first_event = std::min(std::max(it.first_event, now + max_continuation_wait),
                                  run.call.until);
    }
    return it;
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
    const auto deadlines = queue_deadlines(run, steady::now());
    queued_request queued(run.customer, wanted, run.arrived,
                          run.arrived + run.call.matched_route.latency_target, deadlines);
    state.dispatch.enqueue(queued, steady::now());
    int caller = run.call.caller.fd();
    for (;;)
    {
        const auto back = state.dispatch.unavailable_until(wanted.service, steady::now());
        const bool closed = state.queue_closed;
        const auto exclusion = state.dispatch.exclusion_of(wanted);
        const bool in_vain =
            closed || exclusion || (back && *back >= deadlines.first_event);
        const auto until = state.dispatch.recheck_time(queued);
        const auto woken = in_vain ? wake_cause::timeout
                                   : wait_readable(queued.wake().get(), caller, until);
        if (woken != wake_cause::second)
        {
            const auto now = steady::now();
            const bool placed = !in_vain && state.dispatch.serve(queued, now);
            const auto rejection = state.dispatch.rejection(queued);
            if (!in_vain && !placed && !rejection)
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
                    closed    ? "the gateway stops"
                    : in_vain ? "all backend servers asked for backoff until later"
                              : "no placement from which an answer would be in time";
                state.metrics.increment(in_vain ? "rejected_unavailable"
                                                : "rejected_by_forecast");
                log_no_placement(run, wanted, rejection.value_or(rejection_reason()),
                                 state.dispatch.snapshot(wanted.service, now));
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

caller_deadlines deadlines_for(const route& matched_route, time_point arrived,
                               time_point until)
{
    // A call that just meets its target takes that long from its start. The rest of the
    // timeout is for waiting, at least half of it.
    const auto timeout = matched_route.caller_timeout();
    const bool is_stream = matched_route.kind == call_kind::stream;
    const auto reserved =
        is_stream ? milliseconds{0} : std::min(matched_route.latency_target, timeout / 2);
    return {std::min(arrived + timeout, until) - reserved, until};
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
