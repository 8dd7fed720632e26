/// \file
/// State shared by the tasks of one entry process.
#pragma once

#include "process/backend_directory.hpp"
#include "process/crash_registry.hpp"
#include "process/metrics.hpp"
#include "process/retry_budget.hpp"
#include "process/settings.hpp"
#include "request/request_id.hpp"
#include "version/configuration_holder.hpp"

#include <atomic>
#include <string>

namespace pistachiopost {

/// The settings, configuration, backend directory and budgets of one entry.
struct entry_state
{
    entry_state(const entry_settings& from, time_point now)
        : settings(from), ids(from.self.vm), directory(from.self.zone, from.short_share),
          budget(from.retry_share, base_retries_per_second, max_saved_retries, now)
    {
    }

    /// Returns why the entry is not ready, or an empty string if it is.
    [[nodiscard]] std::string unready_reason() const
    {
        if (stopping)
        {
            return "stopping";
        }
        if (configurations.version() == 0)
        {
            return "no configuration yet";
        }
        return directory.linked() == 0 ? "no link to any agent" : "";
    }

    static constexpr double base_retries_per_second = 2;
    static constexpr double max_saved_retries = 64;

    entry_settings settings;
    request_id_source ids;
    configuration_holder configurations;
    backend_directory directory;
    crash_registry crashes;
    retry_budget budget;
    entry_metrics metrics;
    std::atomic<bool> stopping{false};
};

} // namespace pistachiopost
