#include "process/membership/gateway_directory.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace pistachiopost {

namespace {

// A gateway that sent nothing for this long is not counted on: twice the interval of
// heartbeats.
constexpr milliseconds silence_timeout{1'000};
// A gateway that was never heard or is silent for this long gets no more reports, only
// the periodic messages to all.
constexpr milliseconds removal_timeout{10'000};
// Gateways of one zone that watch the store for the others: one may fail without a gap.
constexpr std::size_t relays_per_zone = 2;
// A relay that failed is not asked again for this long.
constexpr milliseconds relay_failure_time{3'000};
// After a failed call to the store others are preferred as relays for this long.
constexpr milliseconds store_failure_time{2'000};
// Interval of calls to a failing store by gateways that are not to watch it. Together
// with a lost connection and a failed call it stays within the time in which
// configurations must be in force.
constexpr milliseconds store_retry_interval{1'000};
// Time for the first announcements of relays after a start.
constexpr milliseconds relay_startup_time{600};

std::size_t to_index(watched_table table)
{
    return static_cast<std::size_t>(table);
}

bool is_current(const std::optional<time_point>& heard_at, time_point now)
{
    return heard_at && now - *heard_at < silence_timeout;
}

/// Order in which the gateways of a zone take on duties: large VMs first.
auto duty_order(const gateway_record& it)
{
    return std::tuple(-it.cores, XXH3_64bits(it.name.data(), it.name.size()));
}

} // namespace

void gateway_directory::add_published(std::span<const gateway_record> gateways,
                                      time_point now)
{
    const std::lock_guard lock(mutex_);
    published_at_ = published_at_.value_or(now);
    ++messages_;
    changed_.notify_all();
    for (const auto& it : gateways)
    {
        if (it.name == self_.name)
        {
            continue;
        }
        auto& known =
            members_.try_emplace(it.name, member{{}, {}, now, {}, {}}).first->second;
        if (!known.heard_at)
        {
            known.record = it;
        }
    }
}

bool gateway_directory::record_message(const gateway_record& sender,
                                       const store_status& status, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (sender.name == self_.name)
    {
        return false;
    }
    ++messages_;
    changed_.notify_all();
    auto& it = members_[sender.name];
    const bool appeared = !is_current(it.heard_at, now);
    it.record = sender;
    it.status = status;
    it.heard_at = now;
    for (std::size_t i = 0; i < watched_table_count; ++i)
    {
        if (status.watches[i])
        {
            note_change(static_cast<watched_table>(i), status.changes[i], now);
        }
    }
    return appeared;
}

bool gateway_directory::has_cells() const
{
    const std::lock_guard lock(mutex_);
    return has_cells_locked();
}

bool gateway_directory::has_cells_locked() const
{
    return members_.size() + 1 > max_full_mesh_gateways;
}

bool gateway_directory::is_complete() const
{
    const std::lock_guard lock(mutex_);
    return published_at_.has_value();
}

bool gateway_directory::shares_cell(std::string_view zone) const
{
    const std::lock_guard lock(mutex_);
    return in_cell(zone);
}

bool gateway_directory::in_cell(std::string_view zone) const
{
    return !has_cells_locked() || zone == self_.zone;
}

template <typename Predicate>
std::vector<report_receiver> gateway_directory::select_receivers(const Predicate& accepts,
                                                                 time_point now) const
{
    std::vector<report_receiver> list;
    for (const auto& [name, it] : members_)
    {
        const bool current = now - it.heard_at.value_or(it.added_at) < removal_timeout;
        if (current && accepts(it.record))
        {
            list.push_back(
                {it.record.address, it.record.zone, is_current(it.heard_at, now)});
        }
    }
    return list;
}

std::vector<report_receiver>
gateway_directory::report_receivers(const std::set<std::string, std::less<>>& zones,
                                    time_point now) const
{
    const std::lock_guard lock(mutex_);
    return select_receivers(
        [&](const gateway_record& it) {
            return in_cell(it.zone) || zones.contains(it.zone);
        },
        now);
}

std::vector<endpoint> gateway_directory::zone_peers(time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<endpoint> list;
    for (auto& it : select_receivers(
             [&](const gateway_record& one) { return one.zone == self_.zone; }, now))
    {
        list.push_back(std::move(it.address));
    }
    return list;
}

std::vector<endpoint> gateway_directory::all_others() const
{
    const std::lock_guard lock(mutex_);
    std::vector<endpoint> list;
    for (const auto& [name, it] : members_)
    {
        list.push_back(it.record.address);
    }
    return list;
}

std::vector<report_receiver> gateway_directory::digest_receivers(time_point now) const
{
    const std::lock_guard lock(mutex_);
    if (!has_cells_locked() || rank_in_zone(now, false) != 0)
    {
        return {};
    }
    return select_receivers([&](const gateway_record& it) { return !in_cell(it.zone); },
                            now);
}

std::size_t gateway_directory::size() const
{
    const std::lock_guard lock(mutex_);
    return members_.size() + 1;
}

std::size_t gateway_directory::live_in_cell(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return 1 + static_cast<std::size_t>(std::count_if(
                   members_.begin(), members_.end(), [&](const auto& entry) {
                       const auto& it = entry.second;
                       return is_current(it.heard_at, now) && in_cell(it.record.zone);
                   }));
}

/// Returns the number of gateways of this zone that precede this one in taking on
/// duties. Those that were never heard count if `count_unheard` is set.
std::size_t gateway_directory::rank_in_zone(time_point now, bool count_unheard) const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
            const auto& it = entry.second;
            return it.record.zone == self_.zone && !it.status.store_failed &&
                   (is_current(it.heard_at, now) || (count_unheard && !it.heard_at)) &&
                   duty_order(it.record) < duty_order(self_);
        }));
}

bool gateway_directory::store_failed_recently(time_point now) const
{
    return store_failed_at_ && now - *store_failed_at_ < store_failure_time;
}

bool gateway_directory::should_watch_store(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return should_watch_store_locked(now);
}

bool gateway_directory::may_call_store(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return !store_failed_at_ || now - *store_failed_at_ >= store_retry_interval ||
           should_watch_store_locked(now);
}

bool gateway_directory::should_watch_store_locked(time_point now) const
{
    if (!published_at_ && is_starting(now))
    {
        return false;
    }
    if (!store_failed_recently(now))
    {
        return rank_in_zone(now, is_starting(now)) < relays_per_zone;
    }
    // While the store fails for the whole zone, the first gateways keep trying.
    std::size_t preceding = 0;
    for (const auto& [name, it] : members_)
    {
        if (!is_current(it.heard_at, now) || it.record.zone != self_.zone)
        {
            continue;
        }
        if (!it.status.store_failed)
        {
            return false;
        }
        preceding += duty_order(it.record) < duty_order(self_) ? 1 : 0;
    }
    return preceding < relays_per_zone;
}

/// Until the first announcements have arrived, the published gateways count as live.
bool gateway_directory::is_starting(time_point now) const
{
    return now - published_at_.value_or(started_at_) < relay_startup_time;
}

bool gateway_directory::may_gain_relay(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return is_starting(now) && !should_watch_store_locked(now);
}

void gateway_directory::wait_for_message(milliseconds longest)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, longest,
                      [this, seen = messages_] { return messages_ != seen; });
}

std::vector<endpoint> gateway_directory::relays(watched_table table, time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<const gateway_record*> found;
    for (const auto& [name, it] : members_)
    {
        const bool live = is_current(it.heard_at, now);
        const bool failed =
            it.relay_failed_at && now - *it.relay_failed_at < relay_failure_time;
        if (live && !failed && it.status.watches[to_index(table)] &&
            it.record.zone == self_.zone)
        {
            found.push_back(&it.record);
        }
    }
    std::sort(found.begin(), found.end(), [](const auto* a, const auto* b) {
        return duty_order(*a) < duty_order(*b);
    });
    std::vector<endpoint> list(found.size());
    std::transform(found.begin(), found.end(), list.begin(),
                   [](const auto* it) { return it->address; });
    return list;
}

void gateway_directory::record_relay_failure(const endpoint& relay, time_point now)
{
    const std::lock_guard lock(mutex_);
    for (auto& [name, it] : members_)
    {
        if (it.record.address == relay)
        {
            it.relay_failed_at = now;
        }
    }
}

void gateway_directory::record_store_call(watched_table table, bool succeeded,
                                          time_point now)
{
    const std::lock_guard lock(mutex_);
    own_.watches[to_index(table)] = succeeded;
    if (succeeded)
    {
        store_failed_at_.reset();
    }
    else
    {
        store_failed_at_ = now;
    }
}

void gateway_directory::record_relayed(watched_table table)
{
    const std::lock_guard lock(mutex_);
    own_.watches[to_index(table)] = false;
}

void gateway_directory::record_change(watched_table table, const store_version& version,
                                      const store_version& known, time_point now)
{
    const std::lock_guard lock(mutex_);
    const auto i = to_index(table);
    own_.changes[i] = std::max(own_.changes[i], version);
    known_[i] = std::max(known_[i], known);
    note_change(table, version, now);
    if (newest_[i].version <= known_[i])
    {
        outdated_since_[i].reset();
    }
}

std::uint64_t gateway_directory::known_era() const
{
    const std::lock_guard lock(mutex_);
    return std::max_element(known_.begin(), known_.end())->era;
}

bool gateway_directory::is_outdated(watched_table table) const
{
    const std::lock_guard lock(mutex_);
    const auto i = to_index(table);
    return newest_[i].version > known_[i];
}

std::optional<time_point> gateway_directory::outdated_since(watched_table table) const
{
    const std::lock_guard lock(mutex_);
    return outdated_since_[to_index(table)];
}

void gateway_directory::note_change(watched_table table, const store_version& version,
                                    time_point now)
{
    const auto i = to_index(table);
    if (version > newest_[i].version)
    {
        newest_[i] = {version, now};
    }
    if (version > known_[i] && !outdated_since_[i])
    {
        outdated_since_[i] = now;
    }
}

bool gateway_directory::lags(watched_table table, const store_version& version,
                             milliseconds allowed, time_point now) const
{
    const std::lock_guard lock(mutex_);
    const auto& it = newest_[to_index(table)];
    return it.version > version && now - it.announced_at >= allowed;
}

void gateway_directory::confirm_version(watched_table table, const store_version& version,
                                        time_point asked_at)
{
    const std::lock_guard lock(mutex_);
    auto& it = newest_[to_index(table)];
    if (it.version > version && it.announced_at < asked_at)
    {
        it = {version, asked_at};
        outdated_since_[to_index(table)].reset();
    }
}

bool gateway_directory::should_confirm(watched_table table, time_point now) const
{
    const std::lock_guard lock(mutex_);
    return std::none_of(members_.begin(), members_.end(), [&](const auto& entry) {
        const auto& it = entry.second;
        return is_current(it.heard_at, now) && it.status.watches[to_index(table)] &&
               !it.status.store_failed && duty_order(it.record) < duty_order(self_);
    });
}

store_status gateway_directory::own_status(time_point now) const
{
    const std::lock_guard lock(mutex_);
    auto it = own_;
    it.store_failed = store_failed_recently(now);
    return it;
}

} // namespace pistachiopost
