/// \file
/// What this gateway and its peers have in flight at each backend server.
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

/// Work at one backend server.
struct backend_load
{
    std::uint32_t requests = 0;       ///< In flight.
    std::uint32_t short_requests = 0; ///< Those of them with a short prompt.
    std::uint64_t memory_tokens = 0;  ///< Held by prompts and their answers.
    double prefill_ms = 0;            ///< Prompt reading not yet done, by estimate.
    double unconfirmed_prefill_ms =
        0; ///< Prompt reading whose first event was not yet seen.

    backend_load& operator+=(const backend_load& other);
    bool operator==(const backend_load&) const = default;
};

/// The load of one backend server, as sent between gateways.
struct reported_load
{
    std::string backend;
    backend_load load;

    bool operator==(const reported_load&) const = default;
};

/// What one gateway tells the others.
struct load_report_message
{
    std::string gateway;        ///< Name of the sender.
    std::uint64_t sequence = 0; ///< Grows with each message of one process.
    std::uint64_t boot = 0;     ///< Differs between processes of one gateway.
    std::vector<reported_load> loads;
    std::vector<crash_report> crashes;
};

/// The account. Not thread-safe: the dispatcher holds a lock.
class load_tracker
{
public:
    /// Adds work at a backend server.
    void add(std::string_view backend, const backend_load& work, time_point now);
    /// Takes the request and its memory off again. Reading goes down with time.
    void remove(std::string_view backend, const backend_load& work, time_point now);
    /// Says that the first event of this work was seen: its reading is done.
    void prefill_done(std::string_view backend, const backend_load& work);
    /// Takes over what a peer reports; older messages than the last are dropped.
    void apply_report(const load_report_message& message, time_point now);

    /// Returns the load of a backend server, from here and from all peers heard lately.
    [[nodiscard]] backend_load total_load(std::string_view backend, time_point now) const;
    /// Returns the number of gateways heard lately, this one included.
    [[nodiscard]] std::size_t live_gateways(time_point now) const;
    /// Returns this gateway's own part, for its peers.
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
