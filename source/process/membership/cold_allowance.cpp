#include "process/membership/cold_allowance.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace pistachiopost {

namespace {

/// Slots that go to the first gateways of a subset, chosen for each backend server anew.
struct slot_group
{
    /// `usual_members` is the number of gateways up to which further slots are not used
    /// for more slots of each.
    slot_group(std::uint64_t one_in, std::uint32_t slots, std::uint32_t usual_members)
        : divisor(one_in), slots_per_member(std::max(slots / usual_members, 1U)),
          members(slots / slots_per_member)
    {
    }

    std::uint64_t divisor; ///< The subset is one gateway in this many.
    std::uint32_t slots_per_member;
    std::uint32_t members; ///< That own slots.
};

// Part of the slots that each of the smaller subsets gets. What remains of 47 slots
// covers a fleet of 31 gateways.
constexpr std::uint32_t subset_divisor = 6;
constexpr std::uint32_t usual_gateways = 31;
// With 8 members the first subset is used up in a fleet of about 130 gateways, the second
// one in a fleet of about 510. Smaller subsets would leave more slots unused, larger ones
// would leave the last gateways of the largest fleet without any.
constexpr std::uint64_t large_subset = 16;
constexpr std::uint64_t small_subset = 64;
constexpr std::uint32_t usual_subset_members = 8;
// A rate or a slack that is out of all proportion does not overflow.
constexpr double max_slots = 1e6;
// Entries of backend servers that are not cold any more are discarded beyond this number:
// several times the servers of the largest fleet.
constexpr std::size_t max_tracked_servers = 4'096;

std::uint64_t hash_of(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint32_t slot_count(const cold_bound& bound, double per_second)
{
    // 28 * 1.5 may be stored as slightly less than 42.
    constexpr double rounding_error = 1e-9;
    const double slots = per_second * bound.overage + bound.slack + rounding_error;
    return static_cast<std::uint32_t>(std::clamp(std::floor(slots), 0.0, max_slots));
}

} // namespace

std::uint32_t owned_cold_slots(std::uint64_t self,
                               std::span<const std::uint64_t> predecessors,
                               std::string_view backend, std::uint32_t bound)
{
    const auto subset_slots = (bound + 1) / subset_divisor;
    const std::array groups{slot_group(1, bound - 2 * subset_slots, usual_gateways),
                            slot_group(large_subset, subset_slots, usual_subset_members),
                            slot_group(small_subset, subset_slots, usual_subset_members)};
    const auto server = hash_of(backend);
    std::uint32_t owned = 0;
    for (const auto& group : groups)
    {
        const auto is_member = [&](std::uint64_t gateway) {
            const std::array key{group.divisor, server, gateway};
            return XXH3_64bits(key.data(), sizeof key) % group.divisor == 0;
        };
        if (is_member(self) &&
            std::count_if(predecessors.begin(), predecessors.end(), is_member) <
                static_cast<std::ptrdiff_t>(group.members))
        {
            owned += group.slots_per_member;
        }
    }
    return owned;
}

cold_allowance::cold_allowance(std::string_view gateway, time_point started)
    : self_(hash_of(gateway)), started_(started)
{
}

void cold_allowance::set_bound(const cold_bound& bound)
{
    bound_ = bound;
    for (auto& [id, it] : servers_)
    {
        it.per_second = 0; // the slots are counted again
    }
}

void cold_allowance::set_predecessors(std::span<const std::string> names)
{
    predecessors_.emplace(names.size());
    std::transform(names.begin(), names.end(), predecessors_->begin(), hash_of);
    set_bound(bound_);
}

void cold_allowance::forget_predecessors()
{
    predecessors_.reset();
    set_bound(bound_);
}

cold_allowance::server_slots& cold_allowance::slots_of(std::string_view backend,
                                                       double per_second, time_point now)
{
    const auto is_over = [now](time_point it) { return now - it >= cold_slot_interval; };
    auto found = servers_.find(backend);
    if (found == servers_.end())
    {
        if (servers_.size() >= max_tracked_servers)
        {
            std::erase_if(servers_, [&](const auto& entry) {
                const auto& sent = entry.second.sent;
                return sent.empty() || is_over(sent.back());
            });
        }
        found = servers_.emplace(std::string(backend), server_slots{}).first;
    }
    auto& it = found->second;
    if (it.per_second != per_second)
    {
        it.per_second = per_second;
        it.owned = predecessors_ ? owned_cold_slots(self_, *predecessors_, backend,
                                                    slot_count(bound_, per_second))
                                 : 0;
    }
    it.sent.erase(it.sent.begin(),
                  std::find_if_not(it.sent.begin(), it.sent.end(), is_over));
    return it;
}

bool cold_allowance::may_send(std::string_view backend, double per_second, time_point now)
{
    const auto& it = slots_of(backend, per_second, now);
    return now - started_ >= cold_slot_interval && it.sent.size() < it.owned;
}

std::optional<time_point> cold_allowance::next_allowed(std::string_view backend,
                                                       double per_second, time_point now)
{
    const auto& it = slots_of(backend, per_second, now);
    if (it.owned == 0)
    {
        return std::nullopt;
    }
    const auto slot_free = it.sent.size() < it.owned
                               ? now
                               : it.sent[it.sent.size() - it.owned] + cold_slot_interval;
    return std::max(slot_free, started_ + cold_slot_interval);
}

void cold_allowance::spend(std::string_view backend, double per_second, time_point now)
{
    slots_of(backend, per_second, now).sent.push_back(now);
}

} // namespace pistachiopost
