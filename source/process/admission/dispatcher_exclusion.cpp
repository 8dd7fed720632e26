/// The parts of the dispatcher about backend servers that requests may not use, for some
/// time or at all.
#include "process/admission/dispatcher.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace pistachiopost {

std::vector<std::string> dispatcher::evacuated_zones_of(std::string_view service) const
{
    const std::lock_guard lock(mutex_);
    return registry_.evacuated_zones_of(service);
}

std::optional<std::string> dispatcher::evacuated_zone_in(const placement& place) const
{
    const std::lock_guard lock(mutex_);
    if (registry_.is_evacuated(place.main.backend.zone))
    {
        return place.main.backend.zone;
    }
    const auto it =
        std::find_if(place.helpers.begin(), place.helpers.end(), [&](const auto& one) {
            return registry_.is_evacuated(one.backend.zone);
        });
    return it == place.helpers.end() ? std::nullopt : std::optional(it->backend.zone);
}

std::size_t dispatcher::evacuated_zone_count() const
{
    const std::lock_guard lock(mutex_);
    return registry_.evacuated_zones().size();
}

void dispatcher::update_recheck_times(time_point now)
{
    struct service_state
    {
        std::optional<time_point> backoff_end;
        bool evacuated = false;
    };
    std::map<std::string_view, service_state> services;
    for (auto* it : queue_)
    {
        const auto service = it->request_->service;
        const auto [entry, is_new] = services.try_emplace(service);
        auto& state = entry->second;
        if (is_new)
        {
            state = {registry_.next_backoff_end(service, now),
                     !registry_.evacuated_zones_of(service).empty()};
        }
        if (it->recheck_at_ != state.backoff_end || it->evacuated_ != state.evacuated)
        {
            it->recheck_at_ = state.backoff_end;
            it->evacuated_ = state.evacuated;
            signal_event_fd(it->wake_);
        }
    }
}

} // namespace pistachiopost
