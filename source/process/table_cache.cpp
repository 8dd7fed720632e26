#include "process/table_cache.hpp"

#include <algorithm>

namespace pistachiopost {

namespace {

// Twice the time in which entries reappear after an outage of the store: readers that
// come later need not know of it.
constexpr milliseconds recovery_notice_time{4'000};
// About 0.3 MB.
constexpr std::ptrdiff_t max_removed_rows = 1'000;

} // namespace

void table_cache::replace(const row_batch& snapshot)
{
    const std::lock_guard lock(mutex_);
    rows_.clear();
    version_ = snapshot.version;
    snapshot_version_ = snapshot.version;
    // The changes of a former era are no changes of this one.
    last_change_ = std::max(last_change_, store_version{snapshot.version.era, 0});
    for (const auto& it : snapshot.rows)
    {
        store_row(it, snapshot.version);
    }
    changed_.notify_all();
}

void table_cache::apply(const row_batch& changes)
{
    const std::lock_guard lock(mutex_);
    version_ = std::max(version_, changes.version);
    for (const auto& it : changes.rows)
    {
        store_row(it, changes.version);
    }
    discard_removed();
    if (!changes.rows.empty())
    {
        changed_.notify_all();
    }
}

/// Stores a row; `version` is used if it has none of its own.
void table_cache::store_row(const stored_row& row, const store_version& version)
{
    auto& it = rows_[row.key];
    it = row;
    it.version = row.version.number != 0 ? row.version : version;
    last_change_ = std::max(last_change_, it.version);
}

/// Bounds the memory for removed rows. Readers that miss them read the table again.
void table_cache::discard_removed()
{
    const auto is_removed = [](const auto& entry) { return entry.second.removed; };
    if (std::count_if(rows_.begin(), rows_.end(), is_removed) > max_removed_rows)
    {
        std::erase_if(rows_, is_removed);
        snapshot_version_ = version_;
    }
}

void table_cache::set_may_relay(bool may_relay)
{
    const std::lock_guard lock(mutex_);
    may_relay_ = may_relay;
    changed_.notify_all();
}

void table_cache::record_recovery(time_point now)
{
    const std::lock_guard lock(mutex_);
    recovered_at_ = now;
}

store_version table_cache::version() const
{
    const std::lock_guard lock(mutex_);
    return version_;
}

store_version table_cache::last_change() const
{
    const std::lock_guard lock(mutex_);
    return last_change_;
}

row_batch table_cache::changes_after(const store_version& since) const
{
    row_batch batch;
    batch.version = std::max(version_, since);
    for (const auto& [key, it] : rows_)
    {
        const bool is_new = it.version > since;
        if (is_new && !(it.removed && since == store_version()))
        {
            batch.rows.push_back(it);
        }
    }
    return batch;
}

std::optional<row_batch> table_cache::wait_for_changes(const store_version& since,
                                                       milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, timeout, [&] {
        return !may_relay_ || last_change_ > since || snapshot_version_ > since;
    });
    if (!may_relay_ || version_ == store_version())
    {
        return std::nullopt;
    }
    if (since != store_version() && since < snapshot_version_)
    {
        throw history_compacted("rows removed before the last complete read are unknown");
    }
    auto batch = changes_after(since);
    const auto now = steady::now();
    if (recovered_at_ && now - *recovered_at_ < recovery_notice_time)
    {
        batch.recovered_ago = ceil_milliseconds(now - *recovered_at_);
    }
    return batch;
}

} // namespace pistachiopost
