#include "process/placement/cell_placement.hpp"

#include "process/admission/dispatcher.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <list>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// Two zones with `count` plain backend servers of two slots each.
struct cell_fixture
{
    explicit cell_fixture(int count)
    {
        request.service = "plain";
        for (const char* zone : {"a", "b", "c"})
        {
            for (int i = 0; i < count; ++i)
            {
                records.push_back(
                    {fmt::format("{}-{}", zone, i), "plain", {}, zone, 2, false, 1});
                candidates.push_back({&records.back(), {}, true});
            }
        }
    }

    void set_requests(std::string_view zone, std::uint32_t requests)
    {
        for (auto& it : candidates)
        {
            if (it.backend->zone == zone)
            {
                it.load.requests = requests;
            }
        }
    }

    std::string place_after(milliseconds waited, const is_zone_known& known) const
    {
        const auto it = place_in_cells(request, candidates, "a", waited, known);
        return it ? it->main.backend.zone : "";
    }

    placement_request request;
    std::list<backend_record> records;
    std::vector<placement_candidate> candidates;
    is_zone_known all = [](std::string_view) { return true; };
    is_zone_known none = [](std::string_view) { return false; };
};

} // namespace

Test(place_in_cells, request_stays_in_its_cell_while_there_is_a_slot)
{
    cell_fixture it(2);
    it.set_requests("a", 1);
    cr_assert_eq(it.place_after(seconds{1}, it.all), "a");
}

Test(place_in_cells, request_in_a_full_cell_waits_before_it_leaves)
{
    cell_fixture it(2);
    it.set_requests("a", 2);
    cr_assert_eq(it.place_after(milliseconds{0}, it.all), "");
    cr_assert_neq(it.place_after(cell_patience, it.all), "");
}

Test(place_in_cells, request_leaves_for_the_least_loaded_zone)
{
    cell_fixture it(2);
    it.set_requests("a", 2);
    it.set_requests("b", 1);
    cr_assert_eq(it.place_after(cell_patience, it.all), "c");
}

Test(place_in_cells, zones_without_a_current_digest_get_no_requests)
{
    cell_fixture it(2);
    it.set_requests("a", 2);
    cr_assert_eq(it.place_after(cell_patience, it.none), "");
}

Test(place_in_cells, gateway_without_backend_servers_in_its_zone_uses_all)
{
    cell_fixture it(2);
    std::erase_if(it.candidates,
                  [](const auto& one) { return one.backend->zone == "a"; });
    cr_assert_neq(it.place_after(milliseconds{0}, it.none), "");
}

/// Plays the load of a large fleet on the dispatchers themselves: 20 gateways a zone,
/// each with its own view, told of the others only by reports within the cell and by the
/// digests of the other zones.
Test(place_in_cells, fleet_of_cells_spreads_a_peak_of_one_zone_without_overload)
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
            it.set_cells(true);
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
        queued.emplace_back("ann", request, now, now + seconds{1},
                            caller_deadlines{now + seconds{60}});
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
