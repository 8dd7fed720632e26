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
    constexpr std::size_t least = 2; // a choice, and one left when the other fails
    std::set<std::string_view> targets;
    for (const auto& it : list)
    {
        targets.insert(it.serves);
    }
    const auto share = max_links / std::max<std::size_t>(targets.size(), 1);
    return std::max(std::min(wanted, share), least);
}

std::vector<backend_server> choose_subset(std::span<const backend_server> list,
                                          std::string_view entry_vm,
                                          std::string_view zone, std::size_t size)
{
    struct zones
    {
        std::vector<ranked_server> near;
        std::vector<ranked_server> far;
    };
    std::map<std::string_view, zones> by_target;
    for (const auto& server : list)
    {
        auto& group = by_target[server.serves];
        auto& side = server.zone == zone ? group.near : group.far;
        side.push_back({score(entry_vm, server), &server});
    }
    std::vector<backend_server> chosen;
    for (auto& [target, group] : by_target)
    {
        const auto far_wanted = std::min(group.far.size(), size / 4);
        const auto near_wanted = std::min(group.near.size(), size - far_wanted);
        keep_highest(group.near, near_wanted);
        keep_highest(group.far, size - group.near.size());
        for (const auto* side : {&group.near, &group.far})
        {
            for (const auto& it : *side)
            {
                chosen.push_back(*it.server);
            }
        }
    }
    return chosen;
}

} // namespace pistachiopost
