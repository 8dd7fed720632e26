#include "process/platform_followers.hpp"

#include <charconv>

namespace pistachiopost {

namespace {

std::optional<endpoint> to_endpoint(std::string_view text)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    endpoint it;
    it.address = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    const auto [end, ec] =
        std::from_chars(port.data(), port.data() + port.size(), it.port);
    return ec == std::errc() && it.port != 0 ? std::optional(it) : std::nullopt;
}

} // namespace

void peer_follower::take_table(const row_batch& batch, time_point now)
{
    peers_.clear();
    take_changes(batch, now);
}

void peer_follower::take_changes(const row_batch& batch, time_point)
{
    for (const auto& it : batch.rows)
    {
        const auto address = it.removed ? std::nullopt : to_endpoint(it.value);
        peers_.erase(it.key);
        if (address && it.key != own_)
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
