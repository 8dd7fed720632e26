/// \file
/// Counts, per request, the backend servers that dropped the connection while running it,
/// over all retries and all gateways. A request that keeps crashing them is blocked.
///
/// Unlike crash_registry it does not run suspected requests in isolation: a gateway does
/// not know what else ran at the backend server, and retries of callers may reach any
/// gateway.
#pragma once

#include "request/time_types.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// A backend server that dropped the connection while it ran a request.
struct crash_report
{
    std::uint64_t fingerprint = 0; ///< Of the request: path, customer and body.
    std::string backend;

    bool operator==(const crash_report&) const = default;
};

/// Returns a hash that identifies a request across retries and gateways.
std::uint64_t request_fingerprint(std::string_view path, std::string_view customer,
                                  std::string_view body);

/// The crash reports known to one gateway. Thread-safe; bounded in size.
class crash_tracker
{
public:
    /// Adds a report of this gateway or of a peer.
    void add(const crash_report& report, time_point now);
    /// Discards the reports on a request that has completed successfully.
    void clear(std::uint64_t fingerprint);
    /// Returns whether the request has crashed too many backend servers.
    [[nodiscard]] bool is_blocked(std::uint64_t fingerprint, time_point now) const;
    /// Returns the reports that are still to be sent to peers.
    [[nodiscard]] std::vector<crash_report> recent(time_point now) const;

private:
    struct request_crashes
    {
        std::map<std::string, time_point, std::less<>> backends;
    };

    void remove_expired(time_point now);

    mutable std::mutex mutex_;
    std::map<std::uint64_t, request_crashes> requests_;
};

} // namespace pistachiopost
