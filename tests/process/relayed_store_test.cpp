#include "process/relayed_store.hpp"

#include "connection/http_call.hpp"

#include <criterion/criterion.h>

#include <functional>

using namespace pistachiopost;

namespace {

/// Answers of the store and of all relays, and what was asked.
struct script
{
    std::function<row_batch(const endpoint& relay, const store_version& since)>
        relay_answer;
    std::function<row_batch(const store_version& since)> store_answer;
    int relay_calls = 0;
    int store_calls = 0;
    std::vector<milliseconds> waits; ///< Of the calls to the store.
    std::vector<milliseconds> relay_waits;
};

script* current_script = nullptr;

struct scripted_relay
{
    explicit scripted_relay(endpoint it) : address(std::move(it)) {}
    row_batch changes(std::string_view, const store_version& since,
                      milliseconds wait) const
    {
        current_script->relay_waits.push_back(wait);
        ++current_script->relay_calls;
        return current_script->relay_answer(address, since);
    }
    endpoint address;
};

struct scripted_store
{
    static row_batch read_table(std::string_view) { return answer({}); }
    static row_batch wait_for_changes(std::string_view, const store_version& since,
                                      milliseconds wait, const abandon_check&)
    {
        current_script->waits.push_back(wait);
        return answer(since);
    }
    static row_batch answer(const store_version& since)
    {
        ++current_script->store_calls;
        return current_script->store_answer(since);
    }
};

row_batch at_version(std::uint64_t version, std::uint64_t era = 0)
{
    row_batch it;
    it.version = {era, version};
    return it;
}

/// A small gateway, and two large ones of its zone that watch the store.
struct relayed_store_fixture
{
    relayed_store_fixture()
    {
        current_script = &calls;
        calls.relay_answer = [](const auto&, auto) { return at_version(7); };
        calls.store_answer = [](auto) { return at_version(9); };
        const auto now = steady::now();
        directory.add_published({}, now - seconds{10});
        hear_relays(7);
    }

    void hear_relays(std::uint64_t configuration_change)
    {
        store_status status;
        status.watches = {true, true};
        status.changes[0] = {0, configuration_change};
        directory.record_message({"big-1", first, "a", 1}, status, steady::now());
        directory.record_message({"big-2", second, "a", 1}, status, steady::now());
    }

    row_batch ask() { return store.wait_for_changes("t", {0, 5}, milliseconds{1}); }

    script calls;
    endpoint first{"10.0.0.1", 1};
    endpoint second{"10.0.0.2", 1};
    gateway_directory directory{{"me", {"10.0.0.9", 1}, "a", 0.1},
                                steady::now() - seconds{10}};
    table_cache cache;
    relayed_store<scripted_store, scripted_relay> store{
        scripted_store(), directory, watched_table::configuration, cache};
};

} // namespace

Test(relayed_store, sound_relay_saves_the_call_to_the_store)
{
    relayed_store_fixture it;
    cr_assert_eq(it.ask().version.number, 7U);
    cr_assert_eq(it.calls.store_calls, 0);
}

Test(relayed_store, failed_relay_is_replaced_by_the_other_one)
{
    relayed_store_fixture it;
    int failures = 0;
    it.calls.relay_answer = [&](const endpoint&, auto) {
        return ++failures == 1 ? throw store_error("cut") : at_version(7);
    };
    cr_assert_eq(it.ask().version.number, 7U);
    cr_assert_eq(it.calls.relay_calls, 2);
    cr_assert_eq(it.calls.store_calls, 0);
}

Test(relayed_store, cut_off_from_both_relays_it_calls_the_store)
{
    relayed_store_fixture it;
    it.calls.relay_answer = [](const auto&, auto) -> row_batch {
        throw store_error("cut");
    };
    cr_assert_eq(it.ask().version.number, 9U);
    cr_assert_eq(it.calls.relay_calls, 2);
    cr_assert_eq(it.ask().version.number, 9U);
    cr_assert_eq(it.calls.relay_calls, 2, "failed relays are not asked again at once");
}

/// After a fallback many gateways watch the store and count as relays. Each that hangs
/// costs a timeout, while a configuration must be in force within seconds.
Test(relayed_store, two_relays_are_asked_at_most_before_the_store)
{
    relayed_store_fixture it;
    store_status status;
    status.watches = {true, true};
    for (std::uint16_t i = 0; i < 10; ++i)
    {
        it.directory.record_message({std::to_string(i), {"10.0.1.1", i}, "a", 1}, status,
                                    steady::now());
    }
    it.calls.relay_answer = [](const auto&, auto) -> row_batch {
        throw store_error("no answer in time");
    };
    cr_assert_eq(it.ask().version.number, 9U);
    cr_assert_eq(it.calls.relay_calls, 2);
}

Test(relayed_store, relays_that_miss_an_announced_change_are_given_up)
{
    relayed_store_fixture it;
    it.hear_relays(8); // announced, but both answer up to version 7
    std::this_thread::sleep_for(milliseconds{750});
    it.hear_relays(8);
    cr_assert_eq(it.ask().version.number, 9U);
    cr_assert_eq(it.calls.store_calls, 1);
    cr_assert_eq(it.calls.relay_waits, (std::vector{milliseconds{1}, milliseconds{0}}),
                 "the second one is not waited for");
}

// Guards against a gateway that asks a relay of an earlier version, which follows a
// former history of the store, again and again.
Test(relayed_store, relays_of_a_former_era_are_given_up)
{
    relayed_store_fixture it;
    it.calls.store_answer = [](auto) { return at_version(4, 2); };
    const auto read = it.store.wait_for_changes("t", {2, 3}, milliseconds{1});
    cr_assert(read.version == store_version(2, 4));
    cr_assert_eq(it.calls.relay_calls, 2);
}

Test(relayed_store, gateway_rejected_by_the_store_makes_no_further_calls)
{
    relayed_store_fixture it;
    it.calls.relay_answer = [](const auto&, auto) -> row_batch {
        throw store_error("cut");
    };
    it.calls.store_answer = [](auto) -> row_batch { throw store_error("503"); };
    for (int i = 0; i < 3; ++i)
    {
        cr_assert_throw(it.ask(), store_error);
    }
    cr_assert_eq(it.calls.store_calls, 1);
}

Test(relayed_store, store_is_asked_without_waiting_until_it_has_answered)
{
    relayed_store_fixture it;
    it.calls.relay_answer = [](const auto&, auto) -> row_batch {
        throw store_error("cut");
    };
    const milliseconds once{1};
    it.ask();
    it.ask();
    cr_assert_eq(it.calls.waits, (std::vector{milliseconds{0}, once}));
    it.calls.store_answer = [](auto) -> row_batch { throw store_error("reset"); };
    cr_assert_throw(it.ask(), store_error);
    it.calls.store_answer = [](auto) { return at_version(9); };
    std::this_thread::sleep_for(milliseconds{1'050});
    it.ask();
    cr_assert_eq(it.calls.waits.back(), milliseconds{0});
}

/// A relay whose connection to the store was reset, together with the connections of all
/// who ask it: each gateway must get back to the store within a second, whatever the
/// others do.
Test(relayed_store, gateway_whose_call_failed_calls_the_store_again_after_a_second)
{
    relayed_store_fixture it;
    it.calls.relay_answer = [](const auto&, auto) -> row_batch {
        throw store_error("cut");
    };
    it.calls.store_answer = [](auto) -> row_batch { throw store_error("reset"); };
    cr_assert_throw(it.ask(), store_error);
    it.calls.store_answer = [](auto) { return at_version(9); };
    std::this_thread::sleep_for(milliseconds{1'050});
    it.hear_relays(7);
    cr_assert_eq(it.ask().version.number, 9U);
}

Test(relayed_store, rows_read_through_a_relay_are_not_relayed_further)
{
    relayed_store_fixture it;
    it.cache.replace(at_version(3));
    it.cache.set_may_relay(true);
    it.ask();
    cr_assert_not(it.cache.wait_for_changes({}, milliseconds{0}).has_value());
}

namespace {

/// Records since when the store is available again.
struct recovery_follower
{
    static void on_snapshot(const row_batch&, time_point) {}
    static void on_changes(const row_batch&, time_point) {}
    static void on_older_copy(const row_batch&, time_point) {}
    static void on_store_unavailable(time_point) {}
    void on_store_available(time_point since) { recovered_at = since; }

    time_point recovered_at;
};

/// Follows a table up to version 7 behind an outage from second 1 on.
struct outage_fixture : relayed_store_fixture
{
    outage_fixture()
    {
        cached.on_snapshot(at_version(7), began);
        cached.on_store_unavailable(began + seconds{1});
    }

    /// Another gateway announces a change as of `version`.
    void announce(std::uint64_t version, time_point now)
    {
        store_status status;
        status.watches = {true, true};
        status.changes[0] = {0, version};
        directory.record_message({"big-1", first, "a", 1}, status, now);
    }

    time_point began = steady::now();
    recovery_follower follower;
    caching_follower<recovery_follower> cached{follower, cache, directory,
                                               watched_table::configuration};
};

} // namespace

/// A gateway that was cut off gave rows that had been removed in the meantime another two
/// seconds to return, and sent requests to backend servers that had left.
Test(caching_follower, store_that_served_others_in_an_outage_is_back_since_then)
{
    outage_fixture it;
    it.announce(9, it.began + seconds{4});
    it.announce(12, it.began + seconds{6});
    it.cached.on_store_available(it.began + seconds{8});
    cr_assert_eq(it.follower.recovered_at, it.began + seconds{4});
}

/// A change that others announced before the outage was noticed may be older than it.
Test(caching_follower, store_that_served_nobody_in_an_outage_is_back_now)
{
    outage_fixture it;
    it.announce(7, it.began + seconds{4});
    it.cached.on_store_available(it.began + seconds{8});
    cr_assert_eq(it.follower.recovered_at, it.began + seconds{8});
    outage_fixture early;
    early.announce(9, early.began + milliseconds{500});
    early.cached.on_store_available(early.began + seconds{8});
    cr_assert_eq(early.follower.recovered_at, early.began + seconds{8});
}

Test(caching_follower, change_that_arrived_before_the_outage_is_no_evidence)
{
    outage_fixture it;
    it.announce(9, it.began + seconds{4});
    it.cached.on_store_available(it.began + seconds{8});
    it.cached.on_changes(at_version(9), it.began + seconds{8});
    it.cached.on_store_unavailable(it.began + seconds{20});
    it.cached.on_store_available(it.began + seconds{25});
    cr_assert_eq(it.follower.recovered_at, it.began + seconds{25});
}

namespace {

stored_row row(const char* key, std::uint64_t version, bool removed = false)
{
    return {key, "value", {0, version}, removed};
}

/// A cache of two rows as of version 10.
struct table_cache_fixture
{
    table_cache_fixture()
    {
        auto batch = at_version(10);
        batch.rows = {row("a", 4), row("b", 6)};
        cache.replace(batch);
        cache.set_may_relay(true);
    }

    void change(std::uint64_t version, const stored_row& it)
    {
        auto batch = at_version(version);
        batch.rows = {it};
        cache.apply(batch);
    }

    row_batch after(std::uint64_t since)
    {
        return cache.wait_for_changes({0, since}, milliseconds{0}).value();
    }

    table_cache cache;
};

} // namespace

Test(table_cache, whole_table_is_returned_without_removed_rows)
{
    table_cache_fixture it;
    it.change(12, row("a", 12, true));
    const auto batch = it.after(0);
    cr_assert_eq(batch.version.number, 12U);
    cr_assert_eq(batch.rows.size(), 1U);
    cr_assert_eq(batch.rows[0].key, "b");
}

Test(table_cache, changes_include_removed_rows)
{
    table_cache_fixture it;
    it.change(12, row("a", 12, true));
    const auto batch = it.after(10);
    cr_assert_eq(batch.rows.size(), 1U);
    cr_assert(batch.rows[0].removed);
}

Test(table_cache, reader_older_than_the_last_complete_read_must_read_again)
{
    table_cache_fixture it;
    cr_assert_throw(it.after(9), history_compacted);
}

Test(table_cache, reader_that_is_ahead_gets_nothing_and_keeps_its_version)
{
    table_cache_fixture it;
    const auto batch = it.after(15);
    cr_assert(batch.rows.empty());
    cr_assert_eq(batch.version.number, 15U);
}

// Guards against relays that hand out changes of two histories as one.
Test(table_cache, reader_of_a_former_era_must_read_again)
{
    table_cache_fixture it;
    it.cache.replace(at_version(4, 1));
    cr_assert_throw(it.after(10), history_compacted);
    cr_assert(it.cache.last_change() == store_version(1, 0));
    const auto read = it.cache.wait_for_changes({}, milliseconds{0});
    cr_assert(read->version == store_version(1, 4));
    cr_assert(read->rows.empty());
}

Test(table_cache, reader_is_woken_by_a_change)
{
    table_cache_fixture it;
    std::thread writer([&] {
        std::this_thread::sleep_for(milliseconds{20});
        it.change(12, row("c", 12));
    });
    const auto batch = it.cache.wait_for_changes({0, 10}, milliseconds{5'000});
    writer.join();
    cr_assert_eq(batch->rows.size(), 1U);
}

Test(table_cache, reader_is_woken_when_the_store_is_lost)
{
    table_cache_fixture it;
    std::thread loss([&] {
        std::this_thread::sleep_for(milliseconds{20});
        it.cache.set_may_relay(false);
    });
    cr_assert_not(it.cache.wait_for_changes({0, 10}, milliseconds{5'000}).has_value());
    loss.join();
}

Test(table_cache, reader_learns_of_a_recent_outage_of_the_store)
{
    table_cache_fixture it;
    cr_assert_not(it.after(10).recovered_ago.has_value());
    it.cache.record_recovery(steady::now());
    cr_assert(it.after(10).recovered_ago.has_value());
    it.cache.record_recovery(steady::now() - seconds{10});
    cr_assert_not(it.after(10).recovered_ago.has_value());
}

Test(table_cache, rows_without_a_version_get_that_of_their_batch)
{
    table_cache_fixture it;
    it.change(12, row("c", 0));
    cr_assert_eq(it.cache.last_change().number, 12U);
    cr_assert_eq(it.after(11).rows.size(), 1U);
}
