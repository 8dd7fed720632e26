/// \file
/// Bounds retries to a share of traffic.
#pragma once

#include "request/time_types.hpp"

#include <mutex>

namespace pistachiopost {

/// A token bucket: each request earns a share of a retry, each retry spends one.
class retry_budget
{
public:
    /// `share` retries are earned per request; `reserve` retries a second are
    /// free, so that a quiet process can retry at all.
    retry_budget(double share, double reserve_per_second, time_point now);
    /// Counts a request that was not a retry.
    void earn(time_point now);
    /// Takes one retry from the budget; false if it is spent.
    bool try_spend(time_point now);

private:
    void refill(time_point now);

    std::mutex mutex_;
    double share_;
    double reserve_per_second_;
    double balance_;
    time_point refilled_;
};

} // namespace pistachiopost
