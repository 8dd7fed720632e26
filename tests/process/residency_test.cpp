/// Requests that may be served in some regions only: none may reach a backend server
/// elsewhere, not even as a helper.
#include "process/admission/dispatcher.hpp"

#include <criterion/criterion.h>

#include <poll.h>

#include <array>
#include <string>
#include <vector>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

using names = std::vector<std::string>;

/// A dispatcher in zone `a` of region `north`. Zone `b` is in `south`, `x` in no known
/// region. Each has one backend server of a single slot.
struct residency_fixture
{
    residency_fixture()
    {
        request.service = "plain";
        for (const std::string zone : {"a", "b", "x"})
        {
            add("i-" + zone, zone);
        }
    }

    void add(const std::string& id, const std::string& zone)
    {
        const backend_record record{id, "plain", {"10.0.0.1", 80}, zone, 1, false, 1};
        dispatch.update_registry(start, [&](auto& it) { it.upsert(record, start); });
    }

    void evacuate(std::string_view zone)
    {
        dispatch.update_registry(start, [&](auto& it) { it.evacuate(zone); });
    }

    void allow(const names& regions)
    {
        allowed = regions;
        request.regions = allowed;
    }

    /// Returns where requests are placed until no slot is left.
    names place_all()
    {
        names ids;
        while (const auto place = dispatch.try_place("ann", request, start))
        {
            ids.push_back(place->main.backend.id);
        }
        return ids;
    }

    static bool is_woken(const queued_request& it)
    {
        pollfd entry{it.wake().get(), POLLIN, 0};
        return poll(&entry, 1, 0) == 1;
    }

    names allowed;
    placement_request request;
    dispatcher dispatch{"a", "", {}, {{"a", "north"}, {"b", "south"}}};
};

} // namespace

Test(residency, request_without_regions_is_placed_anywhere)
{
    residency_fixture it;
    cr_assert_eq(it.place_all().size(), 3U);
}

Test(residency, request_is_placed_in_its_regions_only)
{
    residency_fixture it;
    it.allow({"south", "west"});
    cr_assert_eq(it.place_all(), names{"i-b"});
    cr_assert_not(it.dispatch.exclusion_of(it.request));
}

Test(residency, zone_without_a_known_region_serves_no_such_request)
{
    residency_fixture it;
    it.allow({"north", "south", ""});
    cr_assert_eq(it.place_all(), (names{"i-a", "i-b"}));
}

Test(residency, request_without_a_backend_server_in_its_regions_is_excluded)
{
    residency_fixture it;
    it.allow({"west"});
    cr_assert(it.place_all().empty());
    cr_assert(it.dispatch.exclusion_of(it.request).outside_regions);
}

Test(residency, request_whose_route_and_customer_share_no_region_is_excluded)
{
    residency_fixture it;
    it.allow({});
    cr_assert(it.place_all().empty());
    cr_assert(it.dispatch.exclusion_of(it.request).outside_regions);
}

Test(residency, request_whose_only_zone_is_evacuated_is_excluded_with_that_zone)
{
    residency_fixture it;
    it.allow({"north"});
    it.evacuate("a");
    const auto exclusion = it.dispatch.exclusion_of(it.request);
    cr_assert_not(exclusion.outside_regions);
    cr_assert_eq(exclusion.evacuated_zones, names{"a"});
}

Test(residency, waiting_request_is_woken_when_the_only_zone_of_its_region_is_evacuated)
{
    residency_fixture it;
    cr_assert_eq(it.place_all().size(), 3U);
    it.allow({"north"});
    queued_request queued("ann", it.request, start, start + seconds{1},
                          {time_point::max()});
    it.dispatch.enqueue(queued, start);
    it.evacuate("b");
    cr_assert_not(residency_fixture::is_woken(queued));
    it.evacuate("a");
    cr_assert(residency_fixture::is_woken(queued));
    cr_assert_not(it.dispatch.dequeue(queued, start).has_value());
}

Test(residency, waiting_request_takes_no_slot_that_becomes_free_elsewhere)
{
    residency_fixture it;
    const auto here = it.dispatch.try_place("ann", it.request, start);
    cr_assert_eq(here->main.backend.zone, "a");
    it.allow({"north"});
    queued_request queued("ann", it.request, start, start + seconds{1},
                          {time_point::max()});
    it.dispatch.enqueue(queued, start);
    cr_assert_not(residency_fixture::is_woken(queued));
    it.dispatch.release(*here, start);
    cr_assert_eq(it.dispatch.dequeue(queued, start)->main.backend.id, "i-a");
}

/// A prompt over the memory of one engine needs helpers: those of other regions would
/// receive a part of it.
Test(residency, helpers_of_other_regions_are_not_used)
{
    engine_cost_model engine;
    engine.slots = 4;
    engine.memory_tokens = 50'000;
    engine.prefill_tokens_per_ms = 200;
    engine.steps_per_pass = 43;
    residency_fixture it;
    for (const auto& [id, zone] : std::array<std::pair<std::string, std::string>, 5>{
             {{"m-1", "a"}, {"m-2", "a"}, {"m-3", "b"}, {"m-4", "x"}, {"m-5", "b"}}})
    {
        const backend_record record{id, "model", {"10.0.0.1", 80}, zone, 4, false, 1};
        it.dispatch.update_registry(start, [&](auto& one) { one.upsert(record, start); });
    }
    it.request.service = "model";
    it.request.engine = &engine;
    it.request.tightest_gap = milliseconds{250};
    it.request.prompt_tokens = 80'000;
    it.request.output_tokens = 100;
    it.allow({"north"});
    const auto place = it.dispatch.try_place("ann", it.request, start);
    cr_assert(place.has_value());
    cr_assert_eq(place->main.backend.zone, "a");
    cr_assert_geq(place->helpers.size(), 1U);
    for (const auto& one : place->helpers)
    {
        cr_assert_eq(one.backend.zone, "a");
    }
}
