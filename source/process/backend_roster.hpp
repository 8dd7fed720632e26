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
struct roster_entry
{
    const backend_record* backend = nullptr;
    bool trusted = true; ///< It answered since its last failure.
};

/// The roster. Not thread-safe: the dispatcher holds a lock.
class backend_roster
{
public:
    /// Adds a backend server or changes what is known of it.
    void put(const backend_record& record, time_point now);
    /// Says that the list lost a backend server. While the list's source was out lately,
    /// the backend server stays until it had time to come back.
    void lost(std::string_view id, time_point now);
    /// Replaces the whole list.
    void replace(const std::vector<backend_record>& records, time_point now);
    /// Says that the list's source cannot be reached, or answers again.
    void source_out(time_point now);
    void source_back(time_point now);
    /// Takes backend servers out whose time to come back is over.
    void sweep(time_point now);

    /// Counts a failed attempt: the backend server is avoided for a growing time, and is
    /// not trusted until it answers.
    void failed(std::string_view id, time_point now);
    /// Counts a failure that the backend server answered itself. One may be the request's
    /// fault; several in a row count as a failed attempt.
    void answered_failure(std::string_view id, time_point now);
    /// Counts a backend server whose silence held others up: it is avoided for long.
    void stalled(std::string_view id, time_point now);
    /// Says that another incarnation has the address.
    void moved(std::string_view id);
    /// Counts an answer: the backend server is no longer avoided.
    void answered(std::string_view id);

    /// Returns the backend servers of a service that may get work, in an order that is
    /// the same at all gateways. If all are avoided, returns these.
    [[nodiscard]] std::vector<roster_entry> usable(std::string_view service,
                                                   time_point now) const;
    /// Returns a backend server by its address; null if none is known there.
    [[nodiscard]] const backend_record* at_address(std::string_view address) const;
    [[nodiscard]] std::size_t size() const { return members_.size(); }

private:
    struct member
    {
        backend_record record;
        std::uint64_t rank = 0; ///< Place in the common order.
        std::optional<time_point> gone_at;
        std::uint32_t failures = 0;          ///< In a row.
        std::uint32_t answered_failures = 0; ///< In a row.
        time_point avoided_until;
    };

    std::map<std::string, member, std::less<>> members_;
    std::optional<time_point> out_since_;
    std::optional<time_point> back_at_;
};

} // namespace pistachiopost
