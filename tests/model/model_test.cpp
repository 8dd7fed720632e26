#include "model/fleet_model.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;
using namespace pistachiopost::model;

namespace {

/// One engine that records the times of events and of complete answers.
struct engine_fixture
{
    engine_fixture() : one(sheet) {}

    std::shared_ptr<job> add(std::uint64_t prompt, std::uint64_t output)
    {
        auto it = std::make_shared<job>();
        it->prompt_tokens = prompt;
        it->output_tokens = output;
        it->memory_here = prompt;
        it->parts_left = 1;
        it->event = [this](model_ms when) { events.push_back(when); };
        it->done = [this](model_ms when) { done.push_back(when); };
        one.add(it);
        const double pairs = sheet.read_ms(prompt) -
                             static_cast<double>(prompt) / sheet.read_tokens_per_ms;
        one.read_part(it, prompt, pairs, false);
        return it;
    }

    model_ms play()
    {
        model_ms now = 0;
        for (auto n = one.pass(now); n > 0; n = one.pass(now))
        {
            now += n;
        }
        return now;
    }

    engine_model sheet = sheet_engine();
    engine one;
    std::vector<model_ms> events;
    std::vector<model_ms> done;
};

run_result play_product(std::uint64_t seed)
{
    const auto sheet = sheet_engine();
    constexpr std::size_t engines = 16;
    constexpr std::size_t gateways = 3;
    fleet_model it(product_policy(sheet, engines, gateways), sheet, engines,
                   make_load(seed, 12, engines, gateways));
    return it.run();
}

run_result play_fifo(std::uint64_t seed)
{
    const auto sheet = sheet_engine();
    constexpr std::size_t engines = 16;
    fleet_model it(fifo_policy(sheet, engines, simple_choice::least_loaded), sheet,
                   engines, make_load(seed, 12, engines, 3));
    return it.run();
}

} // namespace

Test(engine_model, idle_engine_reads_a_prompt_in_the_time_of_its_sheet)
{
    engine_fixture it;
    it.add(133'000, 43);
    it.play();
    const auto expected = it.sheet.read_ms(133'000);
    // Each chunk of the prompt also costs one decode step.
    cr_assert_gt(it.events.front(), expected);
    cr_assert_lt(it.events.front(), expected * 1.1);
}

Test(engine_model, long_read_stretches_the_pauses_of_a_writer)
{
    engine_fixture it;
    it.add(1'000, 430);
    const auto first = it.one.pass(0);
    const auto quiet = it.one.pass(first);
    it.add(133'000, 43);
    const auto beside = it.one.pass(first + quiet);
    cr_assert_lt(quiet, 60);
    cr_assert_gt(beside, 400);
}

Test(engine_model, request_without_memory_waits_for_the_one_before)
{
    engine_fixture it;
    it.add(200'000, 43);
    it.add(100'000, 43);
    it.play();
    cr_assert_eq(it.done.size(), 2U);
    cr_assert_gt(it.events.back(), it.done.front());
}

Test(engine_model, cancelled_job_yields_nothing)
{
    engine_fixture it;
    it.add(5'000, 430)->cancelled = true;
    cr_assert_eq(it.play(), 0.0);
    cr_assert(it.events.empty());
}

Test(engine_model, same_seed_gives_the_same_result)
{
    cr_assert_eq(earned_worth(play_product(3)), earned_worth(play_product(3)));
}

Test(engine_model, product_serves_more_than_least_loaded_first_in_first_out)
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        const auto product = play_product(seed);
        const auto fifo = play_fifo(seed);
        cr_assert_gt(earned_worth(product), earned_worth(fifo));
        cr_assert_gt(product.kinds.front().on_time, fifo.kinds.front().on_time);
    }
}
