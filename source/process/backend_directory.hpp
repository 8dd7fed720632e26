/// \file
/// What an entry knows of the backend servers it may use.
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

/// A backend server and its agent, as the platform lists them.
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

/// A backend server that may take a request now, as a choice policy sees it.
struct candidate
{
    std::string vm;
    bool same_zone = false;
    milliseconds expected_wait{0};   ///< Until the first token, by the last report.
    std::uint32_t in_flight = 0;     ///< Running and queued there.
    double ramp = 1;                 ///< Share of normal load, below 1 after a start.
    milliseconds wait_penalty{0};    ///< Wait elsewhere that would still be better.
    std::uint64_t memory_tokens = 0; ///< Memory of the engine.
};

/// Thread-safe record of backend servers. Links report into it; choices read it.
class backend_directory
{
public:
    /// `zone` is the entry's own. `short_share` of the servers of each target are
    /// kept for short prompts; others use them only when that saves much time.
    backend_directory(std::string_view zone, double short_share)
        : zone_(zone), short_share_(short_share)
    {
    }

    /// Replaces the platform's list. Servers that are gone from it but still
    /// linked stay, because the list lags behind our own observation.
    void set_list(std::span<const backend_server> list);
    /// Replaces the set of VMs that operators drain.
    void set_drained(const std::set<std::string, std::less<>>& drained);
    /// Says that the link to `vm` is up or down.
    void set_linked(std::string_view vm, bool up, time_point now);
    /// Records a report of the agent on `vm`.
    void set_report(std::string_view vm, const load_report& report, time_point now);
    /// Counts an attempt sent to `vm`.
    void count_sent(std::string_view vm, std::uint64_t tokens, time_point now);
    /// Counts a failure of `vm`, which is avoided for a while.
    void count_failure(std::string_view vm, time_point now);
    /// Counts a whole answer of `vm`.
    void count_success(std::string_view vm);

    /// Returns the servers that may take a request for `target` now, without
    /// those in `avoid`.
    [[nodiscard]] std::vector<candidate> candidates(const request& req,
                                                    std::span<const std::string> avoid,
                                                    time_point now) const;
    /// Returns the servers on the platform's list that are not leaving.
    [[nodiscard]] std::vector<backend_server> listed() const;
    /// Returns the number of servers with a link that is up.
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
        double unreported_tokens = 0; ///< Sent since the last report, less what is done.
        time_point last_sent_at;

        std::uint32_t unreported_attempts = 0; ///< Sent since the last report.
        std::uint32_t failures = 0;            ///< Since the last whole answer.
        time_point backoff_until;
    };

    /// Work sent since the last report and not yet done, by the measured rate.
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
