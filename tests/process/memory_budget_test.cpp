/// The budget that keeps a process within the memory of its VM. If a level or a charge is
/// wrong, either the process is killed for its memory, or requests are refused while
/// there is memory for them.
#include "process/memory_budget.hpp"

#include "connection/unique_fd.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>

#include <sys/socket.h>

#include <array>
#include <memory>

using namespace pistachiopost;

namespace {

constexpr std::uint64_t megabyte = 1U << 20U;
constexpr std::uint64_t limit = 8 * megabyte;

/// The connection of a caller.
struct connection
{
    explicit connection(memory_budget& budget)
    {
        std::array<int, 2> pair{-1, -1};
        cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()), 0);
        own = unique_fd(pair[0]);
        peer = unique_fd(pair[1]);
        memory = std::make_unique<connection_memory>(budget, own.get());
        cr_assert(memory->admit());
    }

    unique_fd own;
    unique_fd peer;
    std::unique_ptr<connection_memory> memory;
};

/// Returns a time at which a connection was last seen to make progress.
time_point stalled_since(milliseconds ago)
{
    return steady::now() - ago;
}

} // namespace

Test(memory_budget, bodies_leave_memory_to_small_requests_and_to_answers)
{
    memory_budget budget(limit);
    cr_assert(budget.try_take(6 * megabyte, memory_use::body));
    cr_assert_not(budget.try_take(1, memory_use::body));
    cr_assert(budget.try_take(megabyte, memory_use::request));
    cr_assert_not(budget.try_take(1, memory_use::request));
    cr_assert(budget.try_take(megabyte, memory_use::answer));
    cr_assert_not(budget.try_take(1, memory_use::answer));
}

Test(memory_budget, refused_bytes_are_not_taken)
{
    memory_budget budget(limit);
    cr_assert_not(budget.try_take(limit + 1, memory_use::answer));
    cr_assert_not(budget.try_take(~std::uint64_t{0}, memory_use::answer));
    cr_assert_eq(budget.used(), 0U);
}

Test(memory_budget, body_over_the_level_is_refused_without_a_wait)
{
    memory_budget budget(limit);
    const auto began = steady::now();
    cr_assert_not(budget.take(7 * megabyte, memory_use::body, began + seconds{60}));
    cr_assert_lt(steady::now() - began, seconds{30});
}

Test(memory_budget, everything_is_given_back_at_the_end_of_a_connection)
{
    memory_budget budget(limit);
    {
        const connection caller(budget);
        const auto now = steady::now();
        cr_assert(caller.memory->begin_request(now));
        cr_assert(caller.memory->cover_body(megabyte, now));
        cr_assert_gt(budget.used(), megabyte);
        cr_assert(caller.memory->begin_forwarding(megabyte, now));
        caller.memory->end_request();
        cr_assert_eq(budget.used(), connection_memory::connection_bytes);
    }
    cr_assert_eq(budget.used(), 0U);
}

Test(memory_budget, announced_bytes_that_a_body_does_not_have_are_given_back)
{
    memory_budget budget(limit);
    const connection caller(budget);
    const auto now = steady::now();
    cr_assert(caller.memory->begin_request(now));
    cr_assert(caller.memory->cover_body(megabyte, now));
    cr_assert(caller.memory->begin_forwarding(10, now));
    cr_assert_eq(budget.used(),
                 connection_memory::connection_bytes + connection_memory::request_bytes);
}

Test(memory_budget, small_bodies_take_nothing_beyond_their_request)
{
    memory_budget budget(limit);
    const connection caller(budget);
    const auto now = steady::now();
    cr_assert(caller.memory->begin_request(now));
    const auto before = budget.used();
    cr_assert(caller.memory->cover_body(connection_memory::small_body_bytes, now));
    cr_assert_eq(budget.used(), before);
}

Test(memory_budget, connection_without_progress_that_costs_most_is_closed_first)
{
    memory_budget budget(limit);
    const connection cheap(budget);
    const connection costly(budget);
    const connection fresh(budget);
    cr_assert(cheap.memory->begin_request(stalled_since(seconds{20})));
    cr_assert(costly.memory->begin_request(stalled_since(seconds{10})));
    cr_assert(costly.memory->cover_body(2 * megabyte, stalled_since(seconds{10})));
    cr_assert(fresh.memory->begin_request(steady::now()));
    cr_assert(fresh.memory->cover_body(2 * megabyte, steady::now()));
    // Nobody gives memory back here, so the request that is short is refused.
    cr_assert_not(
        budget.take(2 * megabyte, memory_use::body, steady::now() + milliseconds{120}));
    cr_assert(costly.memory->closed_for_memory());
    cr_assert_not(cheap.memory->closed_for_memory());
    cr_assert_not(fresh.memory->closed_for_memory());
    char byte = 0;
    cr_assert_eq(recv(costly.own.get(), &byte, 1, MSG_DONTWAIT), 0);
    cr_assert_not(costly.memory->begin_forwarding(2 * megabyte, steady::now()));
}

Test(memory_budget, request_that_was_forwarded_is_not_closed)
{
    memory_budget budget(limit);
    const connection caller(budget);
    const auto long_ago = stalled_since(seconds{60});
    cr_assert(caller.memory->begin_request(long_ago));
    cr_assert(caller.memory->cover_body(4 * megabyte, long_ago));
    cr_assert(caller.memory->begin_forwarding(4 * megabyte, long_ago));
    cr_assert_not(
        budget.take(4 * megabyte, memory_use::body, steady::now() + milliseconds{120}));
    cr_assert_not(caller.memory->closed_for_memory());
}

Test(memory_budget, caller_that_does_not_read_its_answer_is_closed)
{
    memory_budget budget(limit);
    const connection caller(budget);
    const auto now = steady::now();
    cr_assert(caller.memory->begin_request(now));
    cr_assert(caller.memory->begin_forwarding(0, now));
    memory_charge answer(budget, memory_use::answer);
    cr_assert(answer.resize(6 * megabyte, now));
    caller.memory->begin_sending(answer.bytes(), stalled_since(seconds{5}));
    cr_assert_not(
        budget.take(4 * megabyte, memory_use::answer, steady::now() + milliseconds{120}));
    cr_assert(caller.memory->closed_for_memory());
    const char byte = 0;
    cr_assert_lt(send(caller.own.get(), &byte, 1, MSG_NOSIGNAL), 0);
}

Test(memory_budget, progress_of_a_whole_step_keeps_a_connection)
{
    memory_budget budget(limit);
    const connection caller(budget);
    cr_assert(caller.memory->begin_request(stalled_since(seconds{60})));
    cr_assert(caller.memory->cover_body(4 * megabyte, stalled_since(seconds{60})));
    caller.memory->record_progress(memory_budget::progress_bytes, steady::now());
    cr_assert_not(
        budget.take(4 * megabyte, memory_use::body, steady::now() + milliseconds{120}));
    cr_assert_not(caller.memory->closed_for_memory());
}

Test(memory_budget, trickled_bytes_are_no_progress)
{
    memory_budget budget(limit);
    const connection caller(budget);
    cr_assert(caller.memory->begin_request(stalled_since(seconds{60})));
    cr_assert(caller.memory->cover_body(4 * megabyte, stalled_since(seconds{60})));
    caller.memory->record_progress(1, steady::now());
    cr_assert_not(
        budget.take(4 * megabyte, memory_use::body, steady::now() + milliseconds{120}));
    cr_assert(caller.memory->closed_for_memory());
}

Test(memory_budget, wait_ends_when_memory_is_given_back)
{
    memory_budget budget(limit);
    cr_assert(budget.try_take(limit, memory_use::answer));
    task other([&] { budget.give_back(limit); });
    cr_assert(budget.take(megabyte, memory_use::body, steady::now() + seconds{30}));
    other.join();
    cr_assert_eq(budget.used(), megabyte);
}
