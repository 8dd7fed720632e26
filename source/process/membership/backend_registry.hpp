/// \file
/// Tracks which backend servers are eligible for requests: the platform's list combined
/// with passive health checks (outlier ejection) based on their responses.
#pragma once

#include "process/membership/backend_record.hpp"
#include "request/time_types.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Cold start of a service's backend servers.
struct cold_service
{
    milliseconds duration{0}; ///< For which a server is cold after its start.
    double per_second = 0;    ///< Requests that it tolerates meanwhile.
};

/// A backend server that is cold.
struct cold_backend
{
    const backend_record* backend = nullptr;
    time_point until;
    double per_second = 0; ///< Requests that it tolerates meanwhile.
};

/// A backend server that has turned cold or warm.
struct cold_change
{
    std::string backend;
    std::string service;
    milliseconds remaining{0}; ///< 0 if it is warm now.
};

/// A backend server that requests may be sent to.
struct eligible_backend
{
    const backend_record* backend = nullptr;
    bool healthy = true;        ///< Has responded successfully since its last failure.
    double cold_per_second = 0; ///< Requests that it tolerates while cold; 0 if warm.
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
    /// Replaces the list by one from an older copy of its source: what was known stands
    /// where the copy is behind it. Backend servers that it lacks get time to reappear,
    /// one that left stays out until its next incarnation, and one that was removed until
    /// its row is written again or has stayed for a while.
    void reconcile(const std::vector<backend_record>& records, time_point now);
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
    /// Sets the services whose backend servers have a cold start.
    void set_cold_services(std::map<std::string, cold_service, std::less<>> services);
    /// Records that a backend server stated that it is cold until `until`. An earlier
    /// time than one known has no effect. Returns whether it was not known as cold.
    bool record_cold(const backend_record& backend, time_point until, time_point now);
    /// Counts all backend servers of an availability zone whose services have a cold
    /// start as cold from `now`.
    void assume_cold(std::string_view zone, time_point now);
    /// Records a successful response and resets the failure counts.
    void record_success(std::string_view id);

    /// Keeps zones evacuated whose rows an older copy lacks, until these are written
    /// again or had time for it.
    void hold_evacuations(std::span<const std::string> zones, time_point now);
    /// Returns to service the zones whose rows were not written again in time; returns
    /// these zones.
    std::vector<std::string> end_held_evacuations(time_point now);

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

    /// Returns the eligible backend servers of a service in an order that is the same at
    /// all gateways. If all are ejected, returns the ejected ones, but never
    /// those that leave, asked for backoff or are in an evacuated zone.
    [[nodiscard]] std::vector<eligible_backend> eligible(std::string_view service,
                                                         time_point now) const;
    /// Returns when the first backend server of a service that asked for backoff is
    /// eligible again; nothing if there is none.
    [[nodiscard]] std::optional<time_point> next_backoff_end(std::string_view service,
                                                             time_point now) const;
    /// Returns the backend server `id` as a cold one; nothing if it is not cold.
    [[nodiscard]] std::optional<cold_backend> find_cold(std::string_view id,
                                                        time_point now) const;
    /// Returns the cold backend servers of a service, or of all if `service` is empty.
    [[nodiscard]] std::vector<cold_backend> cold_backends(std::string_view service,
                                                          time_point now) const;
    /// Returns the backend servers that have turned cold or warm since the last call.
    std::vector<cold_change> take_cold_changes(time_point now);
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
        time_point cold_until;
        time_point withheld_until;  ///< Removed before; only an older copy lists it.
        bool reported_cold = false; ///< By take_cold_changes().
    };

    /// A backend server that was removed from the list.
    struct removed_backend
    {
        std::int64_t start_time_ms = 0;
        store_version row_version;
        time_point removed_at;
    };

    void remove_unlisted(const std::set<std::string, std::less<>>& listed,
                         time_point now);
    void record_removal(const backend_record& backend, time_point now);
    /// Returns whether a row of an older copy may be from before the removal of its
    /// backend server.
    [[nodiscard]] bool precedes_removal(const backend_record& record) const;
    /// Returns the rate that a backend server tolerates while it is cold, 0 if it is
    /// warm.
    [[nodiscard]] double cold_rate(const tracked_backend& it, time_point now) const;
    void extend_cold(tracked_backend& it, time_point until);
    /// Returns the entry of this incarnation, or null if there is none.
    tracked_backend* find_incarnation(const backend_record& backend);

    std::map<std::string, tracked_backend, std::less<>> backends_;
    std::map<std::string, removed_backend, std::less<>> removed_;
    std::set<std::string, std::less<>> evacuated_zones_;
    /// Evacuated zones without a row, and until when they are kept so.
    std::map<std::string, time_point, std::less<>> held_evacuations_;
    std::map<std::string, cold_service, std::less<>> cold_services_;
    time_point last_cold_end_; ///< From then on no backend server is cold.
    std::optional<time_point> source_down_since_;
    std::optional<time_point> source_recovered_at_;
};

} // namespace pistachiopost
