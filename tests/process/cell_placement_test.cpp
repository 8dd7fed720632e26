#include "process/cell_placement.hpp"

#include "process/dispatcher.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <list>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// The dispatcher of a gateway in a large fleet, before two plain backend servers of two
/// slots in each of the zones a, b and c.
struct cell_fixture
{
    explicit cell_fixture(const std::string& zone = "a") : dispatch(zone, "me")
    {
        request.service = "plain";
        dispatch.set_cell(true, 20);
        dispatch.update_registry(start, [&](auto& registry) {
            for (const char* one : {"a", "b", "c"})
            {
                for (int i = 0; i < 2; ++i)
                {
                    registry.upsert(
                        {fmt::format("{}-{}", one, i), "plain", {}, one, 2, false, 1},
                        start);
                }
            }
        });
    }

    /// Takes all slots of the cell.
    void fill_cell()
    {
        for (int i = 0; i < 4; ++i)
        {
            cr_assert_eq(place_now(), "a");
        }
    }

    std::string place_now()
    {
        const auto it = dispatch.try_place("ann", request, start);
        return it ? it->main.backend.zone : "";
    }

    /// Delivers the digest of a zone whose servers run `requests` each.
    void send_digest(const std::string& zone, std::uint32_t requests, time_point now)
    {
        load_report_message it;
        it.gateway = zone + "/0";
        it.zone = zone;
        it.is_digest = true;
        it.sequence = ++sequence;
        it.loads = {{zone + "-0", {requests}}, {zone + "-1", {requests}}};
        dispatch.apply_report(it, now);
    }

    /// Returns the zone of the queued request; empty if it still waits.
    std::string zone_at(time_point now)
    {
        const auto it = dispatch.dequeue(queued, now);
        return it ? it->main.backend.zone : "";
    }

    placement_request request;
    dispatcher dispatch;
    std::uint64_t sequence = 0;
    queued_request queued{"ann", request, start, start + seconds{1}, start + seconds{60}};
};

} // namespace

Test(cell_placement, request_stays_in_its_cell_while_there_is_a_slot)
{
    cell_fixture it;
    it.send_digest("b", 0, start);
    it.fill_cell();
}

Test(cell_placement, request_in_a_full_cell_waits_before_it_leaves)
{
    cell_fixture it;
    it.fill_cell();
    it.dispatch.enqueue(it.queued, start);
    it.send_digest("b", 0, start + cell_patience - milliseconds{1});
    cr_assert_eq(it.dispatch.waiting(), 1U);
    it.send_digest("b", 0, start + cell_patience);
    cr_assert_eq(it.zone_at(start + cell_patience), "b");
}

Test(cell_placement, request_leaves_for_the_least_loaded_zone)
{
    cell_fixture it;
    it.fill_cell();
    it.dispatch.enqueue(it.queued, start);
    it.send_digest("b", 1, start + milliseconds{10});
    it.send_digest("c", 0, start + cell_patience);
    cr_assert_eq(it.zone_at(start + cell_patience), "c");
}

Test(cell_placement, zones_without_a_current_digest_get_no_requests)
{
    cell_fixture it;
    it.fill_cell();
    it.dispatch.enqueue(it.queued, start);
    it.send_digest("b", 0, start);
    cr_assert_eq(it.zone_at(start + seconds{1}), "");
}

Test(cell_placement, gateway_without_backend_servers_in_its_zone_uses_all)
{
    cell_fixture it("elsewhere");
    cr_assert_neq(it.place_now(), "");
}

Test(cell_placement, cell_of_few_engines_shares_those_of_the_fleet)
{
    const engine_cost_model engine;
    placement_request request;
    const std::vector<placement_candidate> few(16);
    const std::vector<placement_candidate> enough(17);
    cr_assert(is_sufficient_cell(request, few), "a plain service");
    request.engine = &engine;
    cr_assert_not(is_sufficient_cell(request, few));
    cr_assert(is_sufficient_cell(request, enough));
}

/// Plays the load of a large fleet on the dispatchers themselves: 20 gateways a zone,
/// each with its own view, told of the others only by reports within the cell and by the
/// digests of the other zones.
Test(cell_placement, fleet_of_cells_spreads_a_peak_of_one_zone_without_overload)
{
    constexpr int gateways_per_zone = 20;
    constexpr std::uint32_t slots = 4;
    const std::vector<std::string> zones{"a", "b", "c"};
    std::map<std::string, std::list<dispatcher>> cells;
    for (const auto& zone : zones)
    {
        for (int i = 0; i < gateways_per_zone; ++i)
        {
            auto& it = cells[zone].emplace_back(zone, fmt::format("{}/{}", zone, i));
            it.set_cell(true, gateways_per_zone);
            it.update_registry(start, [&](auto& registry) {
                for (const auto& other : zones)
                {
                    for (int n = 0; n < 5; ++n)
                    {
                        registry.upsert({fmt::format("{}-{}", other, n),
                                         "plain",
                                         {},
                                         other,
                                         slots,
                                         false,
                                         1},
                                        start);
                    }
                }
            });
        }
    }
    placement_request request;
    request.service = "plain";
    std::uint64_t sequence = 0;
    std::map<std::string, std::uint32_t> running;
    const auto exchange = [&](time_point now) {
        for (const auto& zone : zones)
        {
            int index = 0;
            for (auto& from : cells[zone])
            {
                auto report = from.report(now);
                report.gateway = fmt::format("{}/{}", zone, index++);
                report.zone = zone;
                report.boot = 1;
                report.sequence = ++sequence;
                const auto used = from.zones_in_use(now);
                for (const auto& other : zones)
                {
                    for (auto& to : cells[other])
                    {
                        if (&to != &from && (other == zone || used.contains(other)))
                        {
                            to.apply_report(report, now);
                        }
                    }
                }
            }
        }
        for (const auto& zone : zones)
        {
            auto digest = cells[zone].front().digest(now);
            digest.gateway = zone + "/0";
            digest.zone = zone;
            digest.boot = 1;
            digest.sequence = ++sequence;
            for (const auto& other : zones)
            {
                for (auto& to : cells[other])
                {
                    if (other != zone)
                    {
                        to.apply_report(digest, now);
                    }
                }
            }
        }
    };
    // 50 requests arrive in zone a, whose five servers have 20 slots together.
    std::list<queued_request> queued;
    int placed = 0;
    auto now = start;
    for (int i = 0; i < 50; ++i)
    {
        exchange(now);
        auto gateway = std::next(cells["a"].begin(), i % gateways_per_zone);
        queued.emplace_back("ann", request, now, now + seconds{1}, now + seconds{60});
        gateway->enqueue(queued.back(), now);
        now += milliseconds{5};
    }
    for (int i = 0; i < 100; ++i)
    {
        exchange(now);
        now += milliseconds{5};
    }
    int i = 0;
    for (auto& it : queued)
    {
        auto gateway = std::next(cells["a"].begin(), i++ % gateways_per_zone);
        if (const auto place = gateway->dequeue(it, now))
        {
            ++placed;
            ++running[place->main.backend.id];
        }
    }
    cr_assert_eq(placed, 50, "%d of 50 requests were placed", placed);
    for (const auto& [backend, requests] : running)
    {
        cr_assert_leq(requests, slots, "%s runs %u requests", backend.c_str(), requests);
    }
}
