/// \file
/// Decides which of several gateways with waiting requests may take free capacity.
///
/// Answers the load at a peak, when many gateways wait: all of them learn of a free slot
/// by the same report, and would all take it. For each backend server as many gateways
/// are elected as it has free slots. They agree on that without messages, since they rank
/// each other by the same hashes. The order stays while slots are taken, so that the
/// remaining slots still belong to those that were elected for them, and rotates if
/// nobody takes a slot. Each backend server has an order of its own, so that no gateway
/// is behind everywhere.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace pistachiopost {

/// Returns the hash by which a gateway, backend server or service is ranked.
inline std::uint64_t contention_hash(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

/// The gateways that wait for the same kind of capacity.
class slot_contention
{
public:
    /// `self` and `rivals` are the hashes of the gateways' names.
    slot_contention(std::uint64_t self, std::span<const std::uint64_t> rivals)
        : self_(self), rivals_(rivals)
    {
    }

    /// Returns whether this gateway may take one of `free` units of `resource` at this
    /// turn, after it has already taken `taken` that the rivals do not know of.
    [[nodiscard]] bool may_take(std::uint64_t resource, std::size_t free,
                                std::uint64_t turn, std::size_t taken = 0) const
    {
        // With fewer rivals reports arrive faster than requests are placed.
        constexpr std::size_t min_rivals = 3;
        if (rivals_.size() < min_rivals)
        {
            return true;
        }
        const auto own = position(resource, self_, turn);
        const auto ahead =
            std::count_if(rivals_.begin(), rivals_.end(), [&](std::uint64_t rival) {
                return position(resource, rival, turn) < own;
            });
        // Each gateway gets one unit before the first one gets its second.
        return static_cast<std::size_t>(ahead) + taken * (rivals_.size() + 1) <
               free + taken;
    }

private:
    static std::uint64_t position(std::uint64_t resource, std::uint64_t gateway,
                                  std::uint64_t turn)
    {
        const std::array<std::uint64_t, 3> key{turn, resource, gateway};
        return XXH3_64bits(key.data(), sizeof key);
    }

    std::uint64_t self_;
    std::span<const std::uint64_t> rivals_;
};

} // namespace pistachiopost
