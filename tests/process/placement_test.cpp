#include "process/placement/placement.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace pistachiopost;

namespace {

/// Sixteen engines of one service in two availability zones.
struct placement_fixture
{
    placement_fixture()
    {
        engine.slots = 16;
        engine.memory_tokens = 232'000;
        engine.prefill_tokens_per_ms = 206;
        engine.prefill_ms_per_million_pairs = 0.138;
        engine.steps_per_pass = 43;
        for (int i = 0; i < 16; ++i)
        {
            backend_record it;
            it.id = "i-" + std::to_string(i);
            it.zone = i % 2 == 0 ? "near" : "far";
            it.slots = 16;
            backends.push_back(it);
        }
        for (const auto& it : backends)
        {
            engines.push_back({&it, {}});
        }
    }

    placement_request request(std::uint64_t tokens) const
    {
        placement_request it;
        it.service = "model";
        it.engine = &engine;
        it.tightest_gap = milliseconds{250};
        it.prompt_tokens = tokens;
        it.output_tokens = 500;
        return it;
    }

    engine_cost_model engine;
    std::vector<backend_record> backends;
    std::vector<placement_candidate> engines;
};

} // namespace

Test(placement, short_prompt_goes_to_one_engine_in_this_zone)
{
    const placement_fixture it;
    const auto place = pistachiopost::place(it.request(5'000), it.engines, "near");
    cr_assert(place.has_value());
    cr_assert(place->helpers.empty());
    cr_assert_eq(place->main.backend.zone, "near");
}

Test(placement, long_prompt_is_placed_on_the_engine_that_already_runs_long_ones)
{
    placement_fixture it;
    it.engines[5].load = {1, 0, 100'000, 0, 0};
    const auto place = pistachiopost::place(it.request(60'000), it.engines, "near");
    cr_assert(place.has_value());
    cr_assert_eq(place->main.backend.id, "i-5");
}

Test(placement, decoding_engine_prefills_no_part_of_a_long_prompt)
{
    placement_fixture it;
    it.engines[5].load = {1, 0, 200'000, 0, 0};
    const auto place = pistachiopost::place(it.request(150'000), it.engines, "near");
    cr_assert(place.has_value());
    for (const auto& part : place->helpers)
    {
        cr_assert_neq(part.backend.id, "i-5");
    }
}

Test(placement, unhealthy_engine_prefills_no_part_and_runs_one_short_prompt)
{
    placement_fixture it;
    for (auto& one : it.engines)
    {
        one.healthy = one.backend->id != "i-3";
    }
    const auto place = pistachiopost::place(it.request(300'000), it.engines, "near");
    cr_assert(place.has_value());
    cr_assert_neq(place->main.backend.id, "i-3");
    for (const auto& part : place->helpers)
    {
        cr_assert_neq(part.backend.id, "i-3");
    }
    const std::vector<placement_candidate> alone{it.engines[3]};
    cr_assert(pistachiopost::place(it.request(5'000), alone, "near").has_value());
    auto busy = alone;
    busy[0].load.requests = 1;
    cr_assert_not(pistachiopost::place(it.request(5'000), busy, "near").has_value());
}

Test(placement, huge_prompt_waits_until_enough_engines_are_available)
{
    placement_fixture it;
    for (std::size_t i = 6; i < 16; ++i)
    {
        it.engines[i].load.prefill_ms = 500;
    }
    cr_assert(pistachiopost::place(it.request(60'000), it.engines, "near").has_value());
    auto huge = it.request(430'000);
    cr_assert_not(pistachiopost::place(huge, it.engines, "near").has_value());
    huge.accept_fewer_engines = true;
    cr_assert(pistachiopost::place(huge, it.engines, "near").has_value());
}

Test(placement, long_prompt_is_split_into_equal_parts)
{
    const placement_fixture it;
    const auto place = pistachiopost::place(it.request(133'000), it.engines, "near");
    cr_assert(place.has_value());
    cr_assert_geq(place->helpers.size(), 5U);
    for (const auto& part : place->helpers)
    {
        cr_assert_float_eq(part.work.prefill_ms, place->main.work.prefill_ms, 0.01);
    }
}

Test(placement, long_prompt_avoids_engines_that_decode_short_answers)
{
    placement_fixture it;
    std::set<std::string> decoding;
    for (std::size_t i = 8; i < 16; ++i)
    {
        it.engines[i].load = {10, 10, 50'000, 0, 0};
        decoding.insert(it.backends[i].id);
    }
    const auto place = pistachiopost::place(it.request(200'000), it.engines, "near");
    cr_assert(place.has_value());
    cr_assert_not(decoding.contains(place->main.backend.id));
    for (const auto& part : place->helpers)
    {
        cr_assert_not(decoding.contains(part.backend.id));
    }
}

Test(placement, long_pool_size_depends_on_short_requests)
{
    placement_fixture it;
    cr_assert_eq(long_pool_size(it.engines), 14U);
    for (auto& one : it.engines)
    {
        one.load.short_requests = 4;
    }
    cr_assert_eq(long_pool_size(it.engines), 10U);
    for (auto& one : it.engines)
    {
        one.load.short_requests = 16;
    }
    cr_assert_eq(long_pool_size(it.engines), 2U);
}

Test(placement, long_pool_size_depends_on_slots_per_engine)
{
    placement_fixture it;
    for (auto& one : it.engines)
    {
        one.load.short_requests = 4;
    }
    const auto with_many = long_pool_size(it.engines);
    std::vector<backend_record> smaller;
    for (const auto& one : it.engines)
    {
        smaller.push_back(*one.backend);
        smaller.back().slots = one.backend->slots / 2;
    }
    for (std::size_t i = 0; i < smaller.size(); ++i)
    {
        it.engines[i].backend = &smaller[i];
    }
    cr_assert_lt(long_pool_size(it.engines), with_many);
}

Test(placement, prompt_over_one_engines_memory_reserves_the_rest_at_helpers)
{
    const placement_fixture it;
    const auto place = pistachiopost::place(it.request(400'000), it.engines, "near");
    cr_assert(place.has_value());
    std::uint64_t held = place->main.work.memory_tokens;
    for (const auto& part : place->helpers)
    {
        held += part.reserved_tokens;
        cr_assert_leq(part.reserved_tokens, it.engine.memory_tokens);
    }
    cr_assert_geq(held, 400'500U);
}

Test(placement, prompt_waits_while_engines_have_a_prefill_backlog)
{
    placement_fixture it;
    for (auto& one : it.engines)
    {
        one.load.prefill_ms = 500;
    }
    cr_assert_not(
        pistachiopost::place(it.request(133'000), it.engines, "near").has_value());
}

Test(placement, backend_server_that_failed_the_request_is_excluded)
{
    const placement_fixture it;
    std::vector<std::string> failed;
    for (std::size_t i = 0; i + 1 < it.backends.size(); ++i)
    {
        failed.push_back(it.backends[i].id);
    }
    auto request = it.request(5'000);
    request.excluded = failed;
    cr_assert_eq(pistachiopost::place(request, it.engines, "near")->main.backend.id,
                 "i-15");
    failed.push_back("i-15");
    request.excluded = failed;
    cr_assert_not(pistachiopost::place(request, it.engines, "near").has_value());
}

Test(placement, plain_call_goes_to_the_least_loaded_server_with_a_free_slot)
{
    placement_fixture it;
    auto request = it.request(0);
    request.engine = nullptr;
    for (std::size_t i = 0; i < it.engines.size(); ++i)
    {
        it.engines[i].load.requests = i == 3 ? 2 : 16;
    }
    cr_assert_eq(pistachiopost::place(request, it.engines, "near")->main.backend.id,
                 "i-3");
    it.engines[3].load.requests = 16;
    cr_assert_not(pistachiopost::place(request, it.engines, "near").has_value());
}

Test(placement, no_candidate_yields_no_placement)
{
    const placement_fixture it;
    cr_assert_not(pistachiopost::place(it.request(5'000), {}, "near").has_value());
    cr_assert_not(pistachiopost::place(it.request(500'000), {}, "near").has_value());
}
