/// \file
/// What the tasks of a gateway share.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/answer_delays.hpp"
#include "process/crash_tally.hpp"
#include "process/dispatcher.hpp"
#include "process/gateway_metrics.hpp"
#include "process/service_budgets.hpp"
#include "process/settings.hpp"
#include "version/route_table.hpp"
#include "version/version_holder.hpp"

#include <atomic>

namespace pistachiopost {

/// Lives as long as the process.
struct gateway_state
{
    explicit gateway_state(const gateway_settings& it)
        : settings(it), work(it.self.zone), budgets(it.repeats), stop_fd(open_event_fd()),
          max_connections(it.max_connections), stop_grace(it.stop_grace)
    {
    }

    /// Puts the settings in force that may change while the process runs.
    void apply(const gateway_settings& it)
    {
        max_connections = it.max_connections;
        stop_grace = it.stop_grace;
        budgets.change_limits(it.repeats);
        set_min_log_level(it.self.min_log_level);
    }

    const gateway_settings& settings; ///< As at the start.
    version_holder<route_table> routes;
    dispatcher work;
    service_budgets budgets;
    answer_delays delays;
    crash_tally crashes;
    gateway_metrics metrics;
    unique_fd stop_fd;                  ///< Readable once idle connections are to close.
    std::atomic<bool> stopping = false; ///< A stop signal has arrived.
    std::atomic<bool> knows_backends = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::uint32_t> max_connections; ///< Callers' connections at once.
    std::atomic<milliseconds> stop_grace;       ///< From the stop signal to the kill.

    /// Returns whether new connections are welcome.
    [[nodiscard]] bool ready() const
    {
        return !stopping && knows_backends && routes.version() != 0;
    }
};

} // namespace pistachiopost
