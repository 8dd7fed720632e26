/// The parts of the dispatcher about backend servers that requests may not use, for some
/// time or at all.
#include "process/admission/dispatcher.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pistachiopost {

service_exclusion dispatcher::exclusion_of(const placement_request& request) const
{
    const std::lock_guard lock(mutex_);
    if (!request.regions && registry_.evacuated_zones().empty())
    {
        return {};
    }
    return find_exclusion(request, registry_.zones_of(request.service));
}

/// A zone without a known region is in none that a request names.
bool dispatcher::allows_zone(const placement_request& request,
                             std::string_view zone) const
{
    const auto it = regions_.find(zone);
    return !request.regions ||
           (it != regions_.end() && contains_id(*request.regions, it->second));
}

service_exclusion dispatcher::find_exclusion(const placement_request& request,
                                             std::span<const std::string> zones) const
{
    service_exclusion result;
    for (const auto& it : zones)
    {
        if (!allows_zone(request, it))
        {
            continue;
        }
        if (!registry_.is_evacuated(it))
        {
            return {};
        }
        result.evacuated_zones.push_back(it);
    }
    result.outside_regions = !zones.empty() && result.evacuated_zones.empty();
    return result;
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

void dispatcher::update_recheck_times(candidate_cache& cache, time_point now)
{
    recheck_times times(registry_, cold_, now);
    const bool has_evacuations = !registry_.evacuated_zones().empty();
    std::set<std::string_view> services;
    std::map<std::string_view, std::vector<std::string>> zones_by_service;
    for (auto* it : queue_)
    {
        const auto service = it->request_->service;
        const auto due_before = it->recheck_time();
        if (!services.insert(service).second)
        {
            it->retry_at_.reset();
        }
        else if (!it->retry_at_ || *it->retry_at_ <= now)
        {
            it->retry_at_ = next_free_by_time(service, cache, now);
        }
        const auto backoff_end = times.next(service);
        bool excluded = false;
        if (has_evacuations || it->request_->regions)
        {
            const auto [zones, is_new] = zones_by_service.try_emplace(service);
            if (is_new)
            {
                zones->second = registry_.zones_of(service);
            }
            excluded = bool{find_exclusion(*it->request_, zones->second)};
        }
        const bool changed = it->backoff_end_ != backoff_end || it->excluded_ != excluded;
        it->backoff_end_ = backoff_end;
        it->excluded_ = excluded;
        if (changed || it->recheck_time() < due_before)
        {
            signal_event_fd(it->wake_);
        }
    }
}

} // namespace pistachiopost
