/// \file
/// State shared by the tasks of a gateway.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/admission/dispatcher.hpp"
#include "process/crash_tracker.hpp"
#include "process/gateway_metrics.hpp"
#include "process/membership/gateway_directory.hpp"
#include "process/memory_budget.hpp"
#include "process/response_delay_estimator.hpp"
#include "process/service_retry_budgets.hpp"
#include "process/settings.hpp"
#include "version/route_table.hpp"
#include "version/version_holder.hpp"

#include <algorithm>
#include <atomic>

namespace pistachiopost {

/// Lives as long as the process.
struct gateway_state
{
    explicit gateway_state(const gateway_settings& it)
        : settings(it), dispatch(it.self.zone, it.self.vm, started_at, it.zone_regions),
          budgets(it.repeats),
          directory({it.self.vm, it.peers, it.self.zone, it.cores}, started_at),
          memory(budget_bytes(it.memory_bytes)), stop_fd(open_event_fd()),
          max_connections(it.max_connections), stop_grace(it.stop_grace)
    {
        dispatch.update_cold_allowance(
            started_at, [&](cold_allowance& cold) { cold.set_bound(it.cold); });
    }

    /// Applies the settings that may change at run time.
    void apply(const gateway_settings& it)
    {
        max_connections = it.max_connections;
        stop_grace = it.stop_grace;
        budgets.set_limits(it.repeats);
        dispatch.update_cold_allowance(
            steady::now(), [&](cold_allowance& cold) { cold.set_bound(it.cold); });
        set_min_log_level(it.self.min_log_level);
    }

    /// Returns the limit of the memory budget on a VM with `memory` bytes: five eighths
    /// of what the process does not need for itself. The rest is for what the allocator
    /// and the kernel hold beside the bytes counted.
    static constexpr std::uint64_t budget_bytes(std::uint64_t memory)
    {
        constexpr std::uint64_t process_bytes = 16U << 20U; // 11 MB without any request
        constexpr std::uint64_t parts = 8;
        constexpr std::uint64_t budget_parts = 5;
        return (memory - std::min(memory / 2, process_bytes)) / parts * budget_parts;
    }

    const gateway_settings& settings; ///< As read at startup.
    const time_point started_at = steady::now();
    version_holder<route_table> routes;
    dispatcher dispatch;
    service_retry_budgets budgets;
    response_delay_estimator response_delays;
    crash_tracker crashes;
    gateway_directory directory;
    gateway_metrics metrics;
    memory_budget memory;                  ///< For connections, requests and answers.
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
