/// \file
/// A followed table of the store, kept so that it can be relayed to other gateways.
#pragma once

#include "process/stored_row.hpp"
#include "request/time_types.hpp"

#include <condition_variable>
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
    [[nodiscard]] store_version version() const;
    /// Returns the version of the latest known change.
    [[nodiscard]] store_version last_change() const;
    /// Waits up to `timeout` for changes after `since` and returns them; all rows if
    /// `since` is the default. The batch is empty after the timeout. Returns nothing if
    /// the rows must not be relayed. Throws history_compacted if changes after `since`
    /// may be missing.
    std::optional<row_batch> wait_for_changes(const store_version& since,
                                              milliseconds timeout);

private:
    void store_row(const stored_row& row, const store_version& version);
    void discard_removed();
    [[nodiscard]] row_batch changes_after(const store_version& since) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, stored_row> rows_;
    store_version version_;
    store_version last_change_;
    store_version snapshot_version_; ///< Rows removed before are not known.
    std::optional<time_point> recovered_at_;
    bool may_relay_ = false;
};

} // namespace pistachiopost
