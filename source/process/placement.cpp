#include "process/placement.hpp"

#include "process/candidate_choice.hpp"
#include "process/prompt_parts.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace pistachiopost {

namespace {

// Share of the tightest pause between events that one read may add before it counts as
// long.
constexpr double long_read_share = 1;
// Share of an engine's slots that short requests are meant to take, so that the next ones
// find a place.
constexpr double usual_fill = 0.8;
// One engine in eight stays for long prompts whatever the short ones need.
constexpr std::size_t least_pool_part = 8;
// How full a server of another availability zone must be less to be preferred: a tenth of
// its slots outweighs the longer way.
constexpr double other_zone_fill = 0.1;

std::optional<placement> place_call(std::span<const candidate> candidates,
                                    std::string_view zone)
{
    const auto* it = cheapest(candidates, has_slot, [&](const candidate& one) {
        const auto fill = static_cast<double>(one.load.requests) / one.backend->slots;
        return fill + (one.backend->zone == zone ? 0 : other_zone_fill);
    });
    if (it == nullptr)
    {
        return std::nullopt;
    }
    placement result;
    result.main = {*it->backend, {1, 0, 0, 0}, 0};
    return result;
}

/// Returns the engines that write nothing.
std::vector<candidate> without_writers(std::span<const candidate> from)
{
    std::vector<candidate> list;
    std::copy_if(from.begin(), from.end(), std::back_inserter(list),
                 [](const candidate& it) { return it.load.requests == 0; });
    return list;
}

/// Chooses among the engines; the first `pool` of them are for long prompts.
std::optional<placement> place_prompt(const placement_request& request,
                                      std::span<const candidate> all, std::size_t pool,
                                      std::string_view zone)
{
    const auto long_pool = all.first(pool);
    const auto short_pool = all.subspan(pool);
    if (!is_long_read(request))
    {
        auto result = place_in_pool(request, short_pool, zone);
        return result ? result : place_in_pool(request, long_pool, zone);
    }
    auto result = place_in_pool(request, long_pool, zone);
    return result ? result : place_in_pool(request, without_writers(all), zone);
}

} // namespace

bool names(std::span<const std::string> list, std::string_view name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

bool is_long_read(const placement_request& request)
{
    if (request.engine == nullptr || request.prompt_tokens == 0)
    {
        return false;
    }
    const auto limit =
        static_cast<double>(request.tightest_gap.count()) * long_read_share;
    return request.engine->prefill_ms(request.prompt_tokens) > limit;
}

std::size_t long_pool_size(std::span<const candidate> candidates)
{
    std::uint32_t writers = 0;
    std::uint32_t slots = 0;
    std::set<std::string_view> zones;
    for (const auto& it : candidates)
    {
        writers += it.load.short_requests;
        slots += it.backend->slots;
        zones.insert(it.backend->zone);
    }
    const auto count = candidates.size();
    // Engines that the writers fill, if all have the mean number of slots.
    const double busy = std::ceil(writers * static_cast<double>(count) /
                                  (usual_fill * std::max(slots, 1U)));
    // One more than is busy, and one in each availability zone.
    const auto needed = std::max(static_cast<std::size_t>(busy) + 1, zones.size());
    const auto least = std::max(count / least_pool_part, std::min<std::size_t>(count, 1));
    return count > needed + least ? count - needed : least;
}

std::optional<placement> place(const placement_request& request,
                               std::span<const candidate> candidates,
                               std::string_view zone)
{
    std::vector<candidate> allowed;
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(allowed),
        [&](const candidate& it) { return !names(request.excluded, it.backend->id); });
    if (request.engine == nullptr)
    {
        return place_call(allowed, zone);
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
