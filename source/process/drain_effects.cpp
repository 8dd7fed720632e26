#include "process/drain_effects.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pistachiopost {

std::vector<std::string> drain_effects::describe() const
{
    std::vector<std::string> lines{fmt::format(
        "backend servers for {}: {} before, {} after", serves, before, after)};
    for (const auto& [zone, count] : after_by_zone)
    {
        lines.push_back(fmt::format("  in {}: {} after", zone, count));
    }
    return lines;
}

std::optional<drain_effects>
compute_drain_effects(std::span<const backend_server> list,
                      const std::set<std::string, std::less<>>& drained,
                      std::string_view vm)
{
    const auto target = std::find_if(list.begin(), list.end(),
                                     [vm](const auto& it) { return it.vm == vm; });
    if (target == list.end())
    {
        return std::nullopt;
    }
    drain_effects effects;
    effects.serves = target->serves;
    for (const auto& it : list)
    {
        if (it.serves != target->serves || it.leaving || drained.contains(it.vm))
        {
            continue;
        }
        ++effects.before;
        auto& in_zone = effects.after_by_zone[it.zone];
        if (it.vm != vm)
        {
            ++in_zone;
            ++effects.after;
        }
    }
    return effects;
}

} // namespace pistachiopost
