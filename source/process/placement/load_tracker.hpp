/// \file
/// Tracks the load that this gateway and its peers put on each backend server.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/crash_news.hpp"
#include "process/membership/store_status.hpp"
#include "process/service_retry_budgets.hpp"
#include "request/time_types.hpp"

#include <cstdint>
#include <map>
#include <optional>
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

/// A kind of requests that wait for capacity.
struct waiting_work
{
    std::string service;
    bool long_prefill = false;
    std::uint32_t priority = 0;
    double prefill_ms = 0; ///< On one engine, of all these requests together.

    [[nodiscard]] bool same_kind(const waiting_work& other) const
    {
        return service == other.service && long_prefill == other.long_prefill;
    }
    bool operator==(const waiting_work&) const = default;
};

/// Message with which a gateway reports its load to its peers.
struct load_report_message
{
    std::string gateway;        ///< Name of the sender.
    std::string zone;           ///< Availability zone of the sender.
    double cores = 0;           ///< Processor share of the sender's VM.
    std::uint64_t sequence = 0; ///< Increases with each message of one process.
    std::uint64_t boot = 0;     ///< Differs between processes of one gateway.
    endpoint address;           ///< Of the sender; empty if it does not state it.
    bool forward = false;       ///< Its first recipient in another zone forwards it.
    /// The loads are those of all gateways on the backend servers of the zone, not those
    /// of the sender alone.
    bool is_digest = false;
    store_status store;
    std::vector<reported_load> loads;
    crash_news crashes;
    std::vector<retry_count> retries;  ///< Counts of the sender.
    std::vector<waiting_work> waiting; ///< Kinds of requests in the sender's queue.
};

/// Time after which waiting gateways get another turn at capacity that none took. A
/// placement is known to all peers within about half of it.
inline constexpr milliseconds turn_duration{60};

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
    /// Replaces the load reported by a peer, or the digest of its zone; outdated messages
    /// are ignored.
    void apply_report(const load_report_message& message, time_point now);

    /// Returns the load that this gateway and all live peers put on a backend server. In
    /// another zone it is at least that of the zone's digest.
    [[nodiscard]] backend_load total_load(std::string_view backend, time_point now) const;
    /// Returns the number of live gateways, including this one.
    [[nodiscard]] std::size_t live_gateways(time_point now) const;
    /// Returns the hashes of the names of live peers that wait for the same.
    [[nodiscard]] std::vector<std::uint64_t> rivals(const waiting_work& work,
                                                    time_point now) const;
    /// Returns the prefill time of the long prompts waiting at live peers that go before
    /// one of this priority: all more urgent ones and half of the equally urgent ones.
    [[nodiscard]] double waiting_prefill_ms(std::string_view service,
                                            std::uint32_t priority, time_point now) const;
    /// Returns when the first report that is still valid expires; nothing without
    /// reports.
    [[nodiscard]] std::optional<time_point> next_expiry(time_point now) const;
    /// Returns the number of turns since the reported load of a backend server changed.
    /// It is about the same at all gateways that receive the same reports.
    [[nodiscard]] std::uint64_t turn(std::string_view backend, time_point now) const;
    /// Records that the local loads are being reported by the gateway with this hash.
    void mark_reported(std::uint64_t self, time_point now);
    /// Returns whether the digest of a zone is current.
    [[nodiscard]] bool has_digest(std::string_view zone, time_point now) const;
    /// Returns the load that this gateway itself put on each backend server.
    [[nodiscard]] std::vector<reported_load> local_loads(time_point now) const;

private:
    struct timed_load
    {
        backend_load load;
        time_point updated;
    };
    /// The latest message of a peer, or the latest digest of a zone.
    struct report_state
    {
        std::string sender;
        std::uint64_t boot = 0;
        std::uint64_t sequence = 0;
        time_point received_at;
        bool is_digest = false;
        std::vector<waiting_work> waiting;
        std::vector<reported_load> loads;
    };
    struct reported_part
    {
        const report_state* report = nullptr;
        backend_load load;
    };
    /// What was reported of one backend server.
    struct backend_reports
    {
        std::vector<reported_part> parts;
        time_point changed_at; ///< When the reported load last changed.
    };

    void replace_parts(const report_state* report, std::uint64_t sender,
                       std::span<const reported_load> before,
                       std::span<const reported_load> after, time_point now);

    std::map<std::string, timed_load, std::less<>> local_;
    std::map<std::string, report_state, std::less<>> peers_;   ///< By gateway.
    std::map<std::string, report_state, std::less<>> digests_; ///< By zone.
    /// By backend server. Each request sums over the few peers that use a server, not
    /// over all peers.
    std::map<std::string, backend_reports, std::less<>> reported_;
    std::vector<reported_load> own_report_; ///< As last sent to the peers.
};

} // namespace pistachiopost
