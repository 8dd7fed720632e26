/// \file
/// Offers cold backend servers to placement as far as this gateway has an allowance for
/// them, and spends the allowance.
///
/// Answers the load of requests that could all go to servers that have just started: what
/// exceeds the allowance goes to other servers or waits as for any other capacity.
#pragma once

#include "process/membership/backend_registry.hpp"
#include "process/membership/cold_allowance.hpp"
#include "process/placement/placement.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace pistachiopost {

/// State of cold backend servers, for the metrics.
struct cold_counts
{
    std::size_t cold = 0;         ///< Cold backend servers.
    std::uint64_t placements = 0; ///< Parts of attempts placed at cold ones.
    std::uint64_t withheld = 0;   ///< Times that a cold one was not offered to a request.
};

/// Not thread-safe: the dispatcher serializes access.
class cold_admission
{
public:
    /// `gateway` is the name of this gateway and `started` the start of its process.
    explicit cold_admission(std::string_view gateway, time_point started)
        : allowance_(gateway, started)
    {
    }

    [[nodiscard]] cold_allowance& allowance() { return allowance_; }
    /// Returns how a backend server is offered to placement.
    [[nodiscard]] cold_state state_of(const eligible_backend& it, time_point now);
    /// Spends the allowance for all parts of a placement and sets when it must be sent.
    void charge(const backend_registry& registry, placement& place, time_point now);
    /// Returns when the requests that wait for a backend server of `service` must be
    /// served even if nothing wakes them: when a cold start ends or allowance returns.
    [[nodiscard]] std::optional<time_point> next_change(const backend_registry& registry,
                                                        std::string_view service,
                                                        time_point now);
    [[nodiscard]] cold_counts counts(const backend_registry& registry,
                                     time_point now) const;

private:
    bool charge_part(const backend_registry& registry, std::string_view backend,
                     time_point now);

    cold_allowance allowance_;
    std::uint64_t placements_ = 0;
    std::uint64_t withheld_ = 0;
};

/// Times at which waiting requests must be served even if nothing wakes them.
class recheck_times
{
public:
    recheck_times(const backend_registry& registry, cold_admission& cold, time_point now)
        : registry_(registry), cold_(cold), now_(now)
    {
    }

    /// Returns the time for the next waiting request for `service`: when a backend server
    /// returns from its backoff. The first one also waits for cold backend servers, and
    /// serves the queue for all, so that not all are woken each time a slot is used.
    std::optional<time_point> next(std::string_view service);

private:
    const backend_registry& registry_;
    cold_admission& cold_;
    time_point now_;
    std::map<std::string_view, std::optional<time_point>> backoff_ends_;
};

} // namespace pistachiopost
