/// \file
/// Tracks the load that this gateway and its peers put on each backend server.
#pragma once

#include "process/crash_tracker.hpp"
#include "request/time_types.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Load of one backend server.
struct backend_load
{
    std::uint32_t requests = 0;        ///< In flight.
    std::uint32_t short_requests = 0;  ///< In flight, with a short prompt.
    std::uint64_t memory_tokens = 0;   ///< Memory used by prompts and their output.
    double prefill_ms = 0;             ///< Estimated remaining prefill time.
    double unconfirmed_prefill_ms = 0; ///< Prefill time without a first event yet.

    backend_load& operator+=(const backend_load& other);
    bool operator==(const backend_load&) const = default;
};

/// The load of one backend server as exchanged between gateways.
struct reported_load
{
    std::string backend;
    backend_load load;

    bool operator==(const reported_load&) const = default;
};

/// Message with which a gateway reports its load to its peers.
struct load_report_message
{
    std::string gateway;        ///< Name of the sender.
    std::uint64_t sequence = 0; ///< Increases with each message of one process.
    std::uint64_t boot = 0;     ///< Differs between processes of one gateway.
    std::vector<reported_load> loads;
    std::vector<crash_report> crashes;
};

/// Load by backend server. Not thread-safe: the dispatcher serializes access.
class load_tracker
{
public:
    /// Adds `work` to the load of a backend server.
    void add(std::string_view backend, const backend_load& work, time_point now);
    /// Removes the requests and the memory of `work`. Prefill time elapses by itself.
    void remove(std::string_view backend, const backend_load& work, time_point now);
    /// Records that the first event of `work` has arrived, so that its prefill is done.
    void prefill_done(std::string_view backend, const backend_load& work);
    /// Replaces the load reported by a peer; outdated messages are ignored.
    void apply_report(const load_report_message& message, time_point now);

    /// Returns the load that this gateway and all live peers put on a backend server.
    [[nodiscard]] backend_load total_load(std::string_view backend, time_point now) const;
    /// Returns the number of live gateways, including this one.
    [[nodiscard]] std::size_t live_gateways(time_point now) const;
    /// Returns the load that this gateway itself put on each backend server.
    [[nodiscard]] std::vector<reported_load> local_loads(time_point now) const;

private:
    struct timed_load
    {
        backend_load load;
        time_point updated;
    };
    struct peer_state
    {
        std::uint64_t boot = 0;
        std::uint64_t sequence = 0;
        time_point received_at;
        std::map<std::string, backend_load, std::less<>> loads;
    };

    std::map<std::string, timed_load, std::less<>> local_;
    std::map<std::string, peer_state, std::less<>> peers_;
};

} // namespace pistachiopost
