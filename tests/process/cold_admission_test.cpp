#include "process/admission/dispatcher.hpp"
#include "process/placement/cell_placement.hpp"

#include <criterion/criterion.h>

#include <poll.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};
constexpr milliseconds cold_time{3'000};

/// The dispatcher of a gateway that owns one slot of each cold backend server, with
/// servers of 100 request slots.
struct cold_fixture
{
    cold_fixture()
    {
        request.service = "s";
        dispatch.update_cold_allowance(start, [](cold_allowance& it) {
            it.set_bound({1, 0});
            it.set_predecessors({});
        });
        dispatch.update_registry(start, [](backend_registry& it) {
            it.set_cold_services({{"s", {cold_time, 1}}});
        });
    }

    void add(const std::string& id, milliseconds cold, time_point now = start,
             const std::string& zone = "z", std::int64_t born = 1)
    {
        const backend_record record{id,   "s", {"10.0.0.1", 80}, zone, 100, false,
                                    born, cold};
        dispatch.update_registry(now,
                                 [&](backend_registry& it) { it.upsert(record, now); });
    }

    /// Places one request; returns the id of its backend server, empty if there is none.
    std::string place(time_point now)
    {
        const auto it = dispatch.try_place("ann", request, now);
        return it ? it->main.backend.id : "";
    }

    /// Places `count` requests; returns how many each backend server got.
    std::map<std::string, int> place_many(int count, time_point now)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i)
        {
            request.spread = static_cast<std::uint64_t>(i) * 0x9e3779b97f4a7c15U;
            ++counts[place(now)];
        }
        return counts;
    }

    queued_request make_queued()
    {
        return {"ann", request, start, start + seconds{1},
                caller_deadlines{time_point::max()}};
    }

    placement_request request;
    dispatcher dispatch{"z"};
};

} // namespace

// Guards against requests beyond the allowance, which crash a cold backend server.
Test(cold_admission, cold_server_gets_no_more_requests_than_allowed)
{
    cold_fixture it;
    it.add("cold", cold_time);
    cr_assert_eq(it.place(start), "cold");
    cr_assert_eq(it.place(start), "");
    const auto later = start + cold_slot_interval;
    cr_assert_eq(it.place(later - milliseconds{1}), "");
    cr_assert_eq(it.place(later), "cold");
    cr_assert_eq(it.place(later), "");
}

// Guards against a limit that outlasts the cold start.
Test(cold_admission, server_is_unlimited_once_it_is_warm)
{
    cold_fixture it;
    it.add("cold", cold_time);
    cr_assert_eq(it.place_many(10, start)["cold"], 1);
    cr_assert_eq(it.place_many(10, start + cold_time)["cold"], 10);
}

// Guards against a limit where the configuration states no cold start.
Test(cold_admission, service_without_cold_start_is_not_limited)
{
    cold_fixture it;
    it.dispatch.update_registry(start,
                                [](backend_registry& one) { one.set_cold_services({}); });
    it.add("cold", cold_time);
    cr_assert_eq(it.place_many(10, start)["cold"], 10);
    cr_assert_eq(it.dispatch.count_cold(start).cold, 0U);
}

// Guards against a gateway that sends to cold servers before it knows its share.
Test(cold_admission, gateway_without_known_order_uses_warm_servers_only)
{
    cold_fixture it;
    it.dispatch.update_cold_allowance(start, [](cold_allowance& one) {
        one = cold_allowance("me");
        one.set_bound({1, 5});
    });
    it.add("cold", cold_time);
    cr_assert_eq(it.place(start), "");
    it.add("warm", milliseconds{0});
    cr_assert_eq(it.place_many(5, start)["warm"], 5);
}

// Guards against a cold server that gets a fair share although it is slow.
Test(cold_admission, warm_server_is_preferred)
{
    cold_fixture it;
    it.dispatch.update_cold_allowance(start, [](cold_allowance& one) {
        one.set_bound({1, 1'000});
    });
    it.add("cold", cold_time);
    it.add("warm", milliseconds{0});
    const auto counts = it.place_many(20, start);
    cr_assert_eq(counts.count("cold"), 0U);
    cr_assert_eq(counts.at("warm"), 20);
}

// Guards against requests that starve because the only servers of the gateway's zone are
// cold and it has no allowance for them.
Test(cold_admission, warm_server_of_another_zone_is_used_if_the_own_zone_is_cold)
{
    cold_fixture it;
    it.add("cold", cold_time);
    it.add("far", milliseconds{0}, start, "other");
    cr_assert_eq(it.place_many(5, start)["far"], 5);
}

// The same in a fleet that is divided into cells, where a request first waits for its
// cell.
Test(cold_admission, request_leaves_its_cell_if_the_cell_is_cold)
{
    cold_fixture it;
    it.add("cold", cold_time);
    it.add("far", milliseconds{0}, start, "other");
    it.dispatch.set_cells(true);
    cr_assert_eq(it.place(start), "cold");
    auto queued = it.make_queued();
    it.dispatch.enqueue(queued, start);
    cr_assert_not(it.dispatch.serve(queued, start));
    load_report_message digest;
    digest.gateway = "g";
    digest.zone = "other";
    digest.sequence = 1;
    digest.is_digest = true;
    const auto later = start + cell_patience;
    it.dispatch.apply_report(digest, later);
    cr_assert(it.dispatch.serve(queued, later));
    cr_assert_eq(it.dispatch.dequeue(queued, later)->main.backend.id, "far");
}

// Guards against a request that sleeps until its timeout although allowance has returned.
Test(cold_admission, queued_request_is_due_when_allowance_returns)
{
    cold_fixture it;
    it.add("cold", cold_time);
    cr_assert_eq(it.place(start), "cold");
    auto queued = it.make_queued();
    it.dispatch.enqueue(queued, start);
    const auto due = it.dispatch.recheck_time(queued);
    cr_assert_eq(due, start + cold_slot_interval);
    cr_assert_not(it.dispatch.serve(queued, due - milliseconds{1}));
    cr_assert(it.dispatch.serve(queued, due));
    cr_assert_eq(it.dispatch.dequeue(queued, due)->main.backend.id, "cold");
}

// Guards against a request of a gateway without a slot that waits beyond the cold start.
Test(cold_admission, queued_request_without_share_is_due_when_the_server_is_warm)
{
    cold_fixture it;
    it.dispatch.update_cold_allowance(start, [](cold_allowance& one) {
        one.set_bound({0, 0});
    });
    it.add("cold", cold_time);
    auto queued = it.make_queued();
    it.dispatch.enqueue(queued, start);
    const auto due = it.dispatch.recheck_time(queued);
    cr_assert_eq(due, start + cold_time);
    cr_assert(it.dispatch.serve(queued, due));
    cr_assert(it.dispatch.dequeue(queued, due).has_value());
}

// Guards against all waiting requests being woken each time that a slot is used.
Test(cold_admission, one_queued_request_waits_for_the_allowance_of_all)
{
    cold_fixture it;
    it.add("cold", cold_time);
    cr_assert_eq(it.place(start), "cold");
    auto first = it.make_queued();
    auto second = it.make_queued();
    it.dispatch.enqueue(first, start);
    it.dispatch.enqueue(second, start);
    const auto due = start + cold_slot_interval;
    cr_assert_eq(it.dispatch.recheck_time(first), due);
    cr_assert_eq(it.dispatch.recheck_time(second), time_point::max());
    cr_assert(it.dispatch.serve(first, due));
    cr_assert_eq(it.dispatch.recheck_time(second), due + cold_slot_interval);
    (void)it.dispatch.dequeue(first, due);
    (void)it.dispatch.dequeue(second, due);
}

// Guards against queued work that floods a server which turned cold while it waited.
Test(cold_admission, work_that_waits_for_a_server_that_turns_cold_gets_its_allowance_only)
{
    cold_fixture it;
    const backend_record record{"b", "s", {"10.0.0.1", 80}, "z", 1, false, 1};
    it.dispatch.update_registry(
        start, [&](backend_registry& one) { one.upsert(record, start); });
    const auto running = it.dispatch.try_place("ann", it.request, start);
    auto first = it.make_queued();
    auto second = it.make_queued();
    it.dispatch.enqueue(first, start);
    it.dispatch.enqueue(second, start);
    it.dispatch.update_registry(start, [&](backend_registry& one) {
        cr_assert(one.record_cold(record, start + cold_time, start));
    });
    it.dispatch.release(*running, start);
    const auto place = it.dispatch.dequeue(first, start);
    cr_assert(place.has_value());
    it.dispatch.release(*place, start);
    cr_assert_not(it.dispatch.serve(second, start));
    const auto due = it.dispatch.recheck_time(second);
    cr_assert_eq(due, start + cold_slot_interval);
    cr_assert(it.dispatch.serve(second, due));
    (void)it.dispatch.dequeue(second, due);
}

// Guards against requests that are sent so late that they meet those of the next second.
Test(cold_admission, placement_at_a_cold_server_must_be_sent_soon)
{
    cold_fixture it;
    it.add("cold", cold_time);
    const auto cold = it.dispatch.try_place("ann", it.request, start);
    cr_assert_eq(cold->send_by, start + cold_send_timeout);
    it.add("warm", milliseconds{0});
    const auto warm = it.dispatch.try_place("ann", it.request, start);
    cr_assert_eq(warm->send_by, time_point::max());
}

// Guards against helpers that are not counted: each part is a request to its engine.
Test(cold_admission, parts_of_helpers_spend_allowance)
{
    cold_fixture it;
    engine_cost_model engine;
    engine.slots = 16;
    engine.memory_tokens = 232'000;
    engine.prefill_tokens_per_ms = 206;
    engine.steps_per_pass = 43;
    it.request.engine = &engine;
    it.request.tightest_gap = milliseconds{250};
    it.request.prompt_tokens = 150'000;
    it.request.output_tokens = 500;
    for (int i = 0; i < 8; ++i)
    {
        it.add("i-" + std::to_string(i), cold_time);
    }
    const auto place = it.dispatch.try_place("ann", it.request, start);
    cr_assert(place.has_value());
    cr_assert_geq(place->helpers.size(), 1U);
    std::set<std::string> used{place->main.backend.id};
    for (const auto& helper : place->helpers)
    {
        used.insert(helper.backend.id);
    }
    cr_assert_eq(it.dispatch.count_cold(start).placements, used.size());
    it.dispatch.release(*place, start);
    it.request.engine = nullptr;
    for (const auto& [id, count] : it.place_many(20, start))
    {
        cr_assert_not(used.contains(id));
    }
}

// Guards against a prompt whose prefill waits for a cold helper although warm ones are
// free.
Test(cold_admission, helpers_are_warm_if_there_are_enough)
{
    cold_fixture it;
    engine_cost_model engine;
    engine.slots = 16;
    engine.memory_tokens = 232'000;
    engine.prefill_tokens_per_ms = 206;
    engine.steps_per_pass = 43;
    it.request.engine = &engine;
    it.request.tightest_gap = milliseconds{250};
    it.request.prompt_tokens = 150'000;
    it.request.output_tokens = 500;
    for (int i = 0; i < 12; ++i)
    {
        it.add("i-" + std::to_string(i), i % 3 == 0 ? cold_time : milliseconds{0});
    }
    const auto place = it.dispatch.try_place("ann", it.request, start);
    cr_assert(place.has_value());
    cr_assert_geq(place->helpers.size(), 1U);
    cr_assert_eq(it.dispatch.count_cold(start).placements, 0U);
}

// Guards against counters that miss what was withheld.
Test(cold_admission, counts_follow_cold_servers_and_their_placements)
{
    cold_fixture it;
    it.add("cold", cold_time);
    cr_assert_eq(it.place(start), "cold");
    cr_assert_eq(it.place(start), "");
    const auto counts = it.dispatch.count_cold(start);
    cr_assert_eq(counts.cold, 1U);
    cr_assert_eq(counts.placements, 1U);
    cr_assert_eq(counts.withheld, 1U);
    cr_assert_eq(it.dispatch.count_cold(start + cold_time).cold, 0U);
}
