/// \file
/// Which backend servers may get work: the platform's list weighed with what their
/// own answers show.
#pragma once

#include "process/backend_record.hpp"
#include "request/time_types.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// A backend server that may get work.
struct eligible_backend
{
    const backend_record* backend = nullptr;
    bool healthy = true; ///< It answered since its last failure.
};

/// The roster. Not thread-safe: the dispatcher holds a lock.
class backend_registry
{
public:
    /// Adds a backend server or changes what is known of it.
    void upsert(const backend_record& record, time_point now);
    /// Says that the list lost a backend server. While the list's source was out lately,
    /// the backend server stays until it had time to come back.
    void remove(std::string_view id, time_point now);
    /// Replaces the whole list.
    void replace_all(const std::vector<backend_record>& records, time_point now);
    /// Says that the list's source cannot be reached, or answers again.
    void mark_source_unavailable(time_point now);
    void mark_source_available(time_point now);
    /// Takes backend servers out whose time to come back is over.
    void remove_expired(time_point now);

    /// Counts a failed attempt: the backend server is avoided for a growing time, and is
    /// not trusted until it answers.
    void record_failure(std::string_view id, time_point now);
    /// Counts a failure that the backend server answered itself. One may be the request's
    /// fault; several in a row count as a failed attempt.
    void record_error_response(std::string_view id, time_point now);
    /// Counts a backend server whose silence held others up: it is avoided for long.
    void record_stall(std::string_view id, time_point now);
    /// Says that another incarnation has the address.
    void remove_reassigned(std::string_view id);
    /// Counts an answer: the backend server is no longer avoided.
    void record_success(std::string_view id);

    /// Returns the backend servers of a service that may get work, in an order that is
    /// the same at all gateways. If all are avoided, returns these.
    [[nodiscard]] std::vector<eligible_backend> eligible(std::string_view service,
                                                         time_point now) const;
    /// Returns a backend server by its address; null if none is known there.
    [[nodiscard]] const backend_record* find_by_address(std::string_view address) const;
    [[nodiscard]] std::size_t size() const { return backends_.size(); }

private:
    struct tracked_backend
    {
        backend_record record;
        std::uint64_t rank = 0; ///< Place in the common order.
        std::optional<time_point> removal_due;
        std::uint32_t consecutive_failures = 0;        ///< In a row.
        std::uint32_t consecutive_error_responses = 0; ///< In a row.
        time_point ejected_until;
    };

    std::map<std::string, tracked_backend, std::less<>> backends_;
    std::optional<time_point> source_down_since_;
    std::optional<time_point> source_recovered_at_;
};

} // namespace pistachiopost
