#include "process/dispatcher.hpp"

#include <criterion/criterion.h>

#include <poll.h>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// One plain server with a single slot.
struct dispatcher_fixture
{
    dispatcher_fixture()
    {
        request.service = "plain";
        const backend_record record{"i-1", "plain", {"10.0.0.1", 80}, "z", 1, false, 1};
        dispatch.update_registry(start, [&](auto& it) { it.upsert(record, start); });
    }

    queued_request waiter(std::string_view customer,
                          time_point target_deadline = start + seconds{1})
    {
        return {customer, request, start, target_deadline, start + seconds{60}};
    }

    static bool woken(const queued_request& it)
    {
        pollfd waiting{it.wake().get(), POLLIN, 0};
        return poll(&waiting, 1, 0) == 1;
    }

    placement_request request;
    dispatcher dispatch{"z"};
};

} // namespace

Test(dispatcher, free_place_is_given_at_once)
{
    dispatcher_fixture it;
    cr_assert(it.dispatch.try_place("ann", it.request, start).has_value());
    cr_assert_not(it.dispatch.try_place("ann", it.request, start).has_value());
}

Test(dispatcher, released_place_wakes_the_request_that_waits)
{
    dispatcher_fixture it;
    const auto place = it.dispatch.try_place("ann", it.request, start);
    auto waiting = it.waiter("bob");
    it.dispatch.enqueue(waiting, start);
    cr_assert_not(dispatcher_fixture::woken(waiting));
    it.dispatch.release(*place, start);
    cr_assert(dispatcher_fixture::woken(waiting));
    cr_assert(it.dispatch.dequeue(waiting, start).has_value());
}

Test(dispatcher, request_that_leaves_the_line_gets_no_place)
{
    dispatcher_fixture it;
    const auto place = it.dispatch.try_place("ann", it.request, start);
    auto waiting = it.waiter("bob");
    it.dispatch.enqueue(waiting, start);
    cr_assert_not(it.dispatch.dequeue(waiting, start).has_value());
    it.dispatch.release(*place, start);
    cr_assert_eq(it.dispatch.waiting(), 0U);
    cr_assert(it.dispatch.try_place("ann", it.request, start).has_value());
}

Test(dispatcher, late_request_yields_to_one_that_can_be_on_time)
{
    dispatcher_fixture it;
    const auto place = it.dispatch.try_place("ann", it.request, start);
    auto late = it.waiter("bob", start - seconds{1});
    auto fresh = it.waiter("bob");
    it.dispatch.enqueue(late, start);
    it.dispatch.enqueue(fresh, start);
    it.dispatch.release(*place, start);
    cr_assert(dispatcher_fixture::woken(fresh));
    cr_assert_not(dispatcher_fixture::woken(late));
    it.dispatch.dequeue(late, start);
}

Test(dispatcher, more_urgent_request_goes_first)
{
    dispatcher_fixture it;
    const auto place = it.dispatch.try_place("ann", it.request, start);
    auto urgent_request = it.request;
    it.request.priority = 2;
    auto usual = it.waiter("bob");
    queued_request urgent("cid", urgent_request, start, start + seconds{1},
                          start + seconds{60});
    it.dispatch.enqueue(usual, start);
    it.dispatch.enqueue(urgent, start);
    it.dispatch.release(*place, start);
    cr_assert(dispatcher_fixture::woken(urgent));
    it.dispatch.dequeue(usual, start);
}

Test(dispatcher, customer_far_ahead_in_engine_time_yields_its_turn)
{
    dispatcher_fixture it;
    auto hold = it.dispatch.try_place("other", it.request, start);
    auto blocker = it.waiter("other", start - seconds{1});
    it.dispatch.enqueue(blocker,
                        start); // keeps the counters while the others come and go
    for (int i = 0; i < 100; ++i)
    {
        auto mine = it.waiter("ann");
        it.dispatch.enqueue(mine, start);
        it.dispatch.release(*hold, start);
        hold = it.dispatch.dequeue(mine, start);
        cr_assert(hold.has_value());
    }
    auto ann = it.waiter("ann");
    auto bob = it.waiter("bob");
    it.dispatch.enqueue(ann, start);
    it.dispatch.enqueue(bob, start);
    it.dispatch.release(*hold, start);
    cr_assert(dispatcher_fixture::woken(bob));
    it.dispatch.dequeue(ann, start);
    it.dispatch.dequeue(blocker, start);
}

Test(dispatcher, work_reported_by_a_peer_takes_the_place)
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
