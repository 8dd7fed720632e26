#include "process/placement_turns.hpp"

#include "process/dispatcher.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <deque>
#include <list>
#include <optional>
#include <vector>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

engine_cost_model make_engine()
{
    engine_cost_model it;
    it.slots = 10;
    it.memory_tokens = 232'000;
    it.step_ms = 1.02;
    it.step_ms_per_sequence = 0.00226;
    it.step_ms_per_1k_context = 0.00431;
    it.prefill_tokens_per_ms = 206;
    it.prefill_ms_per_million_pairs = 0.138;
    it.prefill_chunk_tokens = 2'048;
    it.steps_per_pass = 68;
    return it;
}

const engine_cost_model engine = make_engine();

placement_request make_prompt(std::uint64_t tokens)
{
    placement_request it;
    it.service = "model";
    it.engine = &engine;
    it.tightest_gap = milliseconds{250};
    it.prompt_tokens = tokens;
    it.output_tokens = 800;
    return it;
}

std::vector<backend_record> make_engines(std::size_t count)
{
    std::vector<backend_record> list;
    for (std::size_t i = 0; i < count; ++i)
    {
        list.push_back({fmt::format("e-{}", i), "model", {}, "z", 10, false, 1});
    }
    return list;
}

/// Gateways of one cell that place long prompts on one set of engines. Reports reach the
/// others after `report_interval`; engines end their work as the gateways expect.
class long_prompt_fleet
{
public:
    long_prompt_fleet(std::size_t gateway_count, std::size_t engine_count)
    {
        for (std::size_t i = 0; i < gateway_count; ++i)
        {
            auto& it = gateways_.emplace_back("z", fmt::format("g-{}", i));
            it.set_cell(false, gateway_count);
            it.update_registry(start, [&](auto& registry) {
                for (const auto& record : make_engines(engine_count))
                {
                    registry.upsert(record, start);
                }
            });
        }
    }

    /// Queues a prompt at a gateway, as its caller's task does.
    void submit(std::size_t gateway, const placement_request& request,
                milliseconds target)
    {
        auto& it = requests_.emplace_back();
        it.gateway = gateway;
        it.request = request;
        it.queued.emplace("ann", it.request, now, now + target, now + seconds{60});
        gateways_[gateway].enqueue(*it.queued, now);
    }

    void advance()
    {
        now += milliseconds{10};
        if ((now - start) % report_interval == steady::duration{0})
        {
            exchange_reports();
        }
        for (auto& it : requests_)
        {
            collect_placement(it);
            finish_work(it);
        }
    }

    /// Returns how long the prompts of this length waited that have been placed.
    [[nodiscard]] std::vector<steady::duration> waits(std::uint64_t tokens) const
    {
        std::vector<steady::duration> list;
        for (const auto& it : requests_)
        {
            if (it.place && it.request.prompt_tokens == tokens)
            {
                list.push_back(it.placed_at - it.arrived);
            }
        }
        return list;
    }

    time_point now = start;

private:
    struct running_request
    {
        std::size_t gateway = 0;
        placement_request request;
        std::optional<queued_request> queued;
        time_point arrived;
        std::optional<placement> place;
        time_point placed_at;
        bool prefilled = false;
        bool released = false;
    };

    static constexpr milliseconds report_interval{50};
    static constexpr seconds answer_time{1};

    void exchange_reports()
    {
        for (std::size_t from = 0; from < gateways_.size(); ++from)
        {
            auto message = gateways_[from].report(now);
            message.gateway = fmt::format("g-{}", from);
            message.boot = 1;
            message.sequence = ++sequence_;
            for (std::size_t to = 0; to < gateways_.size(); ++to)
            {
                if (to != from)
                {
                    gateways_[to].apply_report(message, now);
                }
            }
        }
    }

    void collect_placement(running_request& it)
    {
        if (it.arrived == time_point())
        {
            it.arrived = now;
        }
        if (it.place || !it.queued->is_placed())
        {
            return;
        }
        it.place = gateways_[it.gateway].dequeue(*it.queued, now);
        it.placed_at = now;
    }

    void finish_work(running_request& it)
    {
        if (!it.place)
        {
            return;
        }
        const std::chrono::duration<double, std::milli> first(it.place->first_event_ms);
        if (!it.prefilled && now - it.placed_at >= first)
        {
            gateways_[it.gateway].prefill_done(*it.place, now);
            it.prefilled = true;
        }
        if (!it.released && now - it.placed_at >= first + answer_time)
        {
            gateways_[it.gateway].release(*it.place, now);
            it.released = true;
        }
    }

    std::deque<dispatcher> gateways_;
    std::list<running_request> requests_;
    std::uint64_t sequence_ = 0;
};

/// Two gateways of which the other one reports what it waits for.
struct turns_fixture
{
    void hear(const std::string& gateway, bool claims, time_point now)
    {
        load_report_message it;
        it.gateway = gateway;
        it.sequence = ++sequence;
        it.waiting = {{"model", true, claims}};
        loads.apply_report(it, now);
    }

    bool yields(bool claims, time_point now)
    {
        return turns.yields_engines("model", claims, loads, now);
    }

    load_tracker loads;
    placement_turns turns{contention_hash("me")};
    std::uint64_t sequence = 0;
};

} // namespace

Test(placement_turns, prompt_claims_for_a_part_of_the_time_after_its_target)
{
    const milliseconds target{3'000};
    cr_assert_not(is_claim_time(milliseconds{2'999}, target));
    cr_assert(is_claim_time(milliseconds{3'000}, target));
    cr_assert(is_claim_time(milliseconds{3'599}, target));
    cr_assert_not(is_claim_time(milliseconds{3'600}, target));
    cr_assert(is_claim_time(milliseconds{4'500}, target));
}

Test(placement_turns, prompt_that_short_ones_leave_no_room_for_does_not_claim)
{
    const auto records = make_engines(20);
    std::vector<placement_candidate> candidates;
    for (const auto& it : records)
    {
        candidates.push_back({&it, {6, 0, 200'000, 400}, true});
    }
    cr_assert(fits_without_long_prompts(make_prompt(490'000), candidates, "z"));
    for (auto& it : candidates)
    {
        it.load = {9, 9, 50'000, 0};
    }
    cr_assert_not(fits_without_long_prompts(make_prompt(490'000), candidates, "z"));
}

Test(placement_turns, gateway_leaves_the_engines_to_one_that_claims_them)
{
    turns_fixture it;
    cr_assert_not(it.yields(false, start));
    it.hear("other", true, start);
    cr_assert(it.yields(false, start));
    it.hear("other", false, start);
    cr_assert_not(it.yields(false, start));
}

Test(placement_turns, claim_of_a_lost_gateway_expires)
{
    turns_fixture it;
    it.hear("other", true, start);
    cr_assert(it.yields(false, start + milliseconds{599}));
    cr_assert_not(it.yields(false, start + milliseconds{600}));
}

Test(placement_turns, one_of_two_claiming_gateways_goes_first)
{
    turns_fixture it;
    it.hear("other", true, start);
    turns_fixture mirror;
    mirror.turns = placement_turns(contention_hash("other"));
    mirror.hear("me", true, start);
    cr_assert_neq(it.yields(true, start), mirror.yields(true, start));
}

Test(placement_turns, one_of_many_waiting_gateways_places_long_prompts_at_a_time)
{
    constexpr int count = 10;
    int going = 0;
    for (int self = 0; self < count; ++self)
    {
        turns_fixture it;
        it.turns = placement_turns(contention_hash(fmt::format("g-{}", self)));
        for (int other = 0; other < count; ++other)
        {
            if (other != self)
            {
                it.hear(fmt::format("g-{}", other), false, start);
            }
        }
        going += it.yields(false, start) ? 0 : 1;
    }
    cr_assert_eq(going, 1);
}

/// The load under which the largest prompts found no place before their callers gave up:
/// a hundred prompts that need a few engines take each one that becomes free.
Test(placement_turns, largest_prompt_gets_its_engines_among_many_smaller_ones)
{
    constexpr std::size_t gateway_count = 20;
    constexpr std::uint64_t small = 100'000;
    constexpr std::uint64_t huge = 490'000;
    long_prompt_fleet fleet(gateway_count, 27);
    for (int step = 0; step < 1'000; ++step) // 10 s
    {
        if (step % 6 == 0)
        {
            fleet.submit(static_cast<std::size_t>(step / 6) % gateway_count,
                         make_prompt(small), milliseconds{1'500});
        }
        if (step == 100)
        {
            fleet.submit(0, make_prompt(huge), milliseconds{3'000});
        }
        fleet.advance();
    }
    const auto waits = fleet.waits(huge);
    cr_assert_eq(waits.size(), 1U, "the largest prompt found no place in 9 s");
    // Callers of a route with a timeout of 15 s are refused after 8.4 s.
    cr_assert_lt(waits[0], milliseconds{8'400});
    cr_assert_gt(fleet.waits(small).size(), 100U, "%zu of 167 smaller ones were placed",
                 fleet.waits(small).size());
}
