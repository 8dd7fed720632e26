/// \file
/// A followed table of the store, kept so that it can be relayed to other gateways.
#pragma once

#include "process/stored_row.hpp"
#include "request/time_types.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace pistachiopost {

/// Rows of one table, including those removed since the last complete read. Thread-safe.
class table_cache
{
public:
    /// Replaces all rows.
    void replace(const row_batch& snapshot);
    /// Applies changes.
    void apply(const row_batch& changes);
    /// Sets whether the rows are followed at the store itself, so that they may be
    /// relayed.
    void set_may_relay(bool may_relay);
    /// Records that the store became available again after an outage.
    void record_recovery(time_point now);

    /// Returns the version up to which all changes are known.
    [[nodiscard]] std::uint64_t version() const;
    /// Returns the version of the latest known change.
    [[nodiscard]] std::uint64_t last_change() const;
    /// Waits up to `timeout` for changes after `since` and returns them; all rows if
    /// `since` is 0. The batch is empty after the timeout. Returns nothing if the rows
    /// must not be relayed. Throws history_compacted if changes after `since` may be
    /// missing.
    std::optional<row_batch> wait_for_changes(std::uint64_t since, milliseconds timeout);

private:
    void store_row(const stored_row& row, std::uint64_t version);
    void discard_removed();
    [[nodiscard]] row_batch changes_after(std::uint64_t since) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, stored_row> rows_;
    std::uint64_t version_ = 0;
    std::uint64_t last_change_ = 0;
    std::uint64_t snapshot_version_ = 0; ///< Rows removed before are not known.
    std::optional<time_point> recovered_at_;
    bool may_relay_ = false;
};

} // namespace pistachiopost
