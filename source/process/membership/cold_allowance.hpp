/// \file
/// Decides whether this gateway may send one more request to a cold backend server.
///
/// Answers the load on a backend server that has just started: all gateways learn at
/// about the same time that it is free, and the sum of what they send must stay within
/// its bound although they cannot agree while it is cold. The bound is divided into
/// slots. A gateway derives the slots that it owns from the order in which the gateways
/// published their rows: only rows that precede its own can take one from it, and it
/// knows all of them. docs/design/cold-servers.md states why the sum holds.
#pragma once

#include "request/time_types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Limit of the platform on the requests that all gateways together send to one cold
/// backend server, relative to the rate that its service states.
struct cold_bound
{
    double overage = 1; ///< Multiple of the service's rate.
    double slack = 0;   ///< Additional requests in one second.

    bool operator==(const cold_bound&) const = default;
};

/// Time between two uses of one slot: one second, the time for which a placement may be
/// sent, the time for which a request may be under way, and 10 ms for clocks that run at
/// different rates.
inline constexpr milliseconds cold_slot_interval{1'300};
/// Time from the placement at a cold backend server until the request must be sent.
inline constexpr milliseconds cold_send_timeout{200};

/// Returns how many of the `bound` slots of `backend` belong to the gateway with the hash
/// `self`; `predecessors` are the hashes of the gateways whose rows precede its own.
std::uint32_t owned_cold_slots(std::uint64_t self,
                               std::span<const std::uint64_t> predecessors,
                               std::string_view backend, std::uint32_t bound);

/// The allowance of one gateway process. Not thread-safe: the dispatcher serializes
/// access.
class cold_allowance
{
public:
    /// `gateway` is the name of this gateway and `started` the start of this process.
    /// What the previous process of the gateway has sent is unknown, so that nothing is
    /// allowed in the first interval.
    explicit cold_allowance(std::string_view gateway, time_point started = {});

    void set_bound(const cold_bound& bound);
    /// Sets the names of the gateways whose rows precede the row of this one. Before the
    /// first call nothing is allowed.
    void set_predecessors(std::span<const std::string> names);
    /// Allows nothing until the next set_predecessors().
    void forget_predecessors();

    /// Returns whether a request may be sent to a cold backend server of a service with
    /// the rate `per_second`.
    [[nodiscard]] bool may_send(std::string_view backend, double per_second,
                                time_point now);
    /// Returns when a request may be sent next; nothing if this gateway owns no slot.
    [[nodiscard]] std::optional<time_point>
    next_allowed(std::string_view backend, double per_second, time_point now);
    /// Records a request. Without allowance it counts against later ones.
    void spend(std::string_view backend, double per_second, time_point now);

private:
    /// Slots of one backend server that this gateway owns.
    struct server_slots
    {
        double per_second = 0;
        std::uint32_t owned = 0;
        std::vector<time_point> sent; ///< Within the last interval, oldest first.
    };

    server_slots& slots_of(std::string_view backend, double per_second, time_point now);

    std::uint64_t self_;
    time_point started_;
    cold_bound bound_;
    std::optional<std::vector<std::uint64_t>> predecessors_;
    std::map<std::string, server_slots, std::less<>> servers_;
};

} // namespace pistachiopost
