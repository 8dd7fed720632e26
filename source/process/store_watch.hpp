/// \file
/// Follows a table of the platform's store.
#pragma once

#include "process/logging.hpp"
#include "process/stop_flag.hpp"
#include "process/stored_row.hpp"

#include <concepts>
#include <string_view>

namespace pistachiopost {

/// A store whose tables can be read and followed.
template <typename Store>
concept row_store = requires(Store& it, std::string_view table, std::uint64_t version,
                             milliseconds wait)
{
    {
        it.read_table(table)
        } -> std::same_as<row_batch>;
    {
        it.wait_for_changes(table, version, wait)
        } -> std::same_as<row_batch>;
};

/// Takes over the rows of one table.
template <typename Follower>
concept row_follower = requires(Follower& it, const row_batch& batch, time_point now)
{
    it.on_snapshot(batch, now);
    it.on_changes(batch, now);
    it.on_store_unavailable(now);
    it.on_store_available(now);
};

/// Pause before the next call after a failed one.
class retry_backoff
{
public:
    /// Returns the pause after one more failure.
    milliseconds next()
    {
        const auto it = delay_;
        delay_ = std::min(delay_ * 2, max_delay);
        return it;
    }
    /// Starts anew after a success.
    void reset() { delay_ = min_delay; }

private:
    // A refused call is priced like any other; a store that is back is noticed within
    // half of the time in which its entries are back.
    static constexpr milliseconds min_delay{100};
    static constexpr milliseconds max_delay{800};

    milliseconds delay_ = min_delay;
};

/// Reads `table` once and then follows its changes until `stop`. A table is read anew
/// only after its history was lost; an older state than the last one is dropped. After a
/// change, `settle` passes before the next call, which then brings all that came
/// meanwhile.
template <row_store Store, row_follower Follower>
void watch_table(Store store, std::string_view table, Follower& follower, stop_flag& stop,
                 milliseconds batch_delay = milliseconds{0})
{
    // The store allows 30 s; a silent connection shows by its keep-alive probes.
    constexpr milliseconds wait{25'000};
    retry_backoff backoff;
    std::uint64_t version = 0;
    bool have_snapshot = false;
    bool unavailable = false;
    while (!stop.wait_for(milliseconds{0}))
    {
        try
        {
            const auto batch = have_snapshot
                                   ? store.wait_for_changes(table, version, wait)
                                   : store.read_table(table);
            const auto now = steady::now();
            if (unavailable)
            {
                unavailable = false;
                log_event(log_level::warn, "the store answers again", {{"table", table}});
                follower.on_store_available(now);
            }
            backoff.reset();
            if (batch.version < version)
            {
                log_event(
                    log_level::warn, "the store answered with an older state",
                    {{"table", table}, {"version", batch.version}, {"known", version}});
                stop.wait_for(backoff.next());
                continue;
            }
            version = batch.version;
            have_snapshot ? follower.on_changes(batch, now)
                          : follower.on_snapshot(batch, now);
            have_snapshot = true;
            stop.wait_for(batch_delay);
        }
        catch (const history_compacted& it)
        {
            log_event(log_level::warn, "history lost; the table is read anew",
                      {{"table", table}, {"fault", it.what()}});
            have_snapshot = false;
        }
        catch (const store_error& it)
        {
            if (!unavailable)
            {
                unavailable = true;
                log_event(log_level::warn, "the store does not answer",
                          {{"table", table}, {"fault", it.what()}, {"version", version}});
                follower.on_store_unavailable(steady::now());
            }
            stop.wait_for(backoff.next());
        }
    }
}

} // namespace pistachiopost
