/// \file
/// Choices among the backend servers that may get work.
#pragma once

#include "process/placement.hpp"

#include <span>
#include <string_view>

namespace pistachiopost {

/// Returns whether a backend server runs fewer requests than it can at once. One that is
/// not trusted is tried with one request at a time.
inline bool has_slot(const candidate& it)
{
    return it.load.requests < (it.healthy ? it.backend->slots : 1);
}

/// Returns the candidate with the lowest cost among those that `fits`; null if none does.
template <typename Fits, typename Cost>
const candidate* cheapest(std::span<const candidate> candidates, const Fits& fits,
                          const Cost& cost)
{
    const candidate* best = nullptr;
    double best_cost = 0;
    for (const auto& it : candidates)
    {
        if (!fits(it))
        {
            continue;
        }
        const double its_cost = cost(it);
        if (best == nullptr || its_cost < best_cost)
        {
            best = &it;
            best_cost = its_cost;
        }
    }
    return best;
}

} // namespace pistachiopost
