/// \file
/// A request in the queue of a gateway.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/admission/admission_forecast.hpp"
#include "process/placement/placement.hpp"

#include <algorithm>
#include <optional>
#include <string_view>

namespace pistachiopost {

/// The forecast by which a queued request was rejected.
struct rejection_reason
{
    steady::duration start{0};  ///< Forecast wait from then on.
    steady::duration latest{0}; ///< Time that was left for the wait.
    steady::duration error{0};  ///< Allowed error of the forecast.
};

/// A request that waits for its placement. Owned by the task of the request.
class queued_request
{
public:
    /// wake() becomes readable once the request has its placement or is rejected, or when
    /// dispatcher::recheck_time() changes.
    queued_request(std::string_view customer, const placement_request& request,
                   time_point arrived, time_point target_deadline,
                   const caller_deadlines& deadlines);

    [[nodiscard]] const unique_fd& wake() const { return wake_; }

private:
    friend class dispatcher;

    [[nodiscard]] steady::duration target() const { return target_deadline_ - arrived_; }
    [[nodiscard]] time_point recheck_time() const
    {
        return std::min({latest_start_, backoff_end_.value_or(time_point::max()),
                         retry_at_.value_or(time_point::max())});
    }

    std::string_view customer_;
    const placement_request* request_;
    time_point arrived_;
    time_point target_deadline_; ///< Latency target; later answers are late.
    caller_deadlines deadlines_;
    time_point latest_start_; ///< A later start is in vain.
    std::optional<rejection_reason> rejected_;
    std::optional<steady::duration> forecast_wait_; ///< Forecast when it was queued.
    std::optional<placement> place_;
    /// When a backend server of its service that asked for backoff returns, or allowance
    /// for a cold one.
    std::optional<time_point> backoff_end_;
    /// When capacity may have become free by time alone. Set for the first request of
    /// each service; the others follow it.
    std::optional<time_point> retry_at_;
    bool excluded_ = false; ///< From all backend servers of its service.
    unique_fd wake_;
};

} // namespace pistachiopost
