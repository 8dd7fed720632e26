#include "process/membership/backend_registry.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace pistachiopost {

namespace {

// The platform restores the entries of its list within two seconds after an outage.
constexpr milliseconds source_recovery_grace{2'000};
// Ejection time after a first failure, doubled with each further one: a tenth of the
// shortest time in which the platform restarts a process.
constexpr milliseconds base_ejection_time{100};
// Upper bound: about the time that a crashed backend server takes to restart.
constexpr milliseconds max_ejection_time{3'000};

// Failures that one stall counts for. The resulting ejection time is eight times the base
// time, half of the time for which a dead helper blocks a prompt.
constexpr std::uint32_t failures_per_stall = 4;
// Consecutive error responses that count as one failed attempt. If one request in seven
// causes an error by itself, three in a row occur once in about 300 requests.
constexpr std::uint32_t error_responses_per_failure = 3;

milliseconds ejection_time(std::uint32_t failures)
{
    const auto doublings = std::min(failures - 1, 6U);
    return std::min(base_ejection_time * (1U << doublings), max_ejection_time);
}

/// A backend server and its position in the common order.
struct ranked_backend
{
    std::uint64_t rank;
    eligible_backend entry;
};

/// Sorts by rank and interleaves the availability zones, so that any contiguous part of
/// the order contains backend servers of all zones.
std::vector<eligible_backend> interleave_zones(std::vector<ranked_backend> list)
{
    const auto by_rank = [](const ranked_backend& a, const ranked_backend& b) {
        return a.rank < b.rank;
    };
    std::sort(list.begin(), list.end(), by_rank);
    std::map<std::string_view, std::size_t> zone_counts;
    std::vector<std::pair<std::size_t, ranked_backend>> order;
    order.reserve(list.size());
    for (const auto& it : list)
    {
        order.emplace_back(zone_counts[it.entry.backend->zone]++, it);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<eligible_backend> result;
    result.reserve(order.size());
    for (const auto& [rank_in_zone, it] : order)
    {
        result.push_back(it.entry);
    }
    return result;
}

} // namespace

void backend_registry::upsert(const backend_record& record, time_point now)
{
    auto& it = backends_[record.id];
    if (it.record.start_time_ms != record.start_time_ms)
    {
        it.consecutive_failures = 0;
        it.ejected_until = now;
        it.announced_leaving = false;
        it.backoff_until = now;
        it.cold_until = now;
    }
    // A row that was not written since has its number in a later era, too.
    const bool is_known_row = it.record.start_time_ms == record.start_time_ms &&
                              it.record.row_version.number == record.row_version.number &&
                              record.row_version.number != 0 &&
                              (it.record.row_version.era == record.row_version.era ||
                               it.record.cold_remaining == record.cold_remaining);
    if (record.cold_remaining.count() > 0 && !is_known_row)
    {
        extend_cold(it, now + record.cold_remaining);
    }
    it.record = record;
    it.rank = XXH3_64bits(record.id.data(), record.id.size());
    it.removal_due.reset();
    it.withheld_until = {};
    removed_.erase(record.id);
}

void backend_registry::remove(std::string_view id, time_point now)
{
    const auto it = backends_.find(id);
    if (it == backends_.end())
    {
        return;
    }
    const bool in_grace_period =
        source_down_since_ ||
        (source_recovered_at_ && now - *source_recovered_at_ < source_recovery_grace);
    if (!in_grace_period)
    {
        record_removal(it->second.record, now);
        backends_.erase(it);
    }
    else if (!it->second.removal_due)
    {
        it->second.removal_due =
            (source_down_since_ ? now : *source_recovered_at_) + source_recovery_grace;
    }
}

void backend_registry::replace_all(const std::vector<backend_record>& records,
                                   time_point now)
{
    std::set<std::string, std::less<>> listed;
    for (const auto& it : records)
    {
        listed.insert(it.id);
        upsert(it, now);
    }
    remove_unlisted(listed, now);
}

void backend_registry::remove_unlisted(const std::set<std::string, std::less<>>& listed,
                                       time_point now)
{
    std::vector<std::string> missing;
    for (const auto& [id, known] : backends_)
    {
        if (!listed.contains(id))
        {
            missing.push_back(id);
        }
    }
    for (const auto& it : missing)
    {
        remove(it, now);
    }
}

void backend_registry::mark_source_unavailable(time_point now)
{
    if (!source_down_since_)
    {
        source_down_since_ = now;
    }
}

void backend_registry::mark_source_available(time_point now)
{
    if (source_down_since_)
    {
        source_down_since_.reset();
        source_recovered_at_ = now;
        for (auto& [id, it] : backends_)
        {
            if (it.removal_due)
            {
                it.removal_due = now + source_recovery_grace;
            }
        }
    }
}

void backend_registry::remove_expired(time_point now)
{
    if (source_down_since_)
    {
        return;
    }
    std::erase_if(backends_, [&](const auto& it) {
        const bool expired = it.second.removal_due && now >= *it.second.removal_due;
        if (expired)
        {
            record_removal(it.second.record, now);
        }
        return expired;
    });
}

void backend_registry::record_failure(std::string_view id, time_point now)
{
    if (const auto it = backends_.find(id); it != backends_.end())
    {
        ++it->second.consecutive_failures;
        it->second.ejected_until = now + ejection_time(it->second.consecutive_failures);
    }
}

void backend_registry::record_error_response(std::string_view id, time_point now)
{
    const auto it = backends_.find(id);
    if (it != backends_.end() &&
        ++it->second.consecutive_error_responses >= error_responses_per_failure)
    {
        it->second.consecutive_error_responses = 0;
        record_failure(id, now);
    }
}

void backend_registry::record_stall(std::string_view id, time_point now)
{
    if (const auto it = backends_.find(id); it != backends_.end())
    {
        if (now < it->second.ejected_until &&
            it->second.consecutive_failures >= failures_per_stall)
        {
            return; // the same silence, seen by another stream
        }
        it->second.consecutive_failures =
            std::max(it->second.consecutive_failures, failures_per_stall - 1);
        record_failure(id, now);
    }
}

bool backend_registry::is_ejected(std::string_view id, time_point now) const
{
    const auto it = backends_.find(id);
    return it != backends_.end() && now < it->second.ejected_until;
}

void backend_registry::remove_reassigned(std::string_view id)
{
    if (const auto it = backends_.find(id); it != backends_.end())
    {
        backends_.erase(it);
    }
}

backend_registry::tracked_backend*
backend_registry::find_incarnation(const backend_record& backend)
{
    const auto it = backends_.find(backend.id);
    return it != backends_.end() &&
                   it->second.record.start_time_ms == backend.start_time_ms
               ? &it->second
               : nullptr;
}

bool backend_registry::record_leaving(const backend_record& backend)
{
    auto* it = find_incarnation(backend);
    return it != nullptr && !std::exchange(it->announced_leaving, true);
}

bool backend_registry::record_backoff(const backend_record& backend, time_point until)
{
    auto* it = find_incarnation(backend);
    if (it == nullptr || until <= it->backoff_until)
    {
        return false;
    }
    it->backoff_until = until;
    return true;
}

void backend_registry::record_success(std::string_view id)
{
    if (const auto it = backends_.find(id); it != backends_.end())
    {
        it->second.consecutive_failures = 0;
        it->second.consecutive_error_responses = 0;
    }
}

bool backend_registry::evacuate(std::string_view zone)
{
    if (const auto it = held_evacuations_.find(zone); it != held_evacuations_.end())
    {
        held_evacuations_.erase(it);
    }
    return evacuated_zones_.emplace(zone).second;
}

bool backend_registry::restore(std::string_view zone, time_point now)
{
    const auto it = evacuated_zones_.find(zone);
    if (it == evacuated_zones_.end())
    {
        return false;
    }
    evacuated_zones_.erase(it);
    if (const auto held = held_evacuations_.find(zone); held != held_evacuations_.end())
    {
        held_evacuations_.erase(held);
    }
    assume_cold(zone, now);
    return true;
}

std::vector<std::string> backend_registry::zones_of(std::string_view service) const
{
    std::set<std::string_view> zones;
    for (const auto& [id, it] : backends_)
    {
        if (it.record.service == service)
        {
            zones.insert(it.record.zone);
        }
    }
    return {zones.begin(), zones.end()};
}

std::vector<eligible_backend> backend_registry::eligible(std::string_view service,
                                                         time_point now) const
{
    std::vector<ranked_backend> available;
    std::vector<ranked_backend> ejected;
    for (const auto& [id, it] : backends_)
    {
        if (it.record.service != service || it.record.leaving || it.announced_leaving ||
            it.backoff_until > now || it.withheld_until > now ||
            is_evacuated(it.record.zone))
        {
            continue;
        }
        auto& list = it.ejected_until <= now ? available : ejected;
        list.push_back(
            {it.rank, {&it.record, it.consecutive_failures == 0, cold_rate(it, now)}});
    }
    return interleave_zones(available.empty() ? std::move(ejected)
                                              : std::move(available));
}

std::optional<time_point> backend_registry::next_backoff_end(std::string_view service,
                                                             time_point now) const
{
    std::optional<time_point> next;
    for (const auto& [id, it] : backends_)
    {
        if (it.record.service == service && !it.record.leaving && !it.announced_leaving &&
            it.backoff_until > now && !is_evacuated(it.record.zone))
        {
            next = std::min(next.value_or(it.backoff_until), it.backoff_until);
        }
    }
    return next;
}

const backend_record* backend_registry::find(std::string_view id) const
{
    const auto it = backends_.find(id);
    return it == backends_.end() ? nullptr : &it->second.record;
}

std::vector<const backend_record*> backend_registry::in_zone(std::string_view zone) const
{
    std::vector<const backend_record*> list;
    for (const auto& [id, it] : backends_)
    {
        if (it.record.zone == zone)
        {
            list.push_back(&it.record);
        }
    }
    return list;
}

const backend_record* backend_registry::find_by_address(std::string_view address) const
{
    for (const auto& [id, it] : backends_)
    {
        if (to_string(it.record.address) == address)
        {
            return &it.record;
        }
    }
    return nullptr;
}

} // namespace pistachiopost
