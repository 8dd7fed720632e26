/// \file
/// Decides whether a failed attempt is retried.
#pragma once

#include "request/attempt.hpp"
#include "request/request.hpp"
#include "request/time_types.hpp"

#include <concepts>
#include <cstdint>

namespace pistachiopost {

/// A budget that limits retries, so that an outage does not multiply the load.
template <typename Budget>
concept retry_budget_like = requires(Budget& budget, time_point now)
{
    {
        budget.try_spend(now)
        } -> std::same_as<bool>;
};

/// Limits on the retries of one request.
struct retry_limits
{
    std::uint32_t max_attempts = 4;
    milliseconds base_delay{5}; ///< Delay before the second attempt, doubled each time.
    milliseconds max_delay{200};
};

/// Whether and when to retry after a failed attempt.
struct retry_decision
{
    bool retry = false;
    milliseconds delay{0};
};

/// Returns whether a request that failed with `why` may be retried. Considers neither
/// attempts, deadline nor budget.
bool is_retryable(const request& req, const refusal& why);

/// Returns the delay before attempt `next_attempt`: exponential backoff, of which half is
/// scaled by `jitter` in [0, 1).
milliseconds retry_delay(const retry_limits& limits, std::uint32_t next_attempt,
                         double jitter);

/// Returns whether a backend server rejected the request before doing any work. Trying
/// another one costs only a few headers, so it does not count against the budget.
bool is_redirect(const refusal& why);

/// Decides whether to retry `req` after `attempts_made` attempts, the last of which
/// failed with `why`.
template <retry_budget_like Budget>
retry_decision decide_retry(const request& req, const refusal& why,
                            const retry_limits& limits, std::uint32_t attempts_made,
                            Budget& budget, double jitter, time_point now)
{
    if (!is_retryable(req, why) || attempts_made >= limits.max_attempts)
    {
        return {};
    }
    const auto delay = retry_delay(limits, attempts_made + 1, jitter);
    if (now + delay >= req.deadline)
    {
        return {};
    }
    if (!is_redirect(why) && !budget.try_spend(now))
    {
        return {};
    }
    return {.retry = true, .delay = delay};
}

} // namespace pistachiopost
