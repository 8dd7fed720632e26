/// \file
/// Counts the backend servers that broke off while they ran a request, over all its
/// repeats and at all gateways. A request that keeps crashing backend servers is refused.
///
/// Unlike crash_registry it isolates nobody: a gateway sees too little of what else ran
/// at a backend server, and callers' repeats come to any gateway.
#pragma once

#include "request/time_types.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// One backend server that broke off while it ran a request.
struct crash_sighting
{
    std::uint64_t fingerprint = 0; ///< Of the request: path, customer and body.
    std::string backend;

    bool operator==(const crash_sighting&) const = default;
};

/// Returns the fingerprint of a request.
std::uint64_t fingerprint_of(std::string_view path, std::string_view customer,
                             std::string_view body);

/// The tally of one gateway. Thread-safe; bounded in size.
class crash_tally
{
public:
    /// Counts a sighting, from here or from a peer.
    void add(const crash_sighting& sighting, time_point now);
    /// Takes a request off: it ran to its end.
    void clear(std::uint64_t fingerprint);
    /// Returns whether the request is refused.
    [[nodiscard]] bool refuses(std::uint64_t fingerprint, time_point now) const;
    /// Returns the newest sightings, for the peers.
    [[nodiscard]] std::vector<crash_sighting> recent(time_point now) const;

private:
    struct record
    {
        std::map<std::string, time_point, std::less<>> backends;
    };

    void forget_old(time_point now);

    mutable std::mutex mutex_;
    std::map<std::uint64_t, record> requests_;
};

} // namespace pistachiopost
