#include "process/placement/slot_contention.hpp"

#include "process/admission/dispatcher.hpp"
#include "process/placement/candidate_choice.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <deque>
#include <set>
#include <vector>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// Returns how many of `gateways` may take one of `free` slots at a turn.
std::size_t count_takers(std::size_t gateways, std::size_t free, std::uint64_t turn)
{
    std::size_t takers = 0;
    for (std::uint64_t self = 0; self < gateways; ++self)
    {
        std::vector<std::uint64_t> rivals;
        for (std::uint64_t other = 0; other < gateways; ++other)
        {
            if (other != self)
            {
                rivals.push_back(other);
            }
        }
        takers += slot_contention(self, rivals).may_take(7, free, turn) ? 1 : 0;
    }
    return takers;
}

/// Twenty gateways of a cell with one plain backend server of ten slots, all taken, and
/// a request in each gateway's queue.
struct peak_fixture
{
    peak_fixture()
    {
        request.service = "plain";
        const backend_record record{"i-1", "plain", {"10.0.0.1", 80}, "z", 10, false, 1};
        for (std::size_t i = 0; i < gateway_count; ++i)
        {
            auto& it = gateways.emplace_back("z", fmt::format("g-{}", i));
            it.update_registry(start,
                               [&](auto& registry) { registry.upsert(record, start); });
        }
        for (int i = 0; i < 10; ++i)
        {
            holds.push_back(gateways[0].try_place("ann", request, start).value());
        }
        exchange();
        for (auto& it : gateways)
        {
            queued.emplace_back("ann", request, start, start + seconds{1},
                                caller_deadlines{start + seconds{60}});
            it.enqueue(queued.back(), start);
        }
        exchange();
    }

    /// Delivers a report of each gateway to all others, within a fraction of a turn.
    void exchange()
    {
        now += milliseconds{20};
        for (std::size_t from = 0; from < gateway_count; ++from)
        {
            send_report(from);
        }
    }

    void send_report(std::size_t from)
    {
        auto message = gateways[from].report(now);
        message.gateway = fmt::format("g-{}", from);
        message.boot = 1;
        message.sequence = ++sequence;
        for (std::size_t to = 0; to < gateway_count; ++to)
        {
            if (to != from)
            {
                gateways[to].apply_report(message, now);
            }
        }
    }

    [[nodiscard]] std::size_t waiting() const
    {
        std::size_t n = 0;
        for (const auto& it : gateways)
        {
            n += it.waiting();
        }
        return n;
    }

    static constexpr std::size_t gateway_count = 20;
    placement_request request;
    std::deque<dispatcher> gateways;
    std::deque<queued_request> queued;
    std::vector<placement> holds;
    std::uint64_t sequence = 0;
    time_point now = start;
};

} // namespace

Test(slot_contention, as_many_gateways_may_take_slots_as_there_are)
{
    for (std::uint64_t turn = 0; turn < 50; ++turn)
    {
        cr_assert_eq(count_takers(20, 1, turn), 1U);
        cr_assert_eq(count_takers(20, 3, turn), 3U);
    }
}

Test(slot_contention, turns_rotate_so_that_no_gateway_waits_for_long)
{
    const std::vector<std::uint64_t> rivals{1, 2, 3, 4, 5, 6, 7, 8, 9};
    int turns = 0;
    for (std::uint64_t turn = 0; turn < 1'000; ++turn)
    {
        turns += slot_contention(0, rivals).may_take(7, 1, turn) ? 1 : 0;
    }
    cr_assert(turns > 60 && turns < 150, "%d of 1000 turns for one of ten", turns);
}

Test(slot_contention, few_rivals_do_not_wait_for_turns)
{
    const std::vector<std::uint64_t> rivals{1, 2};
    cr_assert(slot_contention(0, rivals).may_take(7, 1, 1));
}

Test(slot_contention, freed_slot_is_taken_by_one_of_many_waiting_gateways)
{
    peak_fixture it;
    cr_assert_eq(it.waiting(), 20U);
    it.gateways[0].release(it.holds[0], start);
    it.gateways[0].release(it.holds[1], start);
    const auto before = it.waiting(); // the gateway itself may have taken one
    it.send_report(0);
    cr_assert_leq(before - it.waiting(), 2U, "%zu took two slots", before - it.waiting());
}

Test(slot_contention, all_waiting_requests_get_their_turn)
{
    peak_fixture it;
    for (std::size_t i = 0; i < 10; ++i)
    {
        it.gateways[0].release(it.holds[i], it.now);
        for (int n = 0; n < 5; ++n)
        {
            it.exchange();
        }
    }
    cr_assert_eq(it.waiting(), 10U, "%zu of 20 wait, 10 slots were freed", it.waiting());
}

Test(spread_candidate, equal_servers_are_chosen_by_different_requests)
{
    std::deque<backend_record> records;
    std::vector<placement_candidate> candidates;
    for (int i = 0; i < 8; ++i)
    {
        records.push_back({fmt::format("i-{}", i), "plain", {}, "z", 4, false, 1});
        candidates.push_back({&records.back(), {}, true});
    }
    candidates[0].load.requests = 1;
    std::set<std::string> chosen;
    for (std::uint64_t request = 0; request < 200; ++request)
    {
        const auto* it = spread_candidate(
            std::span<const placement_candidate>(candidates), has_free_slot,
            [](const auto& one) { return static_cast<double>(one.load.requests); }, 0.5,
            contention_hash(std::to_string(request)));
        chosen.insert(it->backend->id);
    }
    cr_assert_eq(chosen.size(), 7U);
    cr_assert_not(chosen.contains("i-0"), "its cost is beyond the tolerance");
}
