#include "model/fleet_model.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;
using namespace pistachiopost::model;

namespace {

/// One engine that records the times of events and of complete answers.
struct engine_fixture
{
    engine_fixture() : subject(parameters) {}

    std::shared_ptr<job> add(std::uint64_t prompt, std::uint64_t output)
    {
        auto it = std::make_shared<job>();
        it->prompt_tokens = prompt;
        it->output_tokens = output;
        it->reserved_tokens = prompt;
        it->pending_parts = 1;
        it->on_event = [this](model_ms when) { events.push_back(when); };
        it->on_done = [this](model_ms when) { done.push_back(when); };
        subject.add(it);
        const double pairs =
            parameters.prefill_ms(prompt) -
            static_cast<double>(prompt) / parameters.prefill_tokens_per_ms;
        subject.add_prompt_part(it, prompt, pairs, false);
        return it;
    }

    model_ms run()
    {
        model_ms now = 0;
        for (auto n = subject.run_pass(now); n > 0; n = subject.run_pass(now))
        {
            now += n;
        }
        return now;
    }

    engine_cost_model parameters = largest_engine();
    engine subject;
    std::vector<model_ms> events;
    std::vector<model_ms> done;
};

run_result run_product(std::uint64_t seed)
{
    const auto parameters = largest_engine();
    constexpr std::size_t engines = 16;
    constexpr std::size_t gateways = 3;
    fleet_model it(product_policy(parameters, engines, gateways), parameters, engines,
                   make_load(seed, 12, engines, gateways));
    return it.run();
}

run_result run_fifo(std::uint64_t seed)
{
    const auto parameters = largest_engine();
    constexpr std::size_t engines = 16;
    fleet_model it(fifo_policy(parameters, engines, engine_selection::least_loaded),
                   parameters, engines, make_load(seed, 12, engines, 3));
    return it.run();
}

} // namespace

Test(engine_model, prompt_on_an_idle_engine_is_read_in_the_computed_time)
{
    engine_fixture it;
    it.add(133'000, 43);
    it.run();
    const auto expected = it.parameters.prefill_ms(133'000);
    // Each chunk of the prompt also costs one decode step.
    cr_assert_gt(it.events.front(), expected);
    cr_assert_lt(it.events.front(), expected * 1.1);
}

Test(engine_model, long_prefill_lengthens_the_gaps_of_a_decoding_request)
{
    engine_fixture it;
    it.add(1'000, 430);
    const auto first = it.subject.run_pass(0);
    const auto alone = it.subject.run_pass(first);
    it.add(133'000, 43);
    const auto beside_prefill = it.subject.run_pass(first + alone);
    cr_assert_lt(alone, 60);
    cr_assert_gt(beside_prefill, 400);
}

Test(engine_model, request_without_free_memory_waits_for_the_previous_one)
{
    engine_fixture it;
    it.add(200'000, 43);
    it.add(100'000, 43);
    it.run();
    cr_assert_eq(it.done.size(), 2U);
    cr_assert_gt(it.events.back(), it.done.front());
}

Test(engine_model, cancelled_job_produces_no_events)
{
    engine_fixture it;
    it.add(5'000, 430)->cancelled = true;
    cr_assert_eq(it.run(), 0.0);
    cr_assert(it.events.empty());
}

Test(engine_model, same_seed_gives_the_same_result)
{
    cr_assert_eq(earned_worth(run_product(3)), earned_worth(run_product(3)));
}

Test(engine_model, product_policy_earns_more_than_least_loaded_fifo)
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        const auto product = run_product(seed);
        const auto fifo = run_fifo(seed);
        cr_assert_gt(earned_worth(product), earned_worth(fifo));
        cr_assert_gt(product.kinds.front().on_time, fifo.kinds.front().on_time);
    }
}
