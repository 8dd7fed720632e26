/// \file
/// Retry budgets of the services, shared by all gateways.
#pragma once

#include "process/retry_budget.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Limit on the retries sent to one service by all gateways together.
struct repeat_limits
{
    double ratio = 0.2; ///< Retries per request.
    double slack = 100; ///< Additional retries per window.
    milliseconds window{10'000};

    bool operator==(const repeat_limits&) const = default;
};

/// Requests and retries of one service that a gateway has counted since its start.
struct retry_count
{
    std::string service;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;

    bool operator==(const retry_count&) const = default;
};

/// The share of the limit that this gateway and the live gateways of its cell have
/// together, for each service. Gateways report what they use of it; with a share of its
/// own, each of a hundred would often have less than one retry. Thread-safe.
class service_retry_budgets
{
public:
    explicit service_retry_budgets(const repeat_limits& limits) : limits_(limits) {}

    /// Sets the number of gateways that share the limit. The number never decreases,
    /// because an unreachable gateway may still send retries.
    void set_gateway_count(std::size_t gateways, time_point now);
    /// Sets the number of gateways of the cell, including this one, that report what they
    /// use. A gateway that hears no others is left with its own share.
    void set_live_gateways(std::size_t gateways, time_point now);
    /// Returns the counts to report to the other gateways of the cell. The retries so
    /// far then count as reported.
    [[nodiscard]] std::vector<retry_count> take_counts();
    /// Applies the counts that a gateway of the cell reported. `boot` differs between
    /// its processes.
    void apply_counts(std::string_view gateway, std::uint64_t boot,
                      std::span<const retry_count> counts, time_point now);
    /// Applies changed limits and resets the accumulated budgets.
    void set_limits(const repeat_limits& limits);
    /// Credits the budget of a service for one request.
    void earn(std::string_view service, time_point now);
    /// Spends one retry; returns false if this gateway's share is exhausted.
    bool try_spend(std::string_view service, time_point now);
    /// Returns whether try_spend() would spend one.
    [[nodiscard]] bool can_spend(std::string_view service, time_point now);

private:
    // Minimum number of gateways that the slack is divided among: the entry VMs of
    // current deployments and a spare one.
    static constexpr std::size_t min_gateways = 4;

    /// Counts of a peer as of its last report, by service.
    struct peer_counts
    {
        std::uint64_t boot = 0;
        std::map<std::string, retry_count, std::less<>> services;
    };

    [[nodiscard]] double shared_slack() const;
    void apply_rates(time_point now);
    retry_budget& budget_for(std::string_view service, time_point now);
    retry_count& own_count(std::string_view service);
    [[nodiscard]] double reserve_for_others(std::string_view service) const;

    mutable std::mutex mutex_;
    repeat_limits limits_;
    std::size_t gateways_ = min_gateways;
    std::size_t live_gateways_ = 1; ///< In the cell.
    std::map<std::string, retry_count, std::less<>> own_counts_;
    std::map<std::string, std::uint64_t, std::less<>> unreported_retries_;
    std::map<std::string, peer_counts, std::less<>> peers_;
    std::map<std::string, retry_budget, std::less<>> budgets_;
};

} // namespace pistachiopost
