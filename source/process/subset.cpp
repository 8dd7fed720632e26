#include "process/subset.hpp"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace pistachiopost {

namespace {

struct ranked_server
{
    std::uint64_t score;
    const backend_server* server;
};

std::uint64_t score(std::string_view entry_vm, const backend_server& server)
{
    const auto seed = XXH3_64bits(entry_vm.data(), entry_vm.size());
    return XXH3_64bits_withSeed(server.vm.data(), server.vm.size(), seed);
}

void keep_highest(std::vector<ranked_server>& servers, std::size_t n)
{
    std::sort(servers.begin(), servers.end(), [](const auto& a, const auto& b) {
        return std::pair(a.score, a.server->vm) > std::pair(b.score, b.server->vm);
    });
    servers.resize(std::min(n, servers.size()));
}

} // namespace

std::size_t links_per_target(std::span<const backend_server> list, std::size_t wanted,
                             std::size_t max_links)
{
    constexpr std::size_t min_links = 2; // a choice, and a spare if one fails
    std::set<std::string_view> targets;
    for (const auto& it : list)
    {
        targets.insert(it.serves);
    }
    const auto share = max_links / std::max<std::size_t>(targets.size(), 1);
    return std::max(std::min(wanted, share), min_links);
}

std::vector<backend_server> choose_subset(std::span<const backend_server> list,
                                          std::string_view entry_vm,
                                          std::string_view zone, std::size_t size)
{
    struct servers_by_zone
    {
        std::vector<ranked_server> same_zone;
        std::vector<ranked_server> other_zones;
    };
    std::map<std::string_view, servers_by_zone> by_target;
    for (const auto& server : list)
    {
        auto& group = by_target[server.serves];
        auto& servers = server.zone == zone ? group.same_zone : group.other_zones;
        servers.push_back({score(entry_vm, server), &server});
    }
    std::vector<backend_server> chosen;
    for (auto& [target, group] : by_target)
    {
        const auto other_zones_wanted = std::min(group.other_zones.size(), size / 4);
        const auto same_zone_wanted =
            std::min(group.same_zone.size(), size - other_zones_wanted);
        keep_highest(group.same_zone, same_zone_wanted);
        keep_highest(group.other_zones, size - group.same_zone.size());
        for (const auto* servers : {&group.same_zone, &group.other_zones})
        {
            for (const auto& it : *servers)
            {
                chosen.push_back(*it.server);
            }
        }
    }
    return chosen;
}

} // namespace pistachiopost
