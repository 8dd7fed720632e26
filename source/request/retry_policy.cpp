#include "request/retry_policy.hpp"

#include <algorithm>

namespace pistachiopost {

bool is_retryable(const request& req, const refusal& why)
{
    switch (why.reason)
    {
    case refusal_reason::bad_request:
    case refusal_reason::not_found:
    case refusal_reason::too_large:
    case refusal_reason::deadline_passed:
    case refusal_reason::poisonous:
    case refusal_reason::caller_gone:
        return false;
    default:
        break;
    }
    return req.repeatable || why.state == run_state::not_run;
}

bool is_redirect(const refusal& why)
{
    const bool rejected = why.reason == refusal_reason::draining ||
                          why.reason == refusal_reason::queue_full ||
                          why.reason == refusal_reason::deadline_too_short;
    return rejected && why.state == run_state::not_run;
}

milliseconds retry_delay(const retry_limits& limits, std::uint32_t next_attempt,
                         double jitter)
{
    const auto doublings = std::min(next_attempt - 2, 16U);
    const auto delay = std::min(limits.base_delay * (1U << doublings), limits.max_delay);
    const auto jittered = static_cast<double>(delay.count()) * (0.5 + jitter / 2);
    return milliseconds{static_cast<milliseconds::rep>(jittered)};
}

} // namespace pistachiopost
