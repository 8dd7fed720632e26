/// \file
/// Registry of requests that were running on backend servers when they crashed.
///
/// Every request running on a backend server when it crashes becomes suspected.
/// Suspected requests are retried in isolation, one at a time per backend server. If
/// a second server crashes meanwhile, the isolated request is confirmed as poisonous and
/// refused everywhere. A request can thus crash at most two backend servers, unless
/// copies of it are already running on others at the first crash.
#pragma once

#include "process/load_report.hpp"
#include "request/time_types.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace pistachiopost {

/// Crash history of a request.
enum class crash_status
{
    none,      ///< No known crash.
    suspected, ///< Ran on a backend server that crashed; runs only in isolation.
    confirmed  ///< Crashed a backend server in isolation; refused.
};

/// Thread-safe registry of one process. Links replicate its records to other processes.
class crash_registry
{
public:
    /// Adds a record; returns whether it was new and should be replicated.
    bool add(const crash_record& record, time_point now);
    /// Clears a suspected request that completed in isolation.
    void clear(std::uint64_t fingerprint);
    /// Returns the status of a request.
    [[nodiscard]] crash_status status(std::uint64_t fingerprint, time_point now) const;
    /// Returns the number of recorded requests.
    [[nodiscard]] std::size_t size() const;

private:
    struct evidence
    {
        bool confirmed = false;
        time_point added;
    };

    void evict_expired(time_point now);

    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, evidence> requests_;
};

} // namespace pistachiopost
