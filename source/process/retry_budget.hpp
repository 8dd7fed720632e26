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
    /// `share` retries are earned per request; `base_per_second` are free, so
    /// that a quiet process can retry at all. At most `burst` are saved up, which
    /// must cover the requests that one dying backend server takes with it.
    retry_budget(double share, double base_per_second, double burst, time_point now);
    /// Counts a request that was not a retry.
    void earn(time_point now);
    /// Takes one retry from the budget; false if it is spent.
    bool try_spend(time_point now);

private:
    void refill(time_point now);

    std::mutex mutex_;
    double share_;
    double base_per_second_;
    double burst_;
    double balance_;
    time_point last_refill_;
};

} // namespace pistachiopost
