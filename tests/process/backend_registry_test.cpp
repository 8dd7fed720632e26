#include "process/membership/backend_registry.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// A registry with two backend servers of one service.
struct registry_fixture
{
    registry_fixture()
    {
        registry.upsert(record("i-1"), start);
        registry.upsert(record("i-2"), start);
    }

    static backend_record record(const std::string& id, bool leaving = false)
    {
        return {id, "model", {"10.0.0.1", 80}, "z", 16, leaving, 1};
    }

    std::size_t eligible_count(time_point now)
    {
        return registry.eligible("model", now).size();
    }

    backend_registry registry;
};

} // namespace

Test(backend_registry, leaving_backend_server_is_not_eligible)
{
    registry_fixture it;
    it.registry.upsert(registry_fixture::record("i-1", true), start);
    cr_assert_eq(it.eligible_count(start), 1U);
}

Test(backend_registry, removed_entry_is_gone_immediately_while_source_is_available)
{
    registry_fixture it;
    it.registry.remove("i-1", start);
    cr_assert_eq(it.eligible_count(start), 1U);
}

Test(backend_registry, entry_removed_in_an_outage_is_kept_for_two_seconds_after_recovery)
{
    registry_fixture it;
    it.registry.mark_source_unavailable(start);
    it.registry.remove("i-1", start + seconds{1});
    it.registry.remove_expired(start + seconds{60});
    cr_assert_eq(it.eligible_count(start), 2U);
    it.registry.mark_source_available(start + seconds{60});
    it.registry.remove_expired(start + seconds{61});
    cr_assert_eq(it.eligible_count(start), 2U);
    it.registry.remove_expired(start + seconds{62});
    cr_assert_eq(it.eligible_count(start), 1U);
}

Test(backend_registry, entry_that_reappears_within_grace_period_is_kept)
{
    registry_fixture it;
    it.registry.mark_source_unavailable(start);
    it.registry.mark_source_available(start + seconds{5});
    it.registry.replace_all({registry_fixture::record("i-2")}, start + seconds{5});
    it.registry.upsert(registry_fixture::record("i-1"), start + seconds{6});
    it.registry.remove_expired(start + seconds{9});
    cr_assert_eq(it.eligible_count(start + seconds{9}), 2U);
}

Test(backend_registry, consecutive_failures_increase_ejection_time)
{
    registry_fixture it;
    it.registry.record_failure("i-1", start);
    cr_assert_eq(it.eligible_count(start), 1U);
    cr_assert_eq(it.eligible_count(start + milliseconds{100}), 2U);
    it.registry.record_failure("i-1", start + milliseconds{100});
    cr_assert_eq(it.eligible_count(start + milliseconds{250}), 1U);
    cr_assert_eq(it.eligible_count(start + milliseconds{300}), 2U);
}

Test(backend_registry, ejected_backend_servers_are_eligible_if_all_are_ejected)
{
    registry_fixture it;
    it.registry.record_failure("i-1", start);
    it.registry.record_failure("i-2", start);
    cr_assert_eq(it.eligible_count(start), 2U);
}

Test(backend_registry, new_incarnation_starts_without_failures)
{
    registry_fixture it;
    it.registry.record_failure("i-1", start);
    auto restarted = registry_fixture::record("i-1");
    restarted.start_time_ms = 2;
    it.registry.upsert(restarted, start);
    cr_assert_eq(it.eligible_count(start), 2U);
}

Test(backend_registry, backend_server_with_reassigned_address_is_removed)
{
    registry_fixture it;
    it.registry.remove_reassigned("i-1");
    cr_assert_eq(it.eligible_count(start), 1U);
}

Test(backend_registry, single_stall_ejects_backend_server_for_eight_base_times)
{
    registry_fixture it;
    it.registry.record_stall("i-1", start);
    cr_assert_eq(it.eligible_count(start + milliseconds{700}), 1U);
    cr_assert_eq(it.eligible_count(start + milliseconds{800}), 2U);
}

Test(backend_registry, failed_backend_server_is_unhealthy_until_next_success)
{
    registry_fixture it;
    it.registry.record_failure("i-1", start);
    const auto unhealthy_count = [&] {
        std::size_t n = 0;
        for (const auto& one : it.registry.eligible("model", start + seconds{1}))
        {
            n += one.healthy ? 0 : 1;
        }
        return n;
    };
    cr_assert_eq(unhealthy_count(), 1U);
    it.registry.record_success("i-1");
    cr_assert_eq(unhealthy_count(), 0U);
}

Test(backend_registry, third_consecutive_error_response_ejects_backend_server)
{
    registry_fixture it;
    it.registry.record_error_response("i-1", start);
    it.registry.record_error_response("i-1", start);
    cr_assert_eq(it.eligible_count(start), 2U);
    it.registry.record_error_response("i-1", start);
    cr_assert_eq(it.eligible_count(start), 1U);
}

Test(backend_registry, backend_server_is_found_by_its_address)
{
    registry_fixture it;
    cr_assert_not_null(it.registry.find_by_address("10.0.0.1:80"));
    cr_assert_null(it.registry.find_by_address("10.0.0.1:81"));
}

Test(backend_registry, announced_leaving_is_not_undone_by_a_list_that_still_says_ready)
{
    registry_fixture it;
    cr_assert(it.registry.record_leaving(registry_fixture::record("i-1")));
    cr_assert_not(it.registry.record_leaving(registry_fixture::record("i-1")));
    it.registry.upsert(registry_fixture::record("i-1"), start);
    it.registry.replace_all(
        {registry_fixture::record("i-1"), registry_fixture::record("i-2")}, start);
    cr_assert_eq(it.eligible_count(start), 1U);
}

Test(backend_registry, leaving_backend_server_is_not_eligible_if_all_others_are_ejected)
{
    registry_fixture it;
    it.registry.record_leaving(registry_fixture::record("i-1"));
    it.registry.record_failure("i-2", start);
    cr_assert_eq(it.eligible_count(start), 1U);
    cr_assert_eq(it.registry.eligible("model", start).at(0).backend->id, "i-2");
}

Test(backend_registry, new_incarnation_is_not_leaving_by_the_word_of_the_old_one)
{
    registry_fixture it;
    const auto old = registry_fixture::record("i-1");
    it.registry.record_leaving(old);
    auto restarted = old;
    restarted.start_time_ms = 2;
    it.registry.upsert(restarted, start);
    cr_assert_eq(it.eligible_count(start), 2U);
    cr_assert_not(it.registry.record_leaving(old)); // a late answer
    cr_assert_eq(it.eligible_count(start), 2U);
}

Test(backend_registry,
     backend_server_that_asked_for_backoff_is_not_eligible_before_its_end)
{
    registry_fixture it;
    cr_assert(
        it.registry.record_backoff(registry_fixture::record("i-1"), start + seconds{2}));
    cr_assert_eq(it.eligible_count(start + milliseconds{1'999}), 1U);
    cr_assert_eq(it.eligible_count(start + seconds{2}), 2U);
}

Test(backend_registry, backoff_has_no_fall_back_if_all_others_are_ejected)
{
    registry_fixture it;
    it.registry.record_backoff(registry_fixture::record("i-1"), start + seconds{2});
    it.registry.record_failure("i-2", start);
    cr_assert_eq(it.registry.eligible("model", start).at(0).backend->id, "i-2");
    it.registry.record_backoff(registry_fixture::record("i-2"), start + seconds{1});
    cr_assert_eq(it.eligible_count(start), 0U);
    cr_assert_eq(*it.registry.next_backoff_end("model", start), start + seconds{1});
}

Test(backend_registry, shorter_backoff_does_not_replace_a_longer_one)
{
    registry_fixture it;
    const auto record = registry_fixture::record("i-1");
    it.registry.record_backoff(record, start + seconds{2});
    cr_assert_not(it.registry.record_backoff(record, start + seconds{1}));
    it.registry.record_success("i-1");
    cr_assert_eq(it.eligible_count(start + milliseconds{1'500}), 1U);
    cr_assert(it.registry.record_backoff(record, start + seconds{3}));
    cr_assert_eq(it.eligible_count(start + milliseconds{2'500}), 1U);
}

Test(backend_registry, new_incarnation_ends_the_backoff_of_the_old_one)
{
    registry_fixture it;
    const auto old = registry_fixture::record("i-1");
    it.registry.record_backoff(old, start + seconds{9});
    auto restarted = old;
    restarted.start_time_ms = 2;
    it.registry.upsert(restarted, start);
    cr_assert_eq(it.eligible_count(start), 2U);
    cr_assert_not(it.registry.record_backoff(old, start + seconds{9})); // a late answer
    cr_assert_eq(it.eligible_count(start), 2U);
}

Test(backend_registry, leaving_backend_server_does_not_return_from_its_backoff)
{
    registry_fixture it;
    const auto record = registry_fixture::record("i-1");
    it.registry.record_backoff(record, start + seconds{2});
    it.registry.record_leaving(record);
    cr_assert_not(it.registry.next_backoff_end("model", start).has_value());
}

Test(backend_registry, silence_seen_by_several_streams_counts_as_one_stall)
{
    registry_fixture one;
    registry_fixture several;
    one.registry.record_stall("i-1", start);
    for (int i = 0; i < 4; ++i)
    {
        several.registry.record_stall("i-1", start + milliseconds{i});
    }
    const auto end = start + milliseconds{900};
    cr_assert_eq(one.eligible_count(end), 2U);
    cr_assert_eq(several.eligible_count(end), 2U);
}
