/// \file
/// Tracks which backend servers are eligible for requests: the platform's list combined
/// with passive health checks (outlier ejection) based on their responses.
#pragma once

#include "process/membership/backend_record.hpp"
#include "request/time_types.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// A backend server that requests may be sent to.
struct eligible_backend
{
    const backend_record* backend = nullptr;
    bool healthy = true; ///< Has responded successfully since its last failure.
};

/// The registry of one gateway. Not thread-safe: the dispatcher serializes access.
class backend_registry
{
public:
    /// Adds a backend server or updates its record.
    void upsert(const backend_record& record, time_point now);
    /// Handles the removal of a backend server from the list. During and shortly after an
    /// outage of the list's source the removal is delayed, so that the entry can
    /// reappear.
    void remove(std::string_view id, time_point now);
    /// Replaces the list; backend servers missing from `records` are removed as by
    /// remove().
    void replace_all(const std::vector<backend_record>& records, time_point now);
    /// Records that the list's source became unreachable or reachable again.
    void mark_source_unavailable(time_point now);
    void mark_source_available(time_point now);
    /// Removes backend servers whose grace period has expired.
    void remove_expired(time_point now);

    /// Records a failed attempt: ejects the backend server with exponential backoff and
    /// marks it unhealthy until its next successful response.
    void record_failure(std::string_view id, time_point now);
    /// Records an error response of the backend server. A single one may be caused by the
    /// request; several in a row count as a failed attempt.
    void record_error_response(std::string_view id, time_point now);
    /// Records a backend server that stopped responding: ejects it for a longer time.
    /// One that is ejected for a stall stays so for the time of the first report.
    void record_stall(std::string_view id, time_point now);
    /// Returns whether a backend server is ejected.
    [[nodiscard]] bool is_ejected(std::string_view id, time_point now) const;
    /// Removes a backend server whose address now belongs to another incarnation.
    void remove_reassigned(std::string_view id);
    /// Records that a backend server announced that it leaves: it is not eligible any
    /// more, whatever the list says, until its next incarnation. Returns whether this was
    /// not known yet.
    bool record_leaving(const backend_record& backend);
    /// Records that a backend server asked for no requests before `until`: it is not
    /// eligible before, unless its next incarnation starts. An earlier time than one
    /// known has no effect. Returns whether it had.
    bool record_backoff(const backend_record& backend, time_point until);
    /// Records a successful response and resets the failure counts.
    void record_success(std::string_view id);

    /// Withdraws an availability zone: its backend servers are not eligible until
    /// restore(). Returns whether it was in service.
    bool evacuate(std::string_view zone);
    /// Returns an availability zone to service; its backend servers are then assumed to
    /// be cold. Returns whether it was evacuated.
    bool restore(std::string_view zone, time_point now);
    [[nodiscard]] bool is_evacuated(std::string_view zone) const
    {
        return evacuated_zones_.contains(zone);
    }
    [[nodiscard]] const std::set<std::string, std::less<>>& evacuated_zones() const
    {
        return evacuated_zones_;
    }
    /// Returns the availability zones of all backend servers of a service.
    [[nodiscard]] std::vector<std::string> zones_of(std::string_view service) const;
    /// Records that the backend servers of an availability zone may be cold from `now`
    /// on, since they received no requests for some time.
    void assume_cold(std::string_view zone, time_point now);
    /// Returns since when a backend server is assumed to be cold; nothing if it never
    /// was.
    [[nodiscard]] std::optional<time_point> assumed_cold_at(std::string_view id) const;

    /// Returns the eligible backend servers of a service in an order that is the same at
    /// all gateways. If all are ejected, returns the ejected ones, but never
    /// those that leave, asked for backoff or are in an evacuated zone.
    [[nodiscard]] std::vector<eligible_backend> eligible(std::string_view service,
                                                         time_point now) const;
    /// Returns when the first backend server of a service that asked for backoff is
    /// eligible again; nothing if there is none.
    [[nodiscard]] std::optional<time_point> next_backoff_end(std::string_view service,
                                                             time_point now) const;
    /// Returns the backend server at `address`, or null if there is none.
    [[nodiscard]] const backend_record* find_by_address(std::string_view address) const;
    /// Returns the backend server `id`, or null if there is none.
    [[nodiscard]] const backend_record* find(std::string_view id) const;
    /// Returns the backend servers of all services in an availability zone.
    [[nodiscard]] std::vector<const backend_record*> in_zone(std::string_view zone) const;
    [[nodiscard]] std::size_t size() const { return backends_.size(); }

private:
    struct tracked_backend
    {
        backend_record record;
        std::uint64_t rank = 0; ///< Position in the common order.
        std::optional<time_point> removal_due;
        std::uint32_t consecutive_failures = 0;
        std::uint32_t consecutive_error_responses = 0;
        time_point ejected_until;
        bool announced_leaving = false;
        time_point backoff_until;
        std::optional<time_point> assumed_cold_at;
    };

    /// Returns the entry of this incarnation, or null if there is none.
    tracked_backend* find_incarnation(const backend_record& backend);

    std::map<std::string, tracked_backend, std::less<>> backends_;
    std::set<std::string, std::less<>> evacuated_zones_;
    std::optional<time_point> source_down_since_;
    std::optional<time_point> source_recovered_at_;
};

} // namespace pistachiopost
