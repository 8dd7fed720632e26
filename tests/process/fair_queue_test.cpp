#include "process/fair_queue.hpp"
#include "process/fifo_queue.hpp"

#include <criterion/criterion.h>

#include <map>
#include <string>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// A queue that serves one attempt at a time, with the tokens served per customer.
template <queue_discipline Queue>
struct queue_fixture
{
    explicit queue_fixture(dispatch_limits limits = {}) : queue(limits) {}

    ticket_id push(std::string_view customer, std::uint64_t tokens,
                   std::uint32_t weight = 1, milliseconds left = seconds{1'000})
    {
        queue_ticket ticket;
        ticket.id = ++last;
        ticket.customer = customer;
        ticket.weight = weight;
        ticket.prompt_tokens = tokens;
        ticket.deadline = start + left;
        queue.push(ticket, start);
        customer_of[ticket.id] = customer;
        sizes[ticket.id] = tokens;
        return ticket.id;
    }

    /// Starts and finishes the next attempt; returns its customer.
    std::string serve()
    {
        const auto id = queue.take(start);
        cr_assert(id.has_value());
        queue.on_first_token(*id, start);
        queue.on_finished(*id, start);
        served[customer_of[*id]] += sizes[*id];
        return customer_of[*id];
    }

    Queue queue;
    ticket_id last = 0;
    std::map<ticket_id, std::string> customer_of;
    std::map<ticket_id, std::uint64_t> sizes;
    std::map<std::string, std::uint64_t> served;
};

using fair_fixture = queue_fixture<fair_queue>;

} // namespace

Test(fair_queue, two_customers_with_unequal_lengths_get_equal_tokens)
{
    fair_fixture it;
    for (int i = 0; i < 300; ++i)
    {
        it.push("many-short", 1'000);
        it.push("few-longer", 3'000);
    }
    for (int i = 0; i < 200; ++i)
    {
        it.serve();
    }
    const auto a = it.served["many-short"];
    const auto b = it.served["few-longer"];
    cr_assert(a * 10 >= b * 9 && b * 10 >= a * 9, "%lu and %lu", a, b);
}

Test(fair_queue, weight_three_gets_three_times_the_tokens)
{
    fair_fixture it;
    for (int i = 0; i < 400; ++i)
    {
        it.push("large", 1'000, 3);
        it.push("small", 1'000, 1);
    }
    for (int i = 0; i < 200; ++i)
    {
        it.serve();
    }
    cr_assert_geq(it.served["large"], it.served["small"] * 29 / 10);
    cr_assert_leq(it.served["large"], it.served["small"] * 31 / 10);
}

Test(fair_queue, new_customer_is_served_next_after_a_flood_of_another)
{
    fair_fixture it;
    for (int i = 0; i < 500; ++i)
    {
        it.push("flood", 1'000);
    }
    for (int i = 0; i < 50; ++i)
    {
        it.serve();
    }
    it.push("new", 1'000);
    const bool within_two = it.serve() == "new" || it.serve() == "new";
    cr_assert(within_two);
}

Test(fair_queue, idle_time_earns_no_credit)
{
    fair_fixture it;
    it.push("idle", 1'000);
    it.serve();
    for (int i = 0; i < 200; ++i)
    {
        it.push("loaded", 1'000);
        it.serve();
    }
    for (int i = 0; i < 50; ++i)
    {
        it.push("idle", 1'000);
        it.push("loaded", 1'000);
    }
    it.served.clear();
    for (int i = 0; i < 20; ++i)
    {
        it.serve();
    }
    cr_assert_leq(it.served["idle"], 11'000U);
}

Test(fair_queue, short_prompt_passes_long_prompts_of_its_own_customer)
{
    fair_fixture it;
    it.push("a", 200'000);
    it.push("a", 200'000);
    const auto brief = it.push("a", 1'000);
    cr_assert_eq(*it.queue.take(start), brief);
}

Test(fair_queue, second_huge_prompt_waits_while_one_prefills)
{
    fair_fixture it;
    it.push("a", 120'000);
    it.push("b", 120'000);
    const auto first = it.queue.take(start);
    cr_assert(first.has_value());
    cr_assert_not(it.queue.take(start).has_value());
    it.queue.on_first_token(*first, start);
    cr_assert(it.queue.take(start).has_value());
}

Test(fair_queue, prompts_over_the_memory_left_wait)
{
    dispatch_limits limits;
    limits.memory_tokens = 10'000;
    fair_fixture it(limits);
    it.push("a", 7'000);
    it.push("b", 7'000);
    const auto first = it.queue.take(start);
    it.queue.on_first_token(*first, start);
    cr_assert_not(it.queue.take(start).has_value());
    it.queue.on_finished(*first, start);
    cr_assert(it.queue.take(start).has_value());
}

Test(fair_queue, prompt_over_the_whole_memory_is_refused_as_too_large)
{
    fair_fixture it;
    queue_ticket ticket;
    ticket.prompt_tokens = 1'000'000;
    ticket.deadline = start + seconds{1'000};
    const auto why = it.queue.check_admission(ticket, start);
    cr_assert(why.has_value());
    cr_assert_eq(why->reason, refusal_reason::too_large);
}

Test(fair_queue, attempt_that_cannot_end_in_time_is_refused_with_a_time_to_retry)
{
    fair_fixture it;
    for (int i = 0; i < 100; ++i)
    {
        it.push("a", 30'000);
    }
    queue_ticket ticket;
    ticket.customer = "a";
    ticket.prompt_tokens = 30'000;
    ticket.deadline = start + seconds{2};
    const auto why = it.queue.check_admission(ticket, start);
    cr_assert(why.has_value());
    cr_assert_eq(why->reason, refusal_reason::deadline_too_short);
    cr_assert_gt(why->retry_after.count(), 0);
}

Test(fair_queue, backlog_of_another_customer_does_not_refuse_a_new_customer)
{
    fair_fixture it;
    for (int i = 0; i < 100; ++i)
    {
        it.push("flood", 30'000);
    }
    queue_ticket ticket;
    ticket.customer = "new";
    ticket.prompt_tokens = 30'000;
    ticket.deadline = start + seconds{2};
    cr_assert_not(it.queue.check_admission(ticket, start).has_value());
}

Test(fair_queue, flood_of_medium_prompts_does_not_starve_a_long_one_of_another)
{
    fair_fixture it;
    for (int i = 0; i < 400; ++i)
    {
        it.push("flood", 20'000);
    }
    it.push("small", 60'000);
    int served_before = 0;
    while (it.serve() != "small")
    {
        ++served_before;
    }
    cr_assert_leq(served_before, 12);
}

Test(fair_queue, flood_of_medium_prompts_does_not_refuse_a_long_one_of_another)
{
    fair_fixture it;
    for (int i = 0; i < 400; ++i)
    {
        it.push("flood", 20'000);
    }
    queue_ticket ticket;
    ticket.customer = "small";
    ticket.prompt_tokens = 60'000;
    ticket.deadline = start + seconds{3};
    cr_assert_not(it.queue.check_admission(ticket, start).has_value());
    ticket.customer = "flood";
    cr_assert(it.queue.check_admission(ticket, start).has_value());
}

Test(fair_queue, attempt_past_its_deadline_is_removed)
{
    fair_fixture it;
    const auto late = it.push("a", 1'000, 1, milliseconds{5});
    it.push("a", 1'000);
    const auto gone = it.queue.expired(start + milliseconds{6});
    cr_assert_eq(gone.size(), 1U);
    cr_assert_eq(gone[0], late);
    cr_assert_eq(it.queue.queued(), 1U);
}

Test(fair_queue, one_suspect_at_a_time_runs)
{
    fair_fixture it;
    for (int i = 0; i < 2; ++i)
    {
        queue_ticket ticket;
        ticket.id = ++it.last;
        ticket.customer = "a";
        ticket.prompt_tokens = 1'000;
        ticket.isolated = true;
        ticket.deadline = start + seconds{10};
        it.queue.push(ticket, start);
    }
    const auto first = it.queue.take(start);
    cr_assert_not(it.queue.take(start).has_value());
    it.queue.on_finished(*first, start);
    cr_assert(it.queue.take(start).has_value());
}

Test(fair_queue, idle_customers_are_pruned)
{
    fair_fixture it;
    for (int i = 0; i < 5'000; ++i)
    {
        it.push("customer-" + std::to_string(i), 1'000);
        it.serve();
    }
    cr_assert_leq(it.queue.customers(), 1'100U);
}

Test(fair_queue, idle_customers_are_pruned_under_a_standing_backlog)
{
    fair_fixture it;
    for (int i = 0; i < 400; ++i)
    {
        it.push("flood", 1'000);
    }
    for (int i = 0; i < 5'000; ++i)
    {
        it.push("customer-" + std::to_string(i), 1'000);
        it.push("flood", 1'000);
        it.serve();
        it.serve();
    }
    cr_assert_leq(it.queue.customers(), 1'100U);
}

Test(fifo_queue, long_prompt_delays_a_short_one)
{
    dispatch_limits limits;
    limits.slots = 1;
    queue_fixture<fifo_queue> it(limits);
    it.push("a", 200'000);
    it.push("b", 1'000);
    cr_assert_eq(it.serve(), "a");
    cr_assert_eq(it.serve(), "b");
}
