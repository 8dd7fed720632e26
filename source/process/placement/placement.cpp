#include "process/placement/placement.hpp"

#include "process/placement/candidate_choice.hpp"
#include "process/placement/prompt_placement.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace pistachiopost {

namespace {

// Share of the tightest event gap target that one prefill may take before it counts as
// long.
constexpr double max_prefill_gap_share = 1;
// Target share of an engine's slots for short requests; the rest is headroom for the next
// ones.
constexpr double target_short_fill = 0.8;
// One engine in eight is reserved for long prompts, regardless of the short load.
constexpr std::size_t min_long_pool_divisor = 8;
// Penalty on the fill level of a server in another availability zone: a tenth of its
// slots outweighs the additional network latency.
constexpr double cross_zone_fill_penalty = 0.1;
// Penalty on the fill level of a cold server: it gets a request only if the others have
// half of their slots more in use.
constexpr double cold_fill_penalty = 0.5;
// Servers whose fill levels differ by less are equal.
constexpr double equal_fill_tolerance = 0.01;

std::optional<placement> place_plain_call(const placement_request& request,
                                          std::span<const placement_candidate> candidates,
                                          std::string_view zone)
{
    const auto* it = spread_candidate(
        candidates, has_free_slot,
        [&](const placement_candidate& one) {
            const auto fill = static_cast<double>(one.load.requests) / one.backend->slots;
            return fill + (one.backend->zone == zone ? 0 : cross_zone_fill_penalty) +
                   (one.start == cold_state::warm ? 0 : cold_fill_penalty);
        },
        equal_fill_tolerance, request.spread);
    if (it == nullptr)
    {
        return std::nullopt;
    }
    placement result;
    result.main = {*it->backend, {1, 0, 0, 0}, 0};
    return result;
}

/// Returns the engines that decode no answer.
std::vector<placement_candidate>
engines_not_decoding(std::span<const placement_candidate> from)
{
    std::vector<placement_candidate> list;
    std::copy_if(from.begin(), from.end(), std::back_inserter(list),
                 [](const placement_candidate& it) { return it.load.requests == 0; });
    return list;
}

/// Places a prompt on `all` engines, the first `pool` of which are for long prompts.
std::optional<placement> place_prompt(const placement_request& request,
                                      std::span<const placement_candidate> all,
                                      std::size_t pool, std::string_view zone)
{
    const auto long_pool = all.first(pool);
    const auto short_pool = all.subspan(pool);
    if (!is_long_prefill(request))
    {
        auto result = place_in_pool(request, short_pool, zone);
        return result ? result : place_in_pool(request, long_pool, zone);
    }
    auto result = place_in_pool(request, long_pool, zone);
    return result ? result : place_in_pool(request, engines_not_decoding(all), zone);
}

} // namespace

bool contains_id(std::span<const std::string> list, std::string_view name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

bool is_long_prefill(const placement_request& request)
{
    if (request.engine == nullptr || request.prompt_tokens == 0)
    {
        return false;
    }
    const auto limit =
        static_cast<double>(request.tightest_gap.count()) * max_prefill_gap_share;
    return request.engine->prefill_ms(request.prompt_tokens) > limit;
}

std::size_t long_pool_size(std::span<const placement_candidate> candidates)
{
    std::uint32_t short_requests = 0;
    std::uint32_t slots = 0;
    std::set<std::string_view> zones;
    for (const auto& it : candidates)
    {
        short_requests += it.load.short_requests;
        slots += it.backend->slots;
        zones.insert(it.backend->zone);
    }
    const auto count = candidates.size();
    // Engines needed for the short requests, assuming the mean number of slots.
    const double short_engines = std::ceil(short_requests * static_cast<double>(count) /
                                           (target_short_fill * std::max(slots, 1U)));
    // One spare engine, and at least one per availability zone.
    const auto needed =
        std::max(static_cast<std::size_t>(short_engines) + 1, zones.size());
    const auto min_pool =
        std::max(count / min_long_pool_divisor, std::min<std::size_t>(count, 1));
    return count > needed + min_pool ? count - needed : min_pool;
}

std::optional<placement> place(const placement_request& request,
                               std::span<const placement_candidate> candidates,
                               std::string_view zone)
{
    std::vector<placement_candidate> allowed;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(allowed),
                 [&](const placement_candidate& it) {
                     return !contains_id(request.excluded, it.backend->id);
                 });
    if (request.engine == nullptr)
    {
        return place_plain_call(request, allowed, zone);
    }
    const auto pool = long_pool_size(allowed);
    auto result = place_prompt(request, allowed, pool, zone);
    if (result)
    {
        result->long_pool = pool;
    }
    return result;
}

} // namespace pistachiopost
