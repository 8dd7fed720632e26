#include "process/membership/report_fanout.hpp"

#include <map>

namespace pistachiopost {

namespace {

/// The receivers of one other availability zone.
struct zone_receivers
{
    std::vector<endpoint> live;
    std::vector<endpoint> silent;
};

} // namespace

std::vector<endpoint> first_recipients(std::span<const report_receiver> receivers,
                                       std::string_view own_zone, std::uint64_t turn)
{
    std::vector<endpoint> list;
    std::map<std::string_view, zone_receivers> zones;
    for (const auto& it : receivers)
    {
        if (it.zone == own_zone)
        {
            list.push_back(it.address);
            continue;
        }
        auto& zone = zones[it.zone];
        (it.live ? zone.live : zone.silent).push_back(it.address);
    }
    for (const auto& [name, it] : zones)
    {
        if (it.live.empty())
        {
            list.insert(list.end(), it.silent.begin(), it.silent.end());
        }
        else
        {
            list.push_back(it.live[turn % it.live.size()]);
        }
    }
    return list;
}

} // namespace pistachiopost
