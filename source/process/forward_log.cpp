#include "process/forward_log.hpp"

#include "process/logging.hpp"

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

} // namespace

void log_attempt_failed(const forwarding& run, const placement& place,
                        const attempt_result& result)
{
    const bool ran = result.end != attempt_end::not_run;
    log_event(log_level::info, "attempt failed",
              {{"request", run.it.request.id},
               {"backend", place.main.backend.id},
               {"fault", result.fault},
               {"status", to_count(static_cast<std::size_t>(result.status))},
               {"may_have_run", to_count(ran ? 1 : 0)},
               {"helpers", to_count(place.helpers.size())},
               {"blamed", result.blamed}});
}

void log_no_place(const forwarding& run, const placement_request& wanted,
                  const line_state& line)
{
    log_event(log_level::info, "no place in time",
              {{"request", run.it.request.id},
               {"prompt_tokens", wanted.prompt_tokens},
               {"waiting", to_count(line.waiting)},
               {"backends", to_count(line.backends)},
               {"trusted", to_count(line.trusted)},
               {"with_slot", to_count(line.with_slot)},
               {"gateways", to_count(line.gateways)},
               {"least_backlog_ms", line.least_backlog_ms}});
}

void log_ended(const forwarding& run, std::string_view outcome, time_point now)
{
    const double first = run.first_event ? to_ms(*run.first_event - run.arrived) : 0;
    log_event(log_level::info, "request ended",
              {{"request", run.it.request.id},
               {"outcome", outcome},
               {"customer", run.customer},
               {"route", run.it.matched_route.name},
               {"configuration", run.table.version()},
               {"prompt_tokens", prompt_tokens(run.it.request)},
               {"may_have_run", to_count(run.history.may_have_run)},
               {"not_run", to_count(run.history.not_run)},
               {"first_event_ms", first},
               {"expected_ms", run.last_place.first_event_ms},
               {"waited_ms", to_ms(run.waited)},
               {"longest_pause_ms", to_ms(run.longest_pause)},
               {"total_ms", to_ms(now - run.arrived)},
               {"backend", run.last_place.main.backend.id},
               {"long_pool", to_count(run.last_place.long_pool)},
               {"helpers", to_count(run.last_place.helpers.size())},
               {"fault", run.last_fault}});
}

void log_refused(const forwarded_request& request, std::string_view outcome,
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
