/// Evacuated availability zones: no new request may be placed there, while requests that
/// wait must be placed elsewhere or refused at once.
#include "process/admission/dispatcher.hpp"

#include <criterion/criterion.h>

#include <poll.h>

#include <string>
#include <vector>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// A dispatcher in zone `a` with one backend server of a single slot in each of two
/// zones.
struct evacuation_fixture
{
    evacuation_fixture()
    {
        request.service = "plain";
        add("i-a", "a");
        add("i-b", "b");
    }

    void add(const std::string& id, const std::string& zone, bool leaving = false)
    {
        const backend_record record{id, "plain", {"10.0.0.1", 80}, zone, 1, leaving, 1};
        dispatch.update_registry(start, [&](auto& it) { it.upsert(record, start); });
    }

    bool evacuate(std::string_view zone)
    {
        bool changed = false;
        dispatch.update_registry(start, [&](auto& it) { changed = it.evacuate(zone); });
        return changed;
    }

    bool restore(std::string_view zone, time_point now = start)
    {
        bool changed = false;
        dispatch.update_registry(now, [&](auto& it) { changed = it.restore(zone, now); });
        return changed;
    }

    std::vector<std::string> eligible(time_point now = start)
    {
        std::vector<std::string> ids;
        dispatch.update_registry(now, [&](auto& it) {
            for (const auto& one : it.eligible("plain", now))
            {
                ids.push_back(one.backend->id);
            }
        });
        return ids;
    }

    std::optional<placement> place() { return dispatch.try_place("ann", request, start); }

    [[nodiscard]] std::vector<std::string> evacuated_zones() const
    {
        return dispatch.exclusion_of(request).evacuated_zones;
    }

    queued_request make_request()
    {
        return {"ann", request, start, start + seconds{1}, {time_point::max()}};
    }

    static bool is_woken(const queued_request& it)
    {
        pollfd entry{it.wake().get(), POLLIN, 0};
        return poll(&entry, 1, 0) == 1;
    }

    placement_request request;
    dispatcher dispatch{"a"};
};

using ids = std::vector<std::string>;

} // namespace

Test(evacuation, evacuated_zone_has_no_eligible_backend_server)
{
    evacuation_fixture it;
    cr_assert(it.evacuate("a"));
    cr_assert_eq(it.eligible(), ids{"i-b"});
}

Test(evacuation, zone_evacuated_twice_changes_once)
{
    evacuation_fixture it;
    cr_assert(it.evacuate("a"));
    cr_assert_not(it.evacuate("a"));
    cr_assert(it.restore("a"));
    cr_assert_not(it.restore("a"));
    cr_assert_eq(it.eligible().size(), 2U);
}

/// If all backend servers are ejected, the ejected ones are used: this must not bring an
/// evacuated one back.
Test(evacuation, ejected_backend_servers_are_used_before_evacuated_ones)
{
    evacuation_fixture it;
    it.evacuate("a");
    it.dispatch.update_registry(start, [&](auto& registry) {
        registry.record_failure("i-b", start);
        registry.record_failure("i-a", start);
    });
    cr_assert_eq(it.eligible(), ids{"i-b"});
}

Test(evacuation, backend_server_that_joins_an_evacuated_zone_is_not_eligible)
{
    evacuation_fixture it;
    it.evacuate("a");
    it.add("i-a2", "a");
    cr_assert_eq(it.eligible(), ids{"i-b"});
}

Test(evacuation, zone_without_backend_servers_has_no_effect)
{
    evacuation_fixture it;
    cr_assert(it.evacuate("c"));
    cr_assert_eq(it.eligible().size(), 2U);
    cr_assert(it.evacuated_zones().empty());
}

Test(evacuation, two_zones_are_evacuated_independently)
{
    evacuation_fixture it;
    it.add("i-c", "c");
    it.evacuate("a");
    it.evacuate("b");
    cr_assert_eq(it.eligible(), ids{"i-c"});
    it.restore("a");
    cr_assert_eq(it.eligible().size(), 2U);
}

Test(evacuation, service_in_evacuated_zones_only_names_them)
{
    evacuation_fixture it;
    it.evacuate("a");
    cr_assert(it.evacuated_zones().empty());
    it.evacuate("b");
    cr_assert_eq(it.evacuated_zones(), (ids{"a", "b"}));
    it.request.service = "unlisted";
    cr_assert(it.evacuated_zones().empty(),
              "a service without backend servers waits for one");
}

/// A restarting backend server outside the zone is back within seconds, so requests wait
/// for it.
Test(evacuation, service_with_a_leaving_backend_server_elsewhere_is_not_evacuated)
{
    evacuation_fixture it;
    it.add("i-b", "b", true);
    it.evacuate("a");
    cr_assert(it.evacuated_zones().empty());
}

Test(evacuation, returned_zone_is_assumed_cold_from_its_return)
{
    evacuation_fixture it;
    it.dispatch.update_registry(start, [](auto& registry) {
        registry.set_cold_services({{"plain", {seconds{3}, 28}}});
    });
    it.evacuate("a");
    const auto now = start + seconds{30};
    it.restore("a", now);
    it.dispatch.update_registry(now, [&](auto& registry) {
        const auto cold = registry.find_cold("i-a", now);
        cr_assert(cold.has_value());
        cr_assert(cold->until == now + seconds{3});
        cr_assert_not(registry.find_cold("i-b", now).has_value());
    });
}

Test(evacuation, end_of_a_backoff_in_an_evacuated_zone_is_not_waited_for)
{
    evacuation_fixture it;
    it.dispatch.update_registry(start, [&](auto& registry) {
        registry.record_backoff(*registry.find("i-a"), start + seconds{5});
    });
    it.evacuate("a");
    it.dispatch.update_registry(start, [&](auto& registry) {
        cr_assert_not(registry.next_backoff_end("plain", start).has_value());
    });
}

Test(evacuation, placement_made_before_the_evacuation_is_recognized)
{
    evacuation_fixture it;
    const auto place = it.place();
    cr_assert_eq(place->main.backend.id, "i-a");
    cr_assert_not(it.dispatch.evacuated_zone_in(*place).has_value());
    it.evacuate("a");
    cr_assert_eq(it.dispatch.evacuated_zone_in(*place), "a");
}

Test(evacuation, placement_with_a_helper_in_the_zone_is_recognized)
{
    evacuation_fixture it;
    placement place;
    place.main.backend.zone = "b";
    place.helpers.resize(1);
    place.helpers[0].backend.zone = "a";
    it.evacuate("a");
    cr_assert_eq(it.dispatch.evacuated_zone_in(place), "a");
}

Test(evacuation, queued_request_is_not_placed_at_a_slot_that_becomes_free_in_the_zone)
{
    evacuation_fixture it;
    const auto here = it.place();
    const auto there = it.place();
    auto queued = it.make_request();
    it.dispatch.enqueue(queued, start);
    it.evacuate("a");
    it.dispatch.release(*here, start);
    cr_assert_not(evacuation_fixture::is_woken(queued));
    it.dispatch.release(*there, start);
    cr_assert(evacuation_fixture::is_woken(queued));
    cr_assert_eq(it.dispatch.dequeue(queued, start)->main.backend.id, "i-b");
}

Test(evacuation, queued_request_is_woken_when_no_zone_is_left_to_its_service)
{
    evacuation_fixture it;
    const auto here = it.place();
    const auto there = it.place();
    auto queued = it.make_request();
    it.dispatch.enqueue(queued, start);
    it.evacuate("a");
    cr_assert_not(evacuation_fixture::is_woken(queued));
    it.evacuate("b");
    cr_assert(evacuation_fixture::is_woken(queued));
    cr_assert_not(it.dispatch.dequeue(queued, start).has_value());
}

/// The last backend server outside the zones may also leave the list.
Test(evacuation, queued_request_is_woken_when_the_last_backend_server_elsewhere_goes)
{
    evacuation_fixture it;
    const auto here = it.place();
    const auto there = it.place();
    auto queued = it.make_request();
    it.dispatch.enqueue(queued, start);
    it.evacuate("a");
    it.dispatch.update_registry(start,
                                [&](auto& registry) { registry.remove("i-b", start); });
    cr_assert(evacuation_fixture::is_woken(queued));
    cr_assert_not(it.dispatch.dequeue(queued, start).has_value());
}

Test(evacuation, queued_request_is_placed_when_a_zone_returns)
{
    evacuation_fixture it;
    const auto first = it.place();
    const auto second = it.place();
    it.evacuate("a");
    auto queued = it.make_request();
    it.dispatch.enqueue(queued, start);
    it.dispatch.release(*first, start);
    it.restore("a");
    cr_assert(evacuation_fixture::is_woken(queued));
    cr_assert_eq(it.dispatch.dequeue(queued, start)->main.backend.id, "i-a");
}
