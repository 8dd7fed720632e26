/// \file
/// Reads a table of the store either directly or through a gateway of the same
/// availability zone that watches the store.
///
/// Calls to the store are limited for the whole fleet and charged. Two gateways of each
/// zone watch it, the others ask them. A gateway that gets no answer from either, or
/// learns that they lag behind, calls the store itself.
///
/// The answer to a call that waits for changes may be lost on a connection that stays
/// alive, so such a call is given up once its answer is overdue or another gateway
/// announces a newer change. One gateway asks at short intervals whether there is any:
/// even if every other call in the fleet is dead, a change is announced.
#pragma once

#include "process/logging.hpp"
#include "process/membership/gateway_directory.hpp"
#include "process/stored_row.hpp"
#include "process/table_cache.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Satisfies row_store for one table. Not thread-safe. `Store` is the store's client,
/// `Relay` the client of a relay.
template <typename Store, typename Relay>
class relayed_store
{
public:
    /// `cache` holds the rows of the table once they have been followed.
    relayed_store(Store store, gateway_directory& directory, watched_table id,
                  table_cache& cache)
        : store_(std::move(store)), directory_(directory), id_(id), cache_(cache)
    {
    }

    /// Reads all rows of the table. Throws store_error.
    row_batch read_table(std::string_view table)
    {
        return fetch(table, {}, milliseconds{0},
                     [&](milliseconds) { return store_.read_table(table); });
    }

    /// Waits up to `wait` for changes after `since`. Throws store_error or
    /// history_compacted.
    row_batch wait_for_changes(std::string_view table, const store_version& since,
                               milliseconds wait)
    {
        return fetch(table, since, wait,
                     [&](milliseconds limit) { return poll_store(table, since, limit); });
    }

private:
    // Longest wait of one call to a relay, and relays asked before the store. Together
    // they bound the time after which the store is called, whatever the relays do: a
    // configuration must be in force within two seconds in the smallest deployments.
    static constexpr milliseconds max_relay_wait{500};
    static constexpr std::size_t max_relays_asked = 2;
    // A change announced by another gateway takes at most this long through a sound
    // relay, which gathers changes for 300 ms.
    static constexpr milliseconds max_relay_delay{700};
    // The same for a sound call to the store.
    static constexpr milliseconds max_store_delay{500};
    // Interval at which the gateway that is to confirm a table asks the store. With the
    // time after which a call is overdue, that of a call that fails and that after which
    // the others give up theirs it stays within 3 s, the shortest time after which the
    // platform takes a disturbance for over.
    static constexpr milliseconds confirmation_interval{1'000};
    // A hundred times the store's usual response time.
    static constexpr milliseconds overdue_time{500};

    /// Asks the relays unless this gateway is to watch the store. A starting gateway
    /// waits for their first announcements.
    template <typename Call>
    row_batch fetch(std::string_view table, const store_version& since, milliseconds wait,
                    const Call& call_store)
    {
        for (;;)
        {
            if (!directory_.should_watch_store(steady::now()))
            {
                if (auto batch = ask_relays(table, since, wait))
                {
                    return *batch;
                }
            }
            if (!directory_.may_gain_relay(steady::now()))
            {
                break;
            }
            directory_.wait_for_message(max_relay_wait);
        }
        if (!directory_.may_call_store(steady::now()))
        {
            throw store_error("no relay of the zone answers, and the store failed");
        }
        return ask_store(wait, call_store);
    }

    /// Calls the store. The first call does not wait: others rely on this gateway only
    /// once the store has answered it.
    template <typename Call>
    row_batch ask_store(milliseconds wait, const Call& call_store)
    {
        relay_.reset();
        try
        {
            auto batch = call_store(store_answered_ ? wait : milliseconds{0});
            store_answered_ = true;
            cache_.set_may_relay(true);
            directory_.record_store_call(id_, true, steady::now());
            return batch;
        }
        catch (const history_compacted&)
        {
            throw; // the store answered
        }
        catch (const store_error&)
        {
            store_answered_ = false;
            cache_.set_may_relay(false);
            directory_.record_store_call(id_, false, steady::now());
            throw;
        }
    }

    /// Waits for changes at the store. If the call is given up, asks again without
    /// waiting, on a new connection.
    row_batch poll_store(std::string_view table, const store_version& since,
                         milliseconds wait)
    {
        const auto asked_at = steady::now();
        if (wait.count() == 0)
        {
            return ask_now(table, since, asked_at);
        }
        const bool confirms = directory_.should_confirm(id_, asked_at);
        const auto limit = confirms ? std::min(wait, confirmation_interval) : wait;
        try
        {
            auto batch =
                store_.wait_for_changes(table, since, limit, [&](time_point now) {
                    return is_lost(table, since, limit, asked_at, now);
                });
            directory_.confirm_version(id_, batch.version, asked_at);
            return batch;
        }
        catch (const poll_abandoned&)
        {
            return ask_now(table, since, steady::now());
        }
    }

    row_batch ask_now(std::string_view table, const store_version& since, time_point now)
    {
        auto batch = store_.wait_for_changes(table, since, milliseconds{0}, {});
        directory_.confirm_version(id_, batch.version, now);
        return batch;
    }

    /// Returns whether a call for changes after `since`, to be answered within `wait` of
    /// `asked_at`, must be repeated.
    bool is_lost(std::string_view table, const store_version& since, milliseconds wait,
                 time_point asked_at, time_point now)
    {
        const auto waited = now - asked_at;
        std::string_view reason;
        if (waited >= wait + overdue_time)
        {
            reason = "the answer is overdue";
        }
        else if (waited >= max_store_delay &&
                 directory_.lags(id_, since, max_store_delay, now))
        {
            reason = "another gateway announced a newer change";
        }
        else if (waited >= confirmation_interval && wait > confirmation_interval &&
                 directory_.should_confirm(id_, now))
        {
            reason = "no other gateway confirms the table";
        }
        else
        {
            return false;
        }
        log_event(log_level::info, "call to the store given up",
                  {{"table", table},
                   {"reason", reason},
                   {"version", since.number},
                   {"era", since.era},
                   {"waited_ms",
                    static_cast<std::uint64_t>(ceil_milliseconds(waited).count())}});
        return true;
    }

    /// Asks the relays in turn; nothing if none answers. Once a newer change is known, a
    /// relay that lags behind is not waited for.
    std::optional<row_batch> ask_relays(std::string_view table,
                                        const store_version& since, milliseconds wait)
    {
        auto relays = directory_.relays(id_, steady::now());
        relays.resize(std::min(relays.size(), max_relays_asked));
        auto limit = std::min(wait, max_relay_wait);
        for (const auto& it : relays)
        {
            if (!relay_ || address_ != it)
            {
                relay_ = std::make_unique<Relay>(it);
                address_ = it;
            }
            try
            {
                auto batch = relay_->changes(table, since, limit);
                if (batch.version.era < since.era)
                {
                    // A gateway of an earlier version, which does not know of eras.
                    log_failure(table, "does not name the store's era");
                }
                else if (!directory_.lags(id_, std::max(batch.version, since),
                                          max_relay_delay, steady::now()))
                {
                    store_answered_ = false;
                    cache_.set_may_relay(false);
                    directory_.record_relayed(id_);
                    batch.relayed = true;
                    return batch;
                }
                else
                {
                    log_failure(table, "lags behind other gateways");
                    limit = milliseconds{0};
                }
            }
            catch (const history_compacted&)
            {
                throw;
            }
            catch (const store_error& ex)
            {
                log_failure(table, ex.what());
            }
            directory_.record_relay_failure(it, steady::now());
        }
        return std::nullopt;
    }

    void log_failure(std::string_view table, std::string_view fault)
    {
        log_event(log_level::info, "relay of the store failed",
                  {{"table", table}, {"relay", to_string(address_)}, {"fault", fault}});
    }

    Store store_;
    gateway_directory& directory_;
    watched_table id_;
    table_cache& cache_;
    std::unique_ptr<Relay> relay_; ///< Connected to address_.
    endpoint address_;
    bool store_answered_ = false; ///< To the last call, which was made to the store.
};

/// Keeps the rows that a follower receives, so that they can be relayed.
template <typename Follower>
class caching_follower
{
public:
    caching_follower(Follower& follower, table_cache& cache, gateway_directory& directory,
                     watched_table id)
        : follower_(follower), cache_(cache), directory_(directory), id_(id)
    {
    }

    void on_snapshot(const row_batch& batch, time_point now)
    {
        cache_.replace(batch);
        directory_.record_change(id_, cache_.last_change(), cache_.version(), now);
        follower_.on_snapshot(batch, now);
    }
    void on_older_copy(const row_batch& batch, time_point now)
    {
        cache_.replace(batch);
        directory_.record_change(id_, cache_.last_change(), cache_.version(), now);
        follower_.on_older_copy(batch, now);
    }
    void on_changes(const row_batch& batch, time_point now)
    {
        cache_.apply(batch);
        directory_.record_change(id_, cache_.last_change(), cache_.version(), now);
        follower_.on_changes(batch, now);
    }
    void on_store_unavailable(time_point now)
    {
        unavailable_since_ = now;
        follower_.on_store_unavailable(now);
    }
    void on_store_available(time_point now)
    {
        // The store served others from then on: rows that it lost have had that long to
        // return.
        const auto served = directory_.outdated_since(id_);
        const auto since = served && *served >= unavailable_since_ ? *served : now;
        cache_.record_recovery(since);
        follower_.on_store_available(since);
    }

private:
    Follower& follower_;
    table_cache& cache_;
    gateway_directory& directory_;
    watched_table id_;
    time_point unavailable_since_;
};

} // namespace pistachiopost
