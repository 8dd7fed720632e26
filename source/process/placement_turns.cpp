#include "process/placement_turns.hpp"

#include "process/slot_contention.hpp"

#include <algorithm>

namespace pistachiopost {

namespace {

// Duration of a claim: prefilling parts of other prompts end within it, and so do the
// shorter ones of the answers that run.
constexpr milliseconds claim_duration{600};
// Interval between the claims of one prompt.
constexpr milliseconds claim_interval{1'500};

} // namespace

bool is_claim_time(steady::duration waited, steady::duration target)
{
    return waited >= target && (waited - target) % claim_interval < claim_duration;
}

bool fits_without_long_prompts(const placement_request& request,
                               std::span<const placement_candidate> candidates,
                               std::string_view zone)
{
    std::vector<placement_candidate> idle(candidates.begin(), candidates.end());
    for (auto& it : idle)
    {
        it.load.requests = it.load.short_requests;
        it.load.prefill_ms = 0;
        if (it.load.short_requests == 0)
        {
            it.load.memory_tokens = 0;
        }
    }
    return place(request, idle, zone).has_value();
}

void placement_turns::record_placement(std::string_view backend)
{
    ++unreported_placements_[std::string(backend)];
}

void placement_turns::record_release(std::string_view backend)
{
    unreported_releases_.emplace(backend);
}

void placement_turns::mark_reported()
{
    unreported_placements_.clear();
    unreported_releases_.clear();
}

void placement_turns::yield_slots(std::string_view service, const load_tracker& loads,
                                  std::vector<placement_candidate>& candidates,
                                  time_point now) const
{
    const auto rivals = loads.rivals({std::string(service), false}, now);
    const slot_contention contention(self_, rivals);
    for (auto& it : candidates)
    {
        const auto& id = it.backend->id;
        const auto free =
            it.backend->slots - std::min(it.load.requests, it.backend->slots);
        const auto taken = unreported_placements_.find(id);
        const auto taken_count =
            taken == unreported_placements_.end() ? 0 : taken->second;
        if (free > 0 && !unreported_releases_.contains(id) &&
            !contention.may_take(contention_hash(id), free, loads.turn(id, now),
                                 taken_count))
        {
            it.load.requests = it.backend->slots;
        }
    }
}

bool placement_turns::yields_engines(std::string_view service, bool claims,
                                     const load_tracker& loads, time_point now)
{
    const auto resource = contention_hash(service);
    const auto claimants = loads.claimants(service, now);
    if (!claimants.empty())
    {
        return !claims || !slot_contention(self_, claimants).is_first(resource);
    }
    if (claims)
    {
        return false;
    }
    const auto rivals = loads.rivals({std::string(service), true}, now);
    return !slot_contention(self_, rivals)
                .may_take(resource, 1, turn(service, rivals, now));
}

/// Returns a number that is the same at all gateways that know the same rivals, and
/// changes with them or after turn_duration.
std::uint64_t placement_turns::turn(std::string_view service,
                                    std::span<const std::uint64_t> rivals, time_point now)
{
    auto state = self_;
    for (const auto rival : rivals)
    {
        state ^= rival;
    }
    auto& known = rivals_[std::string(service)];
    if (known.state != state)
    {
        known = {state, now};
    }
    return state + static_cast<std::uint64_t>((now - known.since) / turn_duration);
}

} // namespace pistachiopost
