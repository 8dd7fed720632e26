#include "process/attempt_monitor.hpp"

#include "process/logging.hpp"

#include <utility>

namespace pistachiopost {

bool attempt_monitor::may_send()
{
    const auto& place = held_.get();
    const auto zone = state_.dispatch.evacuated_zone_in(place);
    if (!zone)
    {
        return true;
    }
    state_.metrics.increment("withdrawn_placements");
    log_event(log_level::info, "placement withdrawn: its zone is evacuated",
              {{"request", run_.call.request.id},
               {"backend", place.main.backend.id},
               {"evacuated_zone", *zone}});
    return false;
}

bool attempt_monitor::take_over(time_point now)
{
    const auto& backend = held_.get().main.backend;
    auto history = run_.history;
    history.may_have_run += 1;
    if (may_retry(run_.call.matched_route, history, now, run_.call.until) &&
        state_.budgets.can_spend(backend.service, now))
    {
        auto excluded = run_.failed_backends;
        excluded.push_back(backend.id);
        auto wanted = wanted_;
        wanted.excluded = excluded;
        wanted.requires_available = true;
        if (auto place = state_.dispatch.try_place(run_.customer, wanted, now))
        {
            auto granted =
                std::make_unique<placement_guard>(state_.dispatch, std::move(*place));
            if (state_.budgets.try_spend(backend.service, now))
            {
                successor_ = std::move(granted);
                return true;
            }
        }
    }
    if (!std::exchange(reported_, true))
    {
        state_.dispatch.update_registry(
            now, [&](auto& registry) { registry.record_stall(backend.id, now); });
        state_.metrics.increment("silences_outwaited");
        log_event(log_level::info, "backend server is silent; no other one takes over",
                  {{"request", run_.call.request.id}, {"backend", backend.id}});
    }
    return false;
}

} // namespace pistachiopost
