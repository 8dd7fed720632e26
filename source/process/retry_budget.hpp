/// \file
/// Limits retries to a share of the requests.
#pragma once

#include "request/time_types.hpp"

#include <cstdint>
#include <mutex>

namespace pistachiopost {

/// A token bucket: each request adds `share` tokens, each retry takes one.
class retry_budget
{
public:
    /// `base_per_second` tokens are added regardless of traffic, so that a process with
    /// few requests can retry at all. The bucket holds at most `burst` tokens, which
    /// must cover the requests lost when one backend server fails.
    retry_budget(double share, double base_per_second, double burst, time_point now);
    /// Adds the share of `requests` that are not retries.
    void earn(time_point now, std::uint64_t requests = 1);
    /// Takes tokens for retries that others made, down to a balance of `-max_debt`.
    void charge(time_point now, std::uint64_t retries, double max_debt);
    /// Changes the rate and size of the bucket; a larger one fills over time.
    void set_rate(double base_per_second, double burst, time_point now);
    /// Takes one token; returns false if that leaves fewer than `reserve`.
    bool try_spend(time_point now, double reserve = 0);
    /// Returns whether try_spend() would take a token.
    bool can_spend(time_point now, double reserve = 0);

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
