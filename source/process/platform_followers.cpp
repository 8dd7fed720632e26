#include "process/platform_followers.hpp"

namespace pistachiopost {

void peer_follower::on_snapshot(const row_batch& batch, time_point now)
{
    peers_.clear();
    on_changes(batch, now);
}

void peer_follower::on_changes(const row_batch& batch, time_point)
{
    for (const auto& it : batch.rows)
    {
        const auto address = it.removed ? std::nullopt : parse_endpoint(it.value);
        peers_.erase(it.key);
        if (address && it.key != own_name_)
        {
            peers_.emplace(it.key, *address);
        }
    }
    std::vector<endpoint> addresses;
    for (const auto& [name, address] : peers_)
    {
        addresses.push_back(address);
    }
    set_peers_(addresses);
}

} // namespace pistachiopost
