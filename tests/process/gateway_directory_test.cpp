#include "process/membership/gateway_directory.hpp"
#include "process/membership/report_fanout.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <set>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};
// The first announcements of relays have arrived by then.
const time_point settled = start + seconds{2};
const auto table = watched_table::configuration;

/// The directory of gateway "me" in zone "a", on a small VM.
struct directory_fixture
{
    static gateway_record record(const std::string& name, const std::string& zone,
                                 double cores, std::uint16_t port)
    {
        return {name, {"10.0.0.1", port}, zone, cores};
    }

    static store_status watching(std::uint64_t configuration_change = 0)
    {
        store_status it;
        it.watches = {true, true};
        it.changes[0] = {0, configuration_change};
        return it;
    }

    static store_status failing()
    {
        store_status it;
        it.store_failed = true;
        return it;
    }

    /// Publishes `count` gateways in each of the zones a, b and c, and hears all.
    void add_fleet(std::size_t count, time_point now)
    {
        std::vector<gateway_record> all;
        for (const char* zone : {"a", "b", "c"})
        {
            for (std::size_t i = 0; i < count; ++i)
            {
                const auto port = static_cast<std::uint16_t>(1'000 + all.size());
                all.push_back(record(fmt::format("{}-{}", zone, i), zone, 0.01, port));
            }
        }
        directory.add_published(all, now);
        for (const auto& it : all)
        {
            directory.record_message(it, {}, now);
        }
    }

    gateway_record big1 = record("big-1", "a", 0.5, 1);
    gateway_record big2 = record("big-2", "a", 0.5, 2);
    gateway_directory directory{record("me", "a", 0.1, 9), start};
};

} // namespace

Test(gateway_directory, small_fleet_reports_to_all_gateways)
{
    directory_fixture it;
    it.add_fleet(10, start);
    cr_assert_not(it.directory.has_cells());
    cr_assert_eq(it.directory.report_receivers({}, start).size(), 30U);
    cr_assert(it.directory.digest_receivers(start).empty());
}

Test(gateway_directory, large_fleet_reports_within_the_zone_and_to_zones_in_use)
{
    directory_fixture it;
    it.add_fleet(20, start);
    cr_assert(it.directory.has_cells());
    cr_assert_eq(it.directory.report_receivers({}, start).size(), 20U);
    cr_assert_eq(it.directory.report_receivers({"b"}, start).size(), 40U);
    cr_assert_eq(it.directory.all_others().size(), 60U);
}

Test(gateway_directory, digest_is_sent_by_the_largest_live_vm_of_the_zone_alone)
{
    directory_fixture it;
    it.add_fleet(20, start);
    cr_assert_eq(it.directory.digest_receivers(start).size(), 40U);
    it.directory.record_message(it.big1, {}, start);
    cr_assert(it.directory.digest_receivers(start).empty());
    cr_assert_not(it.directory.digest_receivers(start + seconds{1}).empty(),
                  "big-1 is silent");
}

Test(gateway_directory, gateway_silent_for_long_gets_only_messages_to_all)
{
    directory_fixture it;
    it.directory.record_message(it.big1, {}, start);
    cr_assert_eq(it.directory.report_receivers({}, start + seconds{9}).size(), 1U);
    cr_assert(it.directory.report_receivers({}, start + seconds{10}).empty());
    cr_assert_eq(it.directory.all_others().size(), 1U);
}

Test(gateway_directory, message_of_a_new_or_silent_gateway_is_recognized)
{
    directory_fixture it;
    cr_assert(it.directory.record_message(it.big1, {}, start));
    cr_assert_not(it.directory.record_message(it.big1, {}, start + milliseconds{500}));
    cr_assert(it.directory.record_message(it.big1, {}, start + seconds{3}));
}

Test(gateway_directory, replaced_gateway_is_reached_at_its_new_address)
{
    directory_fixture it;
    it.directory.record_message(it.big1, {}, start);
    auto moved = it.big1;
    moved.address.port = 77;
    it.directory.record_message(moved, {}, start);
    cr_assert_eq(it.directory.all_others(), (std::vector<endpoint>{moved.address}));
}

Test(gateway_directory, two_largest_vms_of_a_zone_watch_the_store)
{
    directory_fixture it;
    it.directory.add_published({}, start);
    it.directory.record_message(it.big1, {}, settled);
    cr_assert(it.directory.should_watch_store(settled));
    it.directory.record_message(it.big2, {}, settled);
    cr_assert_not(it.directory.should_watch_store(settled));
    cr_assert(it.directory.should_watch_store(settled + seconds{1}), "both are silent");
}

Test(gateway_directory, gateways_of_other_zones_do_not_watch_for_this_one)
{
    directory_fixture it;
    it.directory.add_published({}, start);
    auto far1 = it.big1;
    auto far2 = it.big2;
    far1.zone = far2.zone = "b";
    it.directory.record_message(far1, it.watching(), settled);
    it.directory.record_message(far2, it.watching(), settled);
    cr_assert(it.directory.should_watch_store(settled));
    cr_assert(it.directory.relays(table, settled).empty());
}

Test(gateway_directory, starting_gateway_waits_for_published_relays_but_not_long)
{
    directory_fixture it;
    cr_assert_not(it.directory.should_watch_store(start));
    cr_assert(it.directory.may_gain_relay(start));
    it.directory.add_published(std::vector{it.big1, it.big2}, start);
    cr_assert_not(it.directory.should_watch_store(start));
    cr_assert(it.directory.may_gain_relay(start));
    cr_assert_not(it.directory.may_gain_relay(settled));
    cr_assert(it.directory.should_watch_store(settled), "neither was ever heard");
}

Test(gateway_directory, start_without_the_list_of_gateways_ends_in_own_calls)
{
    directory_fixture it;
    cr_assert(it.directory.should_watch_store(settled));
    cr_assert(it.directory.may_call_store(settled));
}

Test(gateway_directory, relays_are_live_watching_gateways_that_did_not_fail)
{
    directory_fixture it;
    it.directory.record_message(it.big1, it.watching(), start);
    it.directory.record_message(it.big2, {}, start);
    cr_assert_eq(it.directory.relays(table, start),
                 (std::vector<endpoint>{it.big1.address}));
    it.directory.record_relay_failure(it.big1.address, start);
    cr_assert(it.directory.relays(table, start).empty());
    it.directory.record_message(it.big1, it.watching(), start + seconds{3});
    cr_assert_eq(it.directory.relays(table, start + seconds{3}).size(), 1U);
    cr_assert(it.directory.relays(table, start + seconds{4}).empty(),
              "silent for a second");
}

Test(gateway_directory, gateway_takes_over_from_relays_that_the_store_rejects)
{
    directory_fixture it;
    it.directory.add_published({}, start);
    it.directory.record_message(it.big1, it.failing(), settled);
    it.directory.record_message(it.big2, it.watching(), settled);
    cr_assert(it.directory.should_watch_store(settled));
}

Test(gateway_directory, gateway_rejected_by_the_store_leaves_calls_to_others)
{
    directory_fixture it;
    it.directory.add_published({}, start);
    it.directory.record_store_call(watched_table::backends, false, settled);
    cr_assert(it.directory.should_watch_store(settled), "alone in its zone");
    it.directory.record_message(it.big1, {}, settled);
    cr_assert_not(it.directory.should_watch_store(settled));
    cr_assert_not(it.directory.may_call_store(settled));
    cr_assert(it.directory.own_status(settled).store_failed);
    cr_assert(it.directory.may_call_store(settled + seconds{1}), "tries again");
    cr_assert_not(it.directory.own_status(settled + seconds{2}).store_failed);
}

Test(gateway_directory, two_gateways_of_a_zone_keep_calling_a_store_that_is_down)
{
    directory_fixture it;
    it.directory.add_published({}, start);
    it.directory.record_store_call(watched_table::backends, false, settled);
    it.directory.record_message(it.big1, it.failing(), settled);
    cr_assert(it.directory.should_watch_store(settled));
    it.directory.record_message(it.big2, it.failing(), settled);
    cr_assert_not(it.directory.should_watch_store(settled));
}

Test(gateway_directory, announced_change_that_does_not_arrive_shows_a_lag)
{
    directory_fixture it;
    it.directory.record_message(it.big1, it.watching(50), start);
    const milliseconds allowed{700};
    cr_assert_not(it.directory.lags(table, {0, 40}, allowed, start + milliseconds{600}));
    cr_assert(it.directory.lags(table, {0, 40}, allowed, start + milliseconds{700}));
    cr_assert_not(it.directory.lags(table, {0, 50}, allowed, start + milliseconds{700}));
    cr_assert_not(it.directory.lags(watched_table::backends, {0, 0}, allowed, settled));
}

// Guards against gateways that take those which follow the store's new history for
// outdated.
Test(gateway_directory, lower_version_of_a_later_era_is_a_newer_change)
{
    directory_fixture it;
    it.directory.record_change(table, {1, 50}, {1, 60}, start);
    store_status status = it.watching();
    status.changes[0] = {2, 30};
    it.directory.record_message(it.big1, status, start);
    cr_assert(it.directory.is_outdated(table));
    cr_assert(it.directory.lags(table, {1, 60}, milliseconds{700}, settled));
    it.directory.record_change(table, {2, 30}, {2, 31}, settled);
    status.changes[0] = {1, 70};
    it.directory.record_message(it.big2, status, settled);
    cr_assert_not(it.directory.is_outdated(table));
    cr_assert(it.directory.own_status(settled).changes[0] == store_version(2, 30));
}

/// Otherwise one wrong announcement makes every gateway call the store again and again.
Test(gateway_directory, announced_change_that_the_store_does_not_know_is_forgotten)
{
    directory_fixture it;
    const milliseconds allowed{0};
    it.directory.record_message(it.big1, it.watching(50), start);
    it.directory.confirm_version(table, {0, 40}, start - milliseconds{1});
    cr_assert(it.directory.lags(table, {0, 40}, allowed, settled), "asked before");
    it.directory.confirm_version(table, {0, 40}, start + milliseconds{1});
    cr_assert_not(it.directory.lags(table, {0, 40}, allowed, settled));
}

Test(gateway_directory, largest_live_watching_gateway_confirms_a_table)
{
    directory_fixture it;
    cr_assert(it.directory.should_confirm(table, start), "it hears no other");
    it.directory.record_message(it.big1, {}, start);
    cr_assert(it.directory.should_confirm(table, start), "the other reads from a relay");
    auto far = it.big2;
    far.zone = "b";
    it.directory.record_message(far, it.watching(), start);
    cr_assert_not(it.directory.should_confirm(table, start));
    cr_assert(it.directory.should_confirm(table, start + seconds{1}), "silent");
    auto failing = it.watching();
    failing.store_failed = true;
    it.directory.record_message(far, failing, settled);
    cr_assert(it.directory.should_confirm(table, settled), "the store rejects the other");
    it.directory.record_message(it.record("small", "b", 0.01, 3), it.watching(), settled);
    cr_assert(it.directory.should_confirm(table, settled));
}

Test(gateway_directory, each_table_is_announced_while_it_is_followed_at_the_store)
{
    directory_fixture it;
    const auto watches = [&it](watched_table id) {
        return it.directory.own_status(start).watches[static_cast<std::size_t>(id)];
    };
    it.directory.record_store_call(watched_table::backends, true, start);
    cr_assert(watches(watched_table::backends));
    cr_assert_not(watches(watched_table::configuration));
    it.directory.record_store_call(watched_table::configuration, true, start);
    it.directory.record_relayed(watched_table::backends);
    cr_assert(watches(watched_table::configuration));
    cr_assert_not(watches(watched_table::backends));
    it.directory.record_store_call(watched_table::configuration, false, start);
    cr_assert_not(watches(watched_table::configuration));
}

Test(gateway_directory, relay_of_one_table_is_not_asked_for_the_other)
{
    directory_fixture it;
    store_status status;
    status.watches[static_cast<std::size_t>(table)] = true;
    it.directory.record_message(it.big1, status, start);
    cr_assert_eq(it.directory.relays(table, start).size(), 1U);
    cr_assert(it.directory.relays(watched_table::backends, start).empty());
}

Test(report_fanout, report_crosses_to_each_other_zone_once)
{
    directory_fixture it;
    it.add_fleet(9, start);
    const auto first = first_recipients(it.directory.report_receivers({}, start), "a", 0);
    cr_assert_eq(first.size(), 9U + 2U, "its own zone, and one gateway of b and of c");
}

/// One that fails would otherwise keep its whole zone from hearing a gateway for as long
/// as it takes to count as silent.
Test(report_fanout, each_report_is_forwarded_by_another_gateway)
{
    directory_fixture it;
    it.add_fleet(9, start);
    const auto receivers = it.directory.report_receivers({}, start);
    std::set<std::uint16_t> forwarders;
    for (std::uint64_t turn = 0; turn < 9; ++turn)
    {
        forwarders.insert(first_recipients(receivers, "a", turn).back().port);
    }
    cr_assert_eq(forwarders.size(), 9U);
}

Test(report_fanout, silent_gateways_do_not_forward)
{
    directory_fixture it;
    it.add_fleet(2, start);
    const auto later = start + seconds{2};
    it.directory.record_message(it.record("b-1", "b", 0.01, 1'003), {}, later);
    const auto receivers = it.directory.report_receivers({}, later);
    for (std::uint64_t turn = 0; turn < 4; ++turn)
    {
        std::set<std::uint16_t> known;
        for (const auto& one : first_recipients(receivers, "a", turn))
        {
            known.insert(one.port);
        }
        cr_assert(known.contains(1'003), "the live gateway of b");
        cr_assert_not(known.contains(1'002));
        cr_assert(known.contains(1'004) && known.contains(1'005),
                  "no gateway of c is known to live");
    }
}
