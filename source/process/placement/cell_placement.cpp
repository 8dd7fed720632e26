#include "process/placement/cell_placement.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiopost {

namespace {

// A cell with fewer engines than the largest prompts are spread over shares those of the
// whole fleet.
constexpr std::size_t min_cell_engines = 17;
// Other zones that one request is offered to at a time, which bounds the cost of a
// decision.
constexpr std::size_t max_other_zones = 2;

using candidate_list = std::vector<placement_candidate>;
using zone_map = std::map<std::string_view, candidate_list>;

zone_map group_by_zone(std::span<const placement_candidate> candidates)
{
    zone_map zones;
    for (const auto& it : candidates)
    {
        zones[it.backend->zone].push_back(it);
    }
    return zones;
}

/// Returns the share of the slots that is taken.
double fill_level(const candidate_list& list)
{
    double requests = 0;
    double slots = 0;
    for (const auto& it : list)
    {
        requests += it.load.requests;
        slots += it.backend->slots;
    }
    return slots > 0 ? requests / slots : 1;
}

/// Returns the other zones that are known, least loaded first.
std::vector<const candidate_list*> choose_other_zones(const zone_map& zones,
                                                      std::string_view own,
                                                      const is_zone_known& known)
{
    std::vector<std::pair<double, const candidate_list*>> order;
    for (const auto& [zone, list] : zones)
    {
        if (zone != own && known(zone))
        {
            order.emplace_back(fill_level(list), &list);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<const candidate_list*> result;
    for (const auto& [fill, list] : order)
    {
        if (result.size() < max_other_zones)
        {
            result.push_back(list);
        }
    }
    return result;
}

} // namespace

std::optional<placement> place_in_cells(const placement_request& request,
                                        std::span<const placement_candidate> candidates,
                                        std::string_view zone, steady::duration waited,
                                        const is_zone_known& known)
{
    const auto zones = group_by_zone(candidates);
    const auto own = zones.find(zone);
    const std::size_t size = own == zones.end() ? 0 : own->second.size();
    if (size == 0 || (request.engine != nullptr && size < min_cell_engines))
    {
        return place(request, candidates, zone);
    }
    if (auto result = place(request, own->second, zone))
    {
        return result;
    }
    if (waited < cell_patience)
    {
        return std::nullopt;
    }
    for (const auto* list : choose_other_zones(zones, zone, known))
    {
        if (auto result = place(request, *list, zone))
        {
            return result;
        }
    }
    return std::nullopt;
}

} // namespace pistachiopost
