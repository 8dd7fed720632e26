/// \file
/// Selection among placement candidates.
#pragma once

#include "process/placement/placement.hpp"
#include "process/placement/slot_contention.hpp"

#include <span>
#include <string_view>

namespace pistachiopost {

/// Returns whether a backend server has a free request slot. An unhealthy one is probed
/// with one request at a time. One that is withheld has none, but remains in its pool.
inline bool has_free_slot(const placement_candidate& it)
{
    return it.start != cold_state::withheld &&
           it.load.requests < (it.healthy ? it.backend->slots : 1);
}

/// Returns the candidate with the lowest cost among those that satisfy `fits`; null if
/// there is none.
template <typename Fits, typename Cost>
const placement_candidate*
min_cost_candidate(std::span<const placement_candidate> candidates, const Fits& fits,
                   const Cost& cost)
{
    const placement_candidate* best = nullptr;
    double best_cost = 0;
    for (const auto& it : candidates)
    {
        if (!fits(it))
        {
            continue;
        }
        const double candidate_cost = cost(it);
        if (best == nullptr || candidate_cost < best_cost)
        {
            best = &it;
            best_cost = candidate_cost;
        }
    }
    return best;
}

/// Like min_cost_candidate(), but selects by `spread` among the candidates whose cost
/// exceeds the lowest by at most `tolerance`. Gateways that place requests at the same
/// time, before they hear of each other, thus choose different ones.
template <typename Fits, typename Cost>
const placement_candidate*
spread_candidate(std::span<const placement_candidate> candidates, const Fits& fits,
                 const Cost& cost, double tolerance, std::uint64_t spread)
{
    const auto* best = min_cost_candidate(candidates, fits, cost);
    if (best == nullptr)
    {
        return nullptr;
    }
    const double limit = cost(*best) + tolerance;
    return min_cost_candidate(
        candidates,
        [&](const placement_candidate& it) { return fits(it) && cost(it) <= limit; },
        [&](const placement_candidate& it) {
            return static_cast<double>(spread ^ contention_hash(it.backend->id));
        });
}

} // namespace pistachiopost
