/// \file
/// Membership of the fleet of gateways: who receives load reports, and which gateways
/// watch the store on behalf of their availability zone.
///
/// Small fleets exchange load reports in a full mesh. In larger ones the gateways of an
/// availability zone form a cell: reports stay within it, and one gateway sends a digest
/// of the cell's load to the other zones. The cost of a gateway thus follows the size of
/// its cell.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/membership/store_status.hpp"
#include "request/time_types.hpp"

#include <array>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// A gateway as published in the store.
struct gateway_record
{
    std::string name;
    endpoint address; ///< UDP for reports, TCP for relayed tables.
    std::string zone;
    double cores = 0; ///< Share of a processor core that its VM provides.

    bool operator==(const gateway_record&) const = default;
};

/// A gateway that is to receive a report.
struct report_receiver
{
    endpoint address;
    std::string zone;
    bool live = false; ///< Was heard lately.
};

/// Fleets of up to this many gateways exchange reports in a full mesh.
inline constexpr std::size_t max_full_mesh_gateways = 32;

/// Thread-safe directory of all gateways.
class gateway_directory
{
public:
    gateway_directory(gateway_record self, time_point now)
        : self_(std::move(self)), started_at_(now)
    {
    }

    /// Adds the gateways published in the store.
    void add_published(std::span<const gateway_record> gateways, time_point now);
    /// Records a message of another gateway; returns whether that gateway is new or was
    /// silent before.
    bool record_message(const gateway_record& sender, const store_status& status,
                        time_point now);

    /// Returns whether the published gateways have been added.
    [[nodiscard]] bool is_complete() const;
    /// Returns whether the fleet is divided into cells.
    [[nodiscard]] bool has_cells() const;
    /// Returns whether gateways of `zone` are in the cell of this one.
    [[nodiscard]] bool shares_cell(std::string_view zone) const;
    /// Returns the receivers of a load report: the cell and the gateways of `zones`.
    [[nodiscard]] std::vector<report_receiver>
    report_receivers(const std::set<std::string, std::less<>>& zones,
                     time_point now) const;
    /// Returns all other gateways, including those that are silent.
    [[nodiscard]] std::vector<endpoint> all_others() const;
    /// Returns the receivers of this gateway's digest: the gateways outside the cell, or
    /// nobody if another gateway sends it.
    [[nodiscard]] std::vector<report_receiver> digest_receivers(time_point now) const;
    /// Returns the other gateways of this zone, to which reports of other zones are
    /// forwarded.
    [[nodiscard]] std::vector<endpoint> zone_peers(time_point now) const;
    /// Returns the number of gateways, including this one.
    [[nodiscard]] std::size_t size() const;
    /// Returns the number of live gateways of the cell, including this one.
    [[nodiscard]] std::size_t live_in_cell(time_point now) const;
    [[nodiscard]] const gateway_record& self() const { return self_; }

    /// Returns whether this gateway should watch the store itself.
    [[nodiscard]] bool should_watch_store(time_point now) const;
    /// Returns whether this gateway may call the store although it is not to watch it.
    /// After a failed call it waits, so that not the whole fleet calls a failing store.
    [[nodiscard]] bool may_call_store(time_point now) const;
    /// Returns whether a gateway that is to watch the store for this zone may still
    /// announce itself after the start.
    [[nodiscard]] bool may_gain_relay(time_point now) const;
    /// Blocks until another gateway has sent a message or the published ones were added,
    /// for at most `longest`.
    void wait_for_message(milliseconds longest);
    /// Returns the gateways that follow `table` at the store and answer for it, preferred
    /// ones first.
    [[nodiscard]] std::vector<endpoint> relays(watched_table table, time_point now) const;
    /// Records that a relay does not answer or lags behind.
    void record_relay_failure(const endpoint& relay, time_point now);
    /// Records the result of a call of this gateway to the store.
    void record_store_call(watched_table table, bool succeeded, time_point now);
    /// Records that this gateway reads `table` from a relay.
    void record_relayed(watched_table table);
    /// Records the latest change of `table` known to this gateway, and up to which
    /// version it knows all changes.
    void record_change(watched_table table, const store_version& version,
                       const store_version& known, time_point now);
    /// Returns the latest era of the store that this gateway follows; 0 if it knows none.
    [[nodiscard]] std::uint64_t known_era() const;
    /// Returns whether another gateway announced a change of `table` that this one does
    /// not know.
    [[nodiscard]] bool is_outdated(watched_table table) const;
    /// Returns since when others have announced changes of `table` that this gateway does
    /// not know.
    [[nodiscard]] std::optional<time_point> outdated_since(watched_table table) const;
    /// Returns whether another gateway announced a change of `table` after `version`
    /// longer than `allowed` ago.
    [[nodiscard]] bool lags(watched_table table, const store_version& version,
                            milliseconds allowed, time_point now) const;
    /// Records that the store, asked at `asked_at`, knew no change of `table` after
    /// `version`, so that none that was announced before exists.
    void confirm_version(watched_table table, const store_version& version,
                         time_point asked_at);
    /// Returns whether this gateway is to ask the store periodically whether `table` has
    /// changed, on behalf of those it hears: a change that is lost on the way to every
    /// other gateway is then announced to them.
    [[nodiscard]] bool should_confirm(watched_table table, time_point now) const;
    /// Returns what this gateway announces to the others.
    [[nodiscard]] store_status own_status(time_point now) const;

private:
    struct member
    {
        gateway_record record;
        store_status status;
        time_point added_at;
        std::optional<time_point> heard_at;
        std::optional<time_point> relay_failed_at;
    };
    struct announced_change
    {
        store_version version;
        time_point announced_at;
    };

    /// Returns the members that `accepts` and that were not silent for long.
    template <typename Predicate>
    [[nodiscard]] std::vector<report_receiver> select_receivers(const Predicate& accepts,
                                                                time_point now) const;
    [[nodiscard]] bool in_cell(std::string_view zone) const;
    [[nodiscard]] bool has_cells_locked() const;
    [[nodiscard]] bool is_starting(time_point now) const;
    [[nodiscard]] bool store_failed_recently(time_point now) const;
    [[nodiscard]] bool should_watch_store_locked(time_point now) const;
    [[nodiscard]] std::size_t rank_in_zone(time_point now, bool count_unheard) const;
    void note_change(watched_table table, const store_version& version, time_point now);

    gateway_record self_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t messages_ = 0; ///< Received, and lists of published gateways.
    std::map<std::string, member, std::less<>> members_; ///< Without this gateway.
    time_point started_at_;
    std::optional<time_point> published_at_; ///< Since then the others are known.
    std::optional<time_point> store_failed_at_;
    store_status own_;
    std::array<store_version, watched_table_count> known_{}; ///< Own version.
    std::array<announced_change, watched_table_count> newest_{};
    std::array<std::optional<time_point>, watched_table_count> outdated_since_;
};

} // namespace pistachiopost
