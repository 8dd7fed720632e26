#include "process/membership/backend_registry.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// A registry with a service "s" that has a cold start, and one "t" that has none.
struct cold_registry_fixture
{
    cold_registry_fixture() { registry.set_cold_services({{"s", {seconds{3}, 28}}}); }

    static backend_record record(const std::string& id, milliseconds cold,
                                 std::int64_t born = 1)
    {
        return {id, "s", {"10.0.0.1", 80}, "z", 16, false, born, cold};
    }

    bool is_cold(std::string_view id, time_point now) const
    {
        return registry.find_cold(id, now).has_value();
    }

    backend_registry registry;
};

} // namespace

// Guards against a remaining time that is counted anew with each look at the record.
Test(cold_backends, remaining_time_is_counted_from_the_moment_of_the_row)
{
    cold_registry_fixture it;
    it.registry.upsert(it.record("i-1", milliseconds{2'000}), start);
    cr_assert(it.is_cold("i-1", start + milliseconds{1'999}));
    cr_assert_eq(it.registry.find_cold("i-1", start)->per_second, 28);
    cr_assert_not(it.is_cold("i-1", start + milliseconds{2'000}));
    cr_assert_eq(it.registry.eligible("s", start).at(0).cold_per_second, 28);
    cr_assert_eq(it.registry.eligible("s", start + seconds{2}).at(0).cold_per_second, 0);
}

// Guards against a new process of a server that inherits the state of the previous one.
Test(cold_backends, new_incarnation_replaces_what_was_known)
{
    cold_registry_fixture it;
    it.registry.upsert(it.record("i-1", seconds{60}), start);
    it.registry.upsert(it.record("i-1", milliseconds{0}, 2), start);
    cr_assert_not(it.is_cold("i-1", start));
    it.registry.upsert(it.record("i-1", seconds{1}, 3), start + seconds{1});
    cr_assert(it.is_cold("i-1", start + milliseconds{1'999}));
    cr_assert_not(it.is_cold("i-1", start + seconds{2}));
}

// Guards against an old row, e.g. of a relay, that makes a server warm too early.
Test(cold_backends, row_of_the_same_incarnation_does_not_shorten_the_time)
{
    cold_registry_fixture it;
    const auto record = it.record("i-1", milliseconds{0});
    it.registry.upsert(record, start);
    cr_assert(it.registry.record_cold(record, start + seconds{3}, start));
    it.registry.upsert(record, start + seconds{1});
    cr_assert(it.is_cold("i-1", start + milliseconds{2'999}));
}

// Guards against a table that is read again, e.g. after an outage of the store, and makes
// all servers cold whose rows still state the time since their start.
Test(cold_backends, row_that_is_read_again_does_not_restart_the_time)
{
    cold_registry_fixture it;
    auto record = it.record("i-1", seconds{3});
    record.row_version = {0, 7};
    it.registry.upsert(record, start);
    it.registry.replace_all({record}, start + seconds{2});
    cr_assert_not(it.is_cold("i-1", start + seconds{3}));
    record.row_version = {0, 8};
    it.registry.upsert(record, start + seconds{4});
    cr_assert(it.is_cold("i-1", start + milliseconds{6'999}));
}

// Guards against answers of a former process, which say nothing of the present one.
Test(cold_backends, statement_of_a_former_incarnation_is_ignored)
{
    cold_registry_fixture it;
    it.registry.upsert(it.record("i-1", milliseconds{0}, 2), start);
    const auto former = it.record("i-1", milliseconds{0}, 1);
    cr_assert_not(it.registry.record_cold(former, start + seconds{3}, start));
    cr_assert_not(it.is_cold("i-1", start));
}

// Guards against the feature where the configuration does not ask for it.
Test(cold_backends, server_of_a_service_without_cold_start_is_never_cold)
{
    cold_registry_fixture it;
    auto record = it.record("i-1", seconds{60});
    record.service = "t";
    it.registry.upsert(record, start);
    cr_assert_not(it.is_cold("i-1", start));
    cr_assert_not(it.registry.record_cold(record, start + seconds{60}, start));
    cr_assert(it.registry.cold_backends({}, start).empty());
    cr_assert(it.registry.take_cold_changes(start).empty());
}

// Guards against the order in which the tables are read: rows may precede the
// configuration.
Test(cold_backends, row_that_was_read_before_the_configuration_counts)
{
    backend_registry registry;
    registry.upsert(cold_registry_fixture::record("i-1", seconds{3}), start);
    cr_assert_not(registry.find_cold("i-1", start).has_value());
    registry.set_cold_services({{"s", {seconds{3}, 28}}});
    cr_assert(registry.find_cold("i-1", start).has_value());
}

// Guards against full load on the servers of a zone that returns to service.
Test(cold_backends, servers_of_a_returned_zone_are_cold_for_the_time_of_their_service)
{
    cold_registry_fixture it;
    it.registry.upsert(it.record("i-1", milliseconds{0}), start);
    auto elsewhere = it.record("i-2", milliseconds{0});
    elsewhere.zone = "y";
    it.registry.upsert(elsewhere, start);
    auto plain = it.record("i-3", milliseconds{0});
    plain.service = "t";
    it.registry.upsert(plain, start);
    it.registry.assume_cold("z", start);
    cr_assert(it.is_cold("i-1", start + milliseconds{2'999}));
    cr_assert_not(it.is_cold("i-1", start + seconds{3}));
    cr_assert_not(it.is_cold("i-2", start));
    cr_assert_not(it.is_cold("i-3", start));
}

// Guards against log lines that repeat, or miss a server that turns warm.
Test(cold_backends, each_change_is_reported_once)
{
    cold_registry_fixture it;
    it.registry.upsert(it.record("i-1", seconds{3}), start);
    const auto cold = it.registry.take_cold_changes(start);
    cr_assert_eq(cold.size(), 1U);
    cr_assert_eq(cold[0].backend, "i-1");
    cr_assert_eq(cold[0].remaining, seconds{3});
    cr_assert(it.registry.take_cold_changes(start + seconds{1}).empty());
    const auto warm = it.registry.take_cold_changes(start + seconds{3});
    cr_assert_eq(warm.size(), 1U);
    cr_assert_eq(warm[0].remaining, milliseconds{0});
    cr_assert(it.registry.take_cold_changes(start + seconds{4}).empty());
}
