/// \file
/// An entry's view of the backend servers it may use.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/load_report.hpp"
#include "request/request.hpp"
#include "request/time_types.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// A backend server and its agent, as listed by the platform.
struct backend_server
{
    std::string vm;
    endpoint agent;
    std::string zone;
    std::string region;
    work_kind kind = work_kind::completion;
    std::string serves;   ///< Model or service name.
    bool leaving = false; ///< The platform is about to stop the VM.

    bool operator==(const backend_server&) const = default;
};

/// A backend server eligible for a request, as seen by a choice policy.
struct candidate
{
    std::string vm;
    bool same_zone = false;
    milliseconds expected_wait{0};   ///< Estimated time until prefill starts.
    std::uint32_t in_flight = 0;     ///< Running and queued on the server.
    double ramp = 1;                 ///< Share of normal load; below 1 after a start.
    milliseconds wait_penalty{0};    ///< Added to the wait for a less preferred server.
    std::uint64_t memory_tokens = 0; ///< Engine memory.
};

/// Thread-safe directory of backend servers, updated by links and read by the router.
class backend_directory
{
public:
    /// `zone` is the entry's own. `short_share` of the servers of each target are
    /// reserved for short prompts; longer prompts use them only if that saves much time.
    backend_directory(std::string_view zone, double short_share)
        : zone_(zone), short_share_(short_share)
    {
    }

    /// Replaces the platform's list. Servers missing from it stay while they are
    /// linked, because the list lags behind the state of the links.
    void set_list(std::span<const backend_server> list);
    /// Replaces the set of VMs drained by operators.
    void set_drained(const std::set<std::string, std::less<>>& drained);
    /// Records that the link to `vm` is up or down.
    void set_linked(std::string_view vm, bool up, time_point now);
    /// Records a load report from the agent on `vm`.
    void set_report(std::string_view vm, const load_report& report, time_point now);
    /// Counts an attempt sent to `vm`.
    void count_sent(std::string_view vm, std::uint64_t tokens, time_point now);
    /// Counts a failure of `vm`, which then backs off with exponentially growing delays.
    void count_failure(std::string_view vm, time_point now);
    /// Counts a complete answer from `vm`, which resets its backoff.
    void count_success(std::string_view vm);

    /// Returns the servers eligible for `req`, without those in `avoid`. Servers in
    /// backoff are returned only if there are no others.
    [[nodiscard]] std::vector<candidate> candidates(const request& req,
                                                    std::span<const std::string> avoid,
                                                    time_point now) const;
    /// Returns the servers on the platform's list.
    [[nodiscard]] std::vector<backend_server> listed() const;
    /// Returns the number of servers whose link is up.
    [[nodiscard]] std::size_t linked() const;

private:
    struct server_state
    {
        backend_server server;
        bool listed = true;
        bool reserved_for_short = false;
        bool linked = false;
        time_point linked_since;
        std::optional<load_report> report;
        double unreported_tokens = 0; ///< Sent since the last report and unfinished.
        time_point last_sent_at;

        std::uint32_t unreported_attempts = 0; ///< Sent since the last report.
        std::uint32_t failures = 0;            ///< Since the last complete answer.
        time_point backoff_until;
    };

    /// Estimates the work sent since the last report and not yet done, from the prefill
    /// rate.
    [[nodiscard]] static double pending_tokens(const server_state& it, time_point now);
    [[nodiscard]] bool may_serve(const server_state& it, const request& req,
                                 time_point now) const;
    [[nodiscard]] milliseconds wait_penalty_for(const server_state& it,
                                                const request& req) const;
    [[nodiscard]] candidate make_candidate(const server_state& it, const request& req,
                                           time_point now) const;
    server_state* find(std::string_view vm);
    void reserve_servers_for_short();

    std::string zone_;
    double short_share_;
    mutable std::mutex mutex_;
    std::map<std::string, server_state, std::less<>> servers_;
    std::set<std::string, std::less<>> drained_;
};

} // namespace pistachiopost
