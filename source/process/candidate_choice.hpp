/// \file
/// Choices among the backend servers that may get work.
#pragma once

#include "process/placement.hpp"

#include <span>
#include <string_view>

namespace pistachiopost {

/// Returns whether a backend server runs fewer requests than it can at once. One that is
/// not trusted is tried with one request at a time.
inline bool has_free_slot(const placement_candidate& it)
{
    return it.load.requests < (it.healthy ? it.backend->slots : 1);
}

/// Returns the candidate with the lowest cost among those that `fits`; null if none does.
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
