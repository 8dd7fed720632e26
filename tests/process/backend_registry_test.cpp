#include "process/backend_registry.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// A roster with two backend servers of one service.
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

Test(backend_registry, leaving_backend_server_gets_no_work)
{
    registry_fixture it;
    it.registry.upsert(registry_fixture::record("i-1", true), start);
    cr_assert_eq(it.eligible_count(start), 1U);
}

Test(backend_registry, lost_entry_is_gone_at_once_while_its_source_answers)
{
    registry_fixture it;
    it.registry.remove("i-1", start);
    cr_assert_eq(it.eligible_count(start), 1U);
}

Test(backend_registry, entry_lost_in_an_outage_has_two_seconds_to_come_back)
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

Test(backend_registry, entry_that_comes_back_in_time_stays)
{
    registry_fixture it;
    it.registry.mark_source_unavailable(start);
    it.registry.mark_source_available(start + seconds{5});
    it.registry.replace_all({registry_fixture::record("i-2")}, start + seconds{5});
    it.registry.upsert(registry_fixture::record("i-1"), start + seconds{6});
    it.registry.remove_expired(start + seconds{9});
    cr_assert_eq(it.eligible_count(start + seconds{9}), 2U);
}

Test(backend_registry, failures_in_a_row_are_avoided_longer_each_time)
{
    registry_fixture it;
    it.registry.record_failure("i-1", start);
    cr_assert_eq(it.eligible_count(start), 1U);
    cr_assert_eq(it.eligible_count(start + milliseconds{100}), 2U);
    it.registry.record_failure("i-1", start + milliseconds{100});
    cr_assert_eq(it.eligible_count(start + milliseconds{250}), 1U);
    cr_assert_eq(it.eligible_count(start + milliseconds{300}), 2U);
}

Test(backend_registry, all_avoided_are_offered_rather_than_none)
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
    restarted.born_ms = 2;
    it.registry.upsert(restarted, start);
    cr_assert_eq(it.eligible_count(start), 2U);
}

Test(backend_registry, address_taken_over_by_another_server_is_dropped)
{
    registry_fixture it;
    it.registry.remove_reassigned("i-1");
    cr_assert_eq(it.eligible_count(start), 1U);
}

Test(backend_registry, stalled_backend_server_is_avoided_at_once_for_long)
{
    registry_fixture it;
    it.registry.record_stall("i-1", start);
    cr_assert_eq(it.eligible_count(start + milliseconds{700}), 1U);
    cr_assert_eq(it.eligible_count(start + milliseconds{800}), 2U);
}

Test(backend_registry, failure_leaves_doubt_until_the_next_answer)
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

Test(backend_registry, single_answered_failure_is_not_held_against_the_backend_server)
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
