/// \file
/// Selection among placement candidates.
#pragma once

#include "process/placement.hpp"

#include <span>
#include <string_view>

namespace pistachiopost {

/// Returns whether a backend server has a free request slot. An unhealthy one is probed
/// with one request at a time.
inline bool has_free_slot(const placement_candidate& it)
{
    return it.load.requests < (it.healthy ? it.backend->slots : 1);
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

} // namespace pistachiopost
