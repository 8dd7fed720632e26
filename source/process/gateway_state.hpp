/// \file
/// State shared by the tasks of a gateway.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/admission/dispatcher.hpp"
#include "process/byte_budget.hpp"
#include "process/crash_tracker.hpp"
#include "process/gateway_metrics.hpp"
#include "process/membership/gateway_directory.hpp"
#include "process/response_delay_estimator.hpp"
#include "process/service_retry_budgets.hpp"
#include "process/settings.hpp"
#include "version/route_table.hpp"
#include "version/version_holder.hpp"

#include <atomic>

namespace pistachiopost {

/// Lives as long as the process.
struct gateway_state
{
    explicit gateway_state(const gateway_settings& it)
        : settings(it), dispatch(it.self.zone, it.self.vm, it.zone_regions),
          budgets(it.repeats),
          directory({it.self.vm, it.peers, it.self.zone, it.cores}, started_at),
          answer_bytes(it.memory_bytes / answer_memory_divisor), stop_fd(open_event_fd()),
          max_connections(it.max_connections), stop_grace(it.stop_grace)
    {
    }

    /// Applies the settings that may change at run time.
    void apply(const gateway_settings& it)
    {
        max_connections = it.max_connections;
        stop_grace = it.stop_grace;
        budgets.set_limits(it.repeats);
        set_min_log_level(it.self.min_log_level);
    }

    // Answers that are held back take at most this part of the memory of the VM.
    static constexpr std::uint64_t answer_memory_divisor = 4;

    const gateway_settings& settings; ///< As read at startup.
    const time_point started_at = steady::now();
    version_holder<route_table> routes;
    dispatcher dispatch;
    service_retry_budgets budgets;
    response_delay_estimator response_delays;
    crash_tracker crashes;
    gateway_directory directory;
    gateway_metrics metrics;
    byte_budget answer_bytes;              ///< Parts of answers held by all requests.
    unique_fd stop_fd;                     ///< Readable once idle connections must close.
    unique_fd ending_fd = open_event_fd(); ///< Readable shortly before the process ends.
    std::atomic<bool> stopping = false;    ///< A stop signal was received.
    std::atomic<bool> queue_closed = false; ///< The process ends before a queued one ran.
    /// From then on requests are refused.
    std::atomic<time_point> admission_ends_at = time_point::max();
    /// From then on running calls are answered with an error.
    std::atomic<time_point> answers_end_at = time_point::max();
    std::atomic<bool> backends_loaded = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::uint32_t> max_connections; ///< Limit on caller connections.
    std::atomic<milliseconds> stop_grace; ///< Time from the stop signal to the kill.

    /// Refuses requests that wait for a placement, now and from now on.
    void close_queue()
    {
        queue_closed = true;
        dispatch.wake_queued();
    }

    /// Returns whether the gateway is ready for new connections.
    [[nodiscard]] bool ready() const
    {
        return !stopping && backends_loaded && routes.version() != 0;
    }
};

} // namespace pistachiopost
