#include "process/forward_log.hpp"

#include "process/logging.hpp"

#include <fmt/ranges.h>

namespace pistachiopost {

namespace {

double to_ms(steady::duration it)
{
    return std::chrono::duration<double, std::milli>(it).count();
}

std::uint64_t to_count(std::size_t it)
{
    return static_cast<std::uint64_t>(it);
}

std::uint64_t prompt_tokens(const forwarded_request& request)
{
    return request.prompt ? request.prompt->prompt_tokens : 0;
}

std::string shared_parts(const forwarded_request& request)
{
    return fmt::format("{:x}", fmt::join(request.shared_parts, ","));
}

} // namespace

void log_attempt_failed(const forward_context& run, const placement& place,
                        const attempt_result& result)
{
    const bool ran = result.end != attempt_end::not_run;
    log_event(log_level::info, "attempt failed",
              {{"request", run.call.request.id},
               {"backend", place.main.backend.id},
               {"fault", result.fault},
               {"status", to_count(static_cast<std::size_t>(result.status))},
               {"may_have_run", to_count(ran ? 1 : 0)},
               {"silence_ms", to_ms(result.silence)},
               {"broken_off", to_count(result.broken_off ? 1 : 0)},
               {"delivered", to_count(result.delivered() ? 1 : 0)},
               {"parts", shared_parts(run.call.request)},
               {"helpers", to_count(place.helpers.size())},
               {"blamed", result.blamed}});
}

void log_no_placement(const forward_context& run, const placement_request& wanted,
                      const rejection_reason& reason, const queue_snapshot& queue)
{
    log_event(log_level::info, "no place in time",
              {{"request", run.call.request.id},
               {"prompt_tokens", wanted.prompt_tokens},
               {"forecast_wait_ms", to_ms(reason.start)},
               {"latest_wait_ms", to_ms(reason.latest)},
               {"forecast_error_ms", to_ms(reason.error)},
               {"waiting", to_count(queue.waiting)},
               {"backends", to_count(queue.backends)},
               {"trusted", to_count(queue.healthy)},
               {"with_slot", to_count(queue.with_slot)},
               {"cold", to_count(queue.cold)},
               {"gateways", to_count(queue.gateways)},
               {"least_backlog_ms", queue.least_backlog_ms}});
}

void log_request_ended(const forward_context& run, std::string_view outcome,
                       time_point now)
{
    const double first = run.first_event ? to_ms(*run.first_event - run.arrived) : 0;
    log_event(log_level::info, "request ended",
              {{"request", run.call.request.id},
               {"outcome", outcome},
               {"customer", run.customer},
               {"route", run.call.matched_route.name},
               {"configuration", run.table.version()},
               {"prompt_tokens", prompt_tokens(run.call.request)},
               {"parts", shared_parts(run.call.request)},
               {"may_have_run", to_count(run.history.may_have_run)},
               {"not_run", to_count(run.history.not_run)},
               {"first_event_ms", first},
               {"expected_ms", run.last_placement.first_event_ms},
               {"waited_ms", to_ms(run.queue_time)},
               {"longest_pause_ms", to_ms(run.longest_pause)},
               {"total_ms", to_ms(now - run.arrived)},
               {"backend", run.last_placement.main.backend.id},
               {"long_pool", to_count(run.last_placement.long_pool)},
               {"helpers", to_count(run.last_placement.helpers.size())},
               {"fault", run.last_error}});
}

void log_request_refused(const forwarded_request& request, std::string_view outcome,
                         std::uint64_t version)
{
    log_event(log_level::info, "request refused",
              {{"request", request.id},
               {"outcome", outcome},
               {"configuration", version},
               {"host", request.host},
               {"path", request.path}});
}

} // namespace pistachiopost
