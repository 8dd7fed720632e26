#include "process/membership/backend_registry.hpp"

#include <algorithm>
#include <utility>

namespace pistachiopost {

void backend_registry::set_cold_services(
    std::map<std::string, cold_service, std::less<>> services)
{
    cold_services_ = std::move(services);
}

void backend_registry::extend_cold(tracked_backend& it, time_point until)
{
    it.cold_until = std::max(it.cold_until, until);
    last_cold_end_ = std::max(last_cold_end_, until);
}

double backend_registry::cold_rate(const tracked_backend& it, time_point now) const
{
    if (now >= it.cold_until)
    {
        return 0;
    }
    const auto service = cold_services_.find(it.record.service);
    return service == cold_services_.end() ? 0 : service->second.per_second;
}

bool backend_registry::record_cold(const backend_record& backend, time_point until,
                                   time_point now)
{
    auto* it = find_incarnation(backend);
    if (it == nullptr)
    {
        return false;
    }
    const bool was_cold = cold_rate(*it, now) > 0;
    extend_cold(*it, until);
    return !was_cold && cold_rate(*it, now) > 0;
}

void backend_registry::assume_cold(std::string_view zone, time_point now)
{
    for (auto& [id, it] : backends_)
    {
        const auto service = cold_services_.find(it.record.service);
        if (it.record.zone == zone && service != cold_services_.end())
        {
            extend_cold(it, now + service->second.duration);
        }
    }
}

std::optional<cold_backend> backend_registry::find_cold(std::string_view id,
                                                        time_point now) const
{
    const auto it = now < last_cold_end_ ? backends_.find(id) : backends_.end();
    const double rate = it == backends_.end() ? 0 : cold_rate(it->second, now);
    return rate > 0 ? std::optional(
                          cold_backend{&it->second.record, it->second.cold_until, rate})
                    : std::nullopt;
}

std::vector<cold_backend> backend_registry::cold_backends(std::string_view service,
                                                          time_point now) const
{
    std::vector<cold_backend> list;
    if (now >= last_cold_end_)
    {
        return list;
    }
    for (const auto& [id, it] : backends_)
    {
        const double rate = cold_rate(it, now);
        if (rate > 0 && (service.empty() || it.record.service == service))
        {
            list.push_back({&it.record, it.cold_until, rate});
        }
    }
    return list;
}

std::vector<cold_change> backend_registry::take_cold_changes(time_point now)
{
    std::vector<cold_change> list;
    for (auto& [id, it] : backends_)
    {
        const bool is_cold = cold_rate(it, now) > 0;
        if (std::exchange(it.reported_cold, is_cold) != is_cold)
        {
            list.push_back(
                {id, it.record.service,
                 is_cold ? ceil_milliseconds(it.cold_until - now) : milliseconds{0}});
        }
    }
    return list;
}

} // namespace pistachiopost
