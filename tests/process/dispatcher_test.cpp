#include "process/admission/dispatcher.hpp"

#include <criterion/criterion.h>

#include <poll.h>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// A dispatcher with one plain backend server that has a single slot.
struct dispatcher_fixture
{
    dispatcher_fixture()
    {
        request.service = "plain";
        const backend_record record{"i-1", "plain", {"10.0.0.1", 80}, "z", 1, false, 1};
        dispatch.update_registry(start, [&](auto& it) { it.upsert(record, start); });
    }

    queued_request make_request(std::string_view customer,
                                time_point target_deadline = start + seconds{1})
    {
        return {customer, request, start, target_deadline, {time_point::max()}};
    }

    static bool is_woken(const queued_request& it)
    {
        pollfd entry{it.wake().get(), POLLIN, 0};
        return poll(&entry, 1, 0) == 1;
    }

    placement_request request;
    dispatcher dispatch{"z"};
};

} // namespace

Test(dispatcher, request_is_placed_immediately_if_a_slot_is_free)
{
    dispatcher_fixture it;
    cr_assert(it.dispatch.try_place("ann", it.request, start).has_value());
    cr_assert_not(it.dispatch.try_place("ann", it.request, start).has_value());
}

Test(dispatcher, released_placement_wakes_the_queued_request)
{
    dispatcher_fixture it;
    const auto place = it.dispatch.try_place("ann", it.request, start);
    auto queued = it.make_request("bob");
    it.dispatch.enqueue(queued, start);
    cr_assert_not(dispatcher_fixture::is_woken(queued));
    it.dispatch.release(*place, start);
    cr_assert(dispatcher_fixture::is_woken(queued));
    cr_assert(it.dispatch.dequeue(queued, start).has_value());
}

Test(dispatcher, dequeued_request_gets_no_placement)
{
    dispatcher_fixture it;
    const auto place = it.dispatch.try_place("ann", it.request, start);
    auto queued = it.make_request("bob");
    it.dispatch.enqueue(queued, start);
    cr_assert_not(it.dispatch.dequeue(queued, start).has_value());
    it.dispatch.release(*place, start);
    cr_assert_eq(it.dispatch.waiting(), 0U);
    cr_assert(it.dispatch.try_place("ann", it.request, start).has_value());
}

Test(dispatcher, late_request_yields_to_one_that_can_meet_its_target)
{
    dispatcher_fixture it;
    const auto place = it.dispatch.try_place("ann", it.request, start);
    auto late = it.make_request("bob", start - seconds{1});
    auto on_time = it.make_request("bob");
    it.dispatch.enqueue(late, start);
    it.dispatch.enqueue(on_time, start);
    it.dispatch.release(*place, start);
    cr_assert(dispatcher_fixture::is_woken(on_time));
    cr_assert_not(dispatcher_fixture::is_woken(late));
    it.dispatch.dequeue(late, start);
}

Test(dispatcher, request_of_higher_priority_goes_first)
{
    dispatcher_fixture it;
    const auto place = it.dispatch.try_place("ann", it.request, start);
    auto urgent_request = it.request;
    it.request.priority = 2;
    auto usual = it.make_request("bob");
    queued_request urgent("cid", urgent_request, start, start + seconds{1},
                          {start + seconds{60}});
    it.dispatch.enqueue(usual, start);
    it.dispatch.enqueue(urgent, start);
    it.dispatch.release(*place, start);
    cr_assert(dispatcher_fixture::is_woken(urgent));
    it.dispatch.dequeue(usual, start);
}

Test(dispatcher, customer_far_ahead_in_engine_time_yields_its_turn)
{
    dispatcher_fixture it;
    auto hold = it.dispatch.try_place("other", it.request, start);
    auto blocker = it.make_request("other", start - seconds{1});
    it.dispatch.enqueue(blocker, start); // prevents the reset of the counters
    for (int i = 0; i < 100; ++i)
    {
        auto mine = it.make_request("ann");
        it.dispatch.enqueue(mine, start);
        it.dispatch.release(*hold, start);
        hold = it.dispatch.dequeue(mine, start);
        cr_assert(hold.has_value());
    }
    auto ann = it.make_request("ann");
    auto bob = it.make_request("bob");
    it.dispatch.enqueue(ann, start);
    it.dispatch.enqueue(bob, start);
    it.dispatch.release(*hold, start);
    cr_assert(dispatcher_fixture::is_woken(bob));
    it.dispatch.dequeue(ann, start);
    it.dispatch.dequeue(blocker, start);
}

Test(dispatcher, load_reported_by_a_peer_occupies_the_slot)
{
    dispatcher_fixture it;
    load_report_message message;
    message.gateway = "other";
    message.boot = 1;
    message.sequence = 1;
    message.loads.push_back({"i-1", {1, 0, 0, 0, 0}});
    it.dispatch.apply_report(message, start);
    cr_assert_not(it.dispatch.try_place("ann", it.request, start).has_value());
    cr_assert(it.dispatch.try_place("ann", it.request, start + seconds{2}).has_value());
}

namespace {

/// The dispatcher's backend server may ask for backoff.
struct backoff_fixture : dispatcher_fixture
{
    void ask_for_backoff(steady::duration backoff = seconds{2})
    {
        const backend_record record{"i-1", "plain", {"10.0.0.1", 80}, "z", 1, false, 1};
        dispatch.update_registry(
            start, [&](auto& it) { it.record_backoff(record, start + backoff); });
    }
};

} // namespace

Test(dispatcher, queued_request_is_placed_when_the_backoff_ends)
{
    backoff_fixture it;
    it.ask_for_backoff();
    auto queued = it.make_request("bob");
    it.dispatch.enqueue(queued, start);
    cr_assert_eq(it.dispatch.recheck_time(queued), start + seconds{2});
    cr_assert_not(it.dispatch.serve(queued, start + seconds{1}));
    cr_assert_not(dispatcher_fixture::is_woken(queued), "the wake is handled");
    cr_assert(it.dispatch.serve(queued, start + seconds{2}));
    cr_assert(it.dispatch.dequeue(queued, start + seconds{2}).has_value());
}

Test(dispatcher, backoff_that_begins_while_requests_wait_wakes_them)
{
    backoff_fixture it;
    const auto place = it.dispatch.try_place("ann", it.request, start);
    auto queued = it.make_request("bob");
    it.dispatch.enqueue(queued, start);
    cr_assert_eq(it.dispatch.recheck_time(queued), time_point::max());
    it.ask_for_backoff();
    cr_assert(dispatcher_fixture::is_woken(queued));
    cr_assert_eq(it.dispatch.recheck_time(queued), start + seconds{2});
    it.dispatch.release(*place, start);
    cr_assert_not(it.dispatch.serve(queued, start));
    it.dispatch.dequeue(queued, start);
}

Test(dispatcher, request_without_a_slot_at_the_end_of_the_backoff_waits_for_a_release)
{
    backoff_fixture it;
    it.ask_for_backoff();
    auto first = it.make_request("ann");
    auto second = it.make_request("bob");
    it.dispatch.enqueue(first, start);
    it.dispatch.enqueue(second, start);
    const auto end = start + seconds{2};
    cr_assert(it.dispatch.serve(first, end));
    cr_assert_not(it.dispatch.serve(second, end), "the only slot is taken");
    const auto place = it.dispatch.dequeue(first, end);
    it.dispatch.prefill_done(*place, end);
    it.dispatch.release(*place, end);
    cr_assert(dispatcher_fixture::is_woken(second));
    cr_assert(it.dispatch.dequeue(second, end).has_value());
}

Test(dispatcher, unavailable_service_delays_the_expected_wait_to_the_end_of_the_backoff)
{
    backoff_fixture it;
    constexpr milliseconds least{100};
    cr_assert_eq(it.dispatch.expected_wait("plain", least, start), least);
    cr_assert_not(it.dispatch.unavailable_until("plain", start).has_value());
    it.ask_for_backoff();
    cr_assert_eq(it.dispatch.expected_wait("plain", least, start), seconds{2});
    cr_assert_eq(*it.dispatch.unavailable_until("plain", start), start + seconds{2});
    cr_assert_not(it.dispatch.unavailable_until("plain", start + seconds{2}).has_value());
}

namespace {

/// A dispatcher that hears one report of each of five peers, which are silent afterwards.
struct silent_peers_fixture : dispatcher_fixture
{
    explicit silent_peers_fixture(const load_report_message& report,
                                  const std::string& name = "self")
        : subject("z", name)
    {
        const backend_record record{"i-1", "plain", {"10.0.0.1", 80}, "z", 1, false, 1};
        subject.update_registry(start, [&](auto& it) { it.upsert(record, start); });
        for (const auto* peer : {"g-1", "g-2", "g-3", "g-4", "g-5"})
        {
            auto message = report;
            message.gateway = peer;
            message.boot = 1;
            message.sequence = 1;
            subject.apply_report(message, start);
        }
    }

    /// Returns when the request is placed if nothing but its recheck times wakes it.
    std::optional<time_point> placed_at(queued_request& queued)
    {
        auto now = start;
        bool placed = subject.serve(queued, now);
        while (!placed && now <= start + seconds{5})
        {
            now = subject.recheck_time(queued);
            placed = now < time_point::max() && subject.serve(queued, now);
        }
        subject.dequeue(queued, now);
        return placed ? std::optional(now) : std::nullopt;
    }

    dispatcher subject;
};

} // namespace

// Guards against requests that wait beside free slots until they are rejected, since
// the rivals to which they yield have fallen silent and nothing wakes the queue.
Test(dispatcher, request_that_yields_to_silent_rivals_is_placed_without_another_event)
{
    load_report_message report;
    report.waiting = {{"plain", false}};
    std::size_t yielding = 0;
    for (int i = 0; i < 20; ++i)
    {
        silent_peers_fixture it(report, "self-" + std::to_string(i));
        auto queued = it.make_request("bob");
        it.subject.enqueue(queued, start);
        const auto placed = it.placed_at(queued);
        cr_assert(placed && *placed <= start + seconds{1}, "the reports expire by then");
        yielding += *placed > start ? 1 : 0;
    }
    cr_assert_gt(yielding, 10U, "most gateways are not the first of six");
}

// Guards against a queue that is not served when the load of a silent peer expires.
Test(dispatcher, slot_of_a_silent_peer_is_taken_when_its_report_expires)
{
    load_report_message report;
    report.loads.push_back({"i-1", {1, 0, 0, 0, 0}});
    silent_peers_fixture it(report);
    auto queued = it.make_request("bob");
    it.subject.enqueue(queued, start);
    cr_assert_eq(it.placed_at(queued), start + seconds{1});
}

namespace {

/// One engine with a single slot, which a short prompt holds. A prompt of 200,000 tokens
/// takes two seconds there.
struct engine_fixture
{
    engine_fixture()
    {
        engine.memory_tokens = 1'000'000;
        engine.prefill_tokens_per_ms = 100;
        engine.steps_per_pass = 1;
        engine.step_ms = 1;
        request.service = "model";
        request.engine = &engine;
        request.tightest_gap = milliseconds{250};
        request.prompt_tokens = 200'000;
        request.output_tokens = 100;
        const backend_record record{"e-1", "model", {"10.0.0.1", 80}, "z", 1, false, 1};
        dispatch.update_registry(start, [&](auto& it) { it.upsert(record, start); });
        brief = request;
        brief.prompt_tokens = 100;
        holds = dispatch.try_place("ann", brief, start).value();
    }

    engine_cost_model engine;
    placement_request request;
    placement_request brief;
    dispatcher dispatch{"z"};
    placement holds;
};

} // namespace

// Guards against prompts that wait for most of their caller's time although it is known
// before that they cannot be answered.
Test(dispatcher, prompt_that_cannot_end_in_time_on_idle_engines_is_rejected_then)
{
    engine_fixture it;
    const caller_deadlines deadlines{start + seconds{16}, start + seconds{5}};
    queued_request queued("bob", it.request, start, start + seconds{4}, deadlines);
    it.dispatch.enqueue(queued, start);
    cr_assert_not(it.dispatch.rejection(queued).has_value());
    // Two seconds of prefill and 100 steps of a millisecond.
    const auto latest = start + milliseconds{2'900};
    cr_assert_eq(it.dispatch.recheck_time(queued), latest);
    cr_assert_not(it.dispatch.serve(queued, latest + milliseconds{1}));
    cr_assert(it.dispatch.rejection(queued).has_value());
    cr_assert_eq(it.dispatch.waiting(), 0U);
    cr_assert_not(it.dispatch.dequeue(queued, latest + milliseconds{1}).has_value());
}

// Guards against engine time for a prompt whose caller leaves before the end.
Test(dispatcher, prompt_that_cannot_end_in_time_is_not_started)
{
    engine_fixture it;
    const caller_deadlines deadlines{start + seconds{16}, start + seconds{2}};
    queued_request queued("bob", it.request, start, start + seconds{4}, deadlines);
    it.dispatch.prefill_done(it.holds, start);
    it.dispatch.release(it.holds, start);
    it.dispatch.enqueue(queued, start);
    cr_assert_not(it.dispatch.serve(queued, start));
    cr_assert(it.dispatch.rejection(queued).has_value());
}

// Guards against a stream that is cut after it has begun.
Test(dispatcher, continuation_of_a_begun_stream_is_started_at_any_time)
{
    engine_fixture it;
    const caller_deadlines deadlines{start + seconds{1}, start + seconds{1}, true};
    queued_request queued("bob", it.request, start, start, deadlines);
    it.dispatch.enqueue(queued, start);
    cr_assert_not(it.dispatch.rejection(queued).has_value());
    it.dispatch.prefill_done(it.holds, start);
    it.dispatch.release(it.holds, start);
    cr_assert(it.dispatch.serve(queued, start));
    cr_assert(it.dispatch.dequeue(queued, start).has_value());
}
