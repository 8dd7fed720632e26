#include "process/admission/cold_admission.hpp"

#include <algorithm>

namespace pistachiopost {

namespace {

/// Returns the earlier of two times, of which each may be missing.
std::optional<time_point> earlier(std::optional<time_point> a,
                                  std::optional<time_point> b)
{
    return a && b ? std::min(a, b) : (a ? a : b);
}

} // namespace

cold_state cold_admission::state_of(const eligible_backend& it, time_point now)
{
    if (it.cold_per_second == 0)
    {
        return cold_state::warm;
    }
    if (allowance_.may_send(it.backend->id, it.cold_per_second, now))
    {
        return cold_state::cold;
    }
    ++withheld_;
    return cold_state::withheld;
}

bool cold_admission::charge_part(const backend_registry& registry,
                                 std::string_view backend, time_point now)
{
    const auto it = registry.find_cold(backend, now);
    if (!it)
    {
        return false;
    }
    allowance_.spend(backend, it->per_second, now);
    ++placements_;
    return true;
}

void cold_admission::charge(const backend_registry& registry, placement& place,
                            time_point now)
{
    bool is_cold = charge_part(registry, place.main.backend.id, now);
    for (const auto& it : place.helpers)
    {
        is_cold = charge_part(registry, it.backend.id, now) || is_cold;
    }
    if (is_cold)
    {
        place.send_by = now + cold_send_timeout;
    }
}

std::optional<time_point> cold_admission::next_change(const backend_registry& registry,
                                                      std::string_view service,
                                                      time_point now)
{
    std::optional<time_point> next;
    for (const auto& it : registry.cold_backends(service, now))
    {
        const auto allowed = allowance_.next_allowed(it.backend->id, it.per_second, now);
        // What is allowed already did not help the request, and will not by itself.
        const auto change =
            allowed && *allowed > now ? std::min(*allowed, it.until) : it.until;
        next = earlier(next, change);
    }
    return next;
}

cold_counts cold_admission::counts(const backend_registry& registry, time_point now) const
{
    return {registry.cold_backends({}, now).size(), placements_, withheld_};
}

std::optional<time_point> recheck_times::next(std::string_view service)
{
    const auto [entry, is_new] = backoff_ends_.try_emplace(service);
    if (!is_new)
    {
        return entry->second;
    }
    entry->second = registry_.next_backoff_end(service, now_);
    return earlier(entry->second, cold_.next_change(registry_, service, now_));
}

} // namespace pistachiopost
