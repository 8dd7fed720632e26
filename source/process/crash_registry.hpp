/// \file
/// Remembers which requests were at backend servers that crashed.
///
/// Every request at a backend server when it dies becomes a suspect. Suspects
/// run again one at a time for each backend server; the one that is there when a
/// second backend server dies is convicted and refused everywhere. A request can
/// thus crash two backend servers and no more, as long as copies of it are not
/// already running elsewhere when the first one dies.
#pragma once

#include "process/load_report.hpp"
#include "request/time_types.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace pistachiopost {

/// How far a request is trusted.
enum class crash_status
{
    none,      ///< No crash is known.
    suspected, ///< Was at one crashed backend server: runs only in isolation.
    confirmed  ///< Refused.
};

/// The board of one process. Records spread over the links between processes.
class crash_registry
{
public:
    /// Adds a record; returns whether it was new and should spread further.
    bool add(const crash_record& record, time_point now);
    /// Clears a suspect that ran to its end in isolation.
    void clear(std::uint64_t fingerprint);
    /// Returns the verdict on a request.
    [[nodiscard]] crash_status status(std::uint64_t fingerprint, time_point now) const;
    /// Returns the number of requests on the board.
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
