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
    it.take_table(batch, now);
    it.take_changes(batch, now);
    it.store_out(now);
    it.store_back(now);
};

/// Pause before the next call after a failed one.
class call_pause
{
public:
    /// Returns the pause after one more failure.
    milliseconds next()
    {
        const auto it = pause_;
        pause_ = std::min(pause_ * 2, longest);
        return it;
    }
    /// Starts anew after a success.
    void reset() { pause_ = shortest; }

private:
    // A refused call is priced like any other; a store that is back is noticed within
    // half of the time in which its entries are back.
    static constexpr milliseconds shortest{100};
    static constexpr milliseconds longest{800};

    milliseconds pause_ = shortest;
};

/// Reads `table` once and then follows its changes until `stop`. A table is read anew
/// only after its history was lost; an older state than the last one is dropped. After a
/// change, `settle` passes before the next call, which then brings all that came
/// meanwhile.
template <row_store Store, row_follower Follower>
void watch_table(Store store, std::string_view table, Follower& follower, stop_flag& stop,
                 milliseconds settle = milliseconds{0})
{
    // The store allows 30 s; a silent connection shows by its keep-alive probes.
    constexpr milliseconds wait{25'000};
    call_pause pause;
    std::uint64_t version = 0;
    bool whole = false;
    bool out = false;
    while (!stop.wait_for(milliseconds{0}))
    {
        try
        {
            const auto batch = whole ? store.wait_for_changes(table, version, wait)
                                     : store.read_table(table);
            const auto now = steady::now();
            if (out)
            {
                out = false;
                log_event(log_level::warn, "the store answers again", {{"table", table}});
                follower.store_back(now);
            }
            pause.reset();
            if (batch.version < version)
            {
                log_event(
                    log_level::warn, "the store answered with an older state",
                    {{"table", table}, {"version", batch.version}, {"known", version}});
                stop.wait_for(pause.next());
                continue;
            }
            version = batch.version;
            whole ? follower.take_changes(batch, now) : follower.take_table(batch, now);
            whole = true;
            stop.wait_for(settle);
        }
        catch (const history_lost& it)
        {
            log_event(log_level::warn, "history lost; the table is read anew",
                      {{"table", table}, {"fault", it.what()}});
            whole = false;
        }
        catch (const store_error& it)
        {
            if (!out)
            {
                out = true;
                log_event(log_level::warn, "the store does not answer",
                          {{"table", table}, {"fault", it.what()}, {"version", version}});
                follower.store_out(steady::now());
            }
            stop.wait_for(pause.next());
        }
    }
}

} // namespace pistachiopost
