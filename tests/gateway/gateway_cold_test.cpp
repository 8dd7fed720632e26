#include "connection/forward_attempt.hpp"
#include "gateway_fixture.hpp"

using namespace pistachiopost;

namespace {

/// Observer of an attempt that none is to reach.
struct silent_observer
{
    static bool may_send() { return true; }
    void first_event() {}
    bool take_over(time_point) { return false; }
    void notice(const backend_notice&, time_point) {}
};

/// A gateway whose plain service has a cold start and whose share is one request.
struct cold_gateway_fixture : gateway_fixture
{
    explicit cold_gateway_fixture(double bound)
    {
        const auto now = steady::now();
        state->dispatch.update_registry(now, [](backend_registry& it) {
            it.set_cold_services({{"plain", {seconds{60}, 1}}});
        });
        state->dispatch.update_cold_allowance(now, [&](cold_allowance& it) {
            it = cold_allowance("me", now - cold_slot_interval);
            it.set_bound({bound, 0});
            it.set_predecessors({});
        });
    }
};

} // namespace

// Guards against a server that turns cold again and is told so to the gateway by its
// answers only.
Test(gateway_cold, server_is_cold_for_the_time_that_its_answer_states)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_text(stream, fmt::format("HTTP/1.1 200 x\r\nRequest-Id: {}\r\n"
                                      "Response-Stamp: s\r\nCold-Ms: 60000\r\n"
                                      "Content-Length: 2\r\n\r\nok",
                                      request_id_of(request)));
    });
    cold_gateway_fixture gateway(1);
    gateway.add_backend(server, "i-1", "plain");
    cr_assert_eq(gateway.send_request("/safe/x").head.status, 200);
    cr_assert_eq(gateway.state->dispatch.count_cold(steady::now()).cold, 1U);
    cr_assert_eq(gateway.state->dispatch.count_cold(steady::now() + seconds{61}).cold,
                 0U);
}

// Guards against an error that looks like an outage: the request has not run and waits
// for allowance like for any other capacity.
Test(gateway_cold, request_without_allowance_waits_and_is_refused_as_not_run)
{
    scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    });
    cold_gateway_fixture gateway(0);
    gateway.add_backend(server, "i-1", "plain");
    gateway.state->dispatch.update_registry(
        steady::now(), [](backend_registry& it) { it.assume_cold("z", steady::now()); });
    const auto answer = gateway.send_request("/once/x");
    cr_assert_eq(answer.head.status, 503);
    cr_assert(answer.body.find("not run") != std::string::npos);
    cr_assert(server.requests().empty());
}

// Guards against a process that was paused between the placement and the attempt: what it
// sends then would add up with the requests of the next second.
Test(gateway_cold, attempt_is_not_sent_after_its_allowance_has_expired)
{
    scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    });
    int pair[2] = {-1, -1};
    cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), 0);
    const unique_fd other_end(pair[1]);
    tcp_stream caller{unique_fd(pair[0])};
    const auto until = steady::now() + seconds{5};
    caller_response response(caller, until, false);
    const received_request received;
    const forwarded_request request;
    const route any_route;
    exchange it{received, request, any_route, caller, response, {}, {}, until};
    memory_budget answers(1'000'000);
    const answer_limits limits{1'000, 1'000, answers};
    const notice_handler ignore = [](const auto&, const auto&) {};
    memory_lease<platform::adapter::codec> memory(ignore);
    silent_observer observer;
    const attempt_timeouts timeouts{seconds{1}, seconds{1}, seconds{1}};
    forward_attempt<platform::adapter::codec, silent_observer> attempt(
        it, timeouts, limits, memory, observer);
    forward_options terms;
    terms.send_by = steady::now() - milliseconds{1};
    const auto result =
        attempt.run({"i-1", "plain", server.address, "z", 4, false, 1}, terms);
    cr_assert_eq(result.end, attempt_end::not_run);
    cr_assert(result.expired);
    cr_assert(server.requests().empty());
}
