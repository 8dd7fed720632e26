#include "gateway_fixture.hpp"

#include "process/gateway_process.hpp"

#include <sys/resource.h>

#include <thread>

using namespace pistachiopost;

namespace {

constexpr std::uint64_t engine_memory = 200'000; // tokens

std::string without_key(std::string_view path)
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: a.test\r\nRequest-Id: r1\r\n\r\n", path);
}

int status_of(gateway_fixture& gateway, std::string_view text)
{
    auto caller = gateway.connect();
    send_text(caller, text);
    return gateway_fixture::read_answer(caller).head.status;
}

} // namespace

Test(gateway_front, unknown_key_is_refused_with_401)
{
    gateway_fixture gateway;
    cr_assert_eq(status_of(gateway, without_key("/safe/x")), 401);
}

Test(gateway_front, public_route_needs_no_key)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    cr_assert_eq(status_of(gateway, without_key("/open/x")), 200);
}

Test(gateway_front, path_without_a_route_is_refused_with_404)
{
    gateway_fixture gateway;
    cr_assert_eq(gateway.send_request("/nowhere/x").head.status, 404);
}

namespace {

/// Another gateway announces a change of the configuration as of `version`.
void announce_configuration(gateway_fixture& gateway, std::uint64_t version)
{
    store_status status;
    status.watches = {true, true};
    status.changes[0] = {0, version};
    gateway.state->directory.record_message({"other", {"127.0.0.1", 1}, "z", 1}, status,
                                            steady::now());
}

} // namespace

/// Callers never repeat a request that was refused with 401 or 404. A gateway that lost
/// the store's answer knows from the others that its configuration is outdated.
Test(gateway_front, request_unknown_to_an_outdated_configuration_may_come_back)
{
    gateway_fixture gateway;
    gateway.state->directory.record_change(watched_table::configuration, {0, 7}, {0, 7},
                                           steady::now());
    announce_configuration(gateway, 9);
    for (const auto* path : {"/safe/x", "/nowhere/x"})
    {
        auto caller = gateway.connect();
        send_text(caller, without_key(path));
        const auto answer = gateway_fixture::read_answer(caller);
        cr_assert_eq(answer.head.status, 503);
        cr_assert_not_null(answer.head.find("Retry-After"));
    }
    gateway.state->directory.record_change(watched_table::configuration, {0, 9}, {0, 9},
                                           steady::now());
    cr_assert_eq(status_of(gateway, without_key("/safe/x")), 401);
    cr_assert_eq(status_of(gateway, without_key("/nowhere/x")), 404);
}

/// A row that was removed has no version in a complete read of the table.
Test(gateway_front, configuration_read_after_a_removed_row_is_not_outdated)
{
    gateway_fixture gateway;
    announce_configuration(gateway, 9);
    gateway.state->directory.record_change(watched_table::configuration, {0, 7}, {0, 9},
                                           steady::now());
    cr_assert_eq(status_of(gateway, without_key("/nowhere/x")), 404);
}

Test(gateway_front, request_before_the_first_configuration_is_answered_with_retry_after)
{
    gateway_fixture gateway;
    gateway.state->backends_loaded = false;
    const auto answer = gateway.send_request("/safe/x");
    cr_assert_eq(answer.head.status, 503);
    cr_assert_not_null(answer.head.find("Retry-After"));
}

Test(gateway_front, request_without_any_backend_server_is_answered_with_retry_after)
{
    gateway_fixture gateway;
    const auto answer = gateway.send_request("/stream/x", prompt_headers(100));
    cr_assert_eq(answer.head.status, 503);
    cr_assert_not_null(answer.head.find("Retry-After"));
}

Test(gateway_front, head_over_the_limit_is_refused_with_431)
{
    gateway_fixture gateway;
    const std::string large(20'000, 'x');
    cr_assert_eq(
        gateway.send_request("/safe/x", "X-Large: " + large + "\r\n").head.status, 431);
}

Test(gateway_front, body_over_the_limit_is_refused_with_413)
{
    gateway_fixture gateway;
    auto caller = gateway.connect();
    send_text(caller,
              "POST /safe/x HTTP/1.1\r\nHost: a.test\r\nContent-Length: 5000000\r\n\r\n");
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 413);
}

Test(gateway_front, bytes_that_are_not_http_are_refused_with_400)
{
    gateway_fixture gateway;
    cr_assert_eq(status_of(gateway, "no http\r\n\r\n"), 400);
}

Test(gateway_front, pipelined_requests_are_answered_in_order)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 200, request.body);
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    auto caller = gateway.connect();
    send_text(caller, gateway_fixture::request("/once/x", {}, "one") +
                          gateway_fixture::request("/once/x", {}, "two"));
    cr_assert_eq(gateway_fixture::read_answer(caller).body, "one");
    cr_assert_eq(gateway_fixture::read_answer(caller).body, "two");
}

Test(gateway_front, stopping_gateway_answers_and_closes_the_connection)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    auto caller = gateway.connect();
    gateway.state->stopping = true;
    cr_assert_not(gateway.state->ready());
    send_text(caller, gateway_fixture::request("/once/x"));
    const auto answer = gateway_fixture::read_answer(caller);
    cr_assert_eq(answer.body, "ok");
    cr_assert_eq(answer.head.value("Connection"), "close");
}

Test(gateway_front, idle_connection_is_closed_when_the_gateway_stops)
{
    gateway_fixture gateway;
    auto caller = gateway.connect();
    signal_event_fd(gateway.state->stop_fd);
    cr_assert_eq(wait_readable(caller.fd(), -1, steady::now() + seconds{5}),
                 wake_cause::first);
    cr_assert(peer_closed(caller.fd()));
}

Test(gateway_front, connection_after_the_drain_is_refused)
{
    // Requests accepted long after a stop signal would be cut off when the process exits.
    auto listener = listen_tcp({"127.0.0.1", 0});
    sockaddr_in addr{};
    socklen_t n = sizeof addr;
    getsockname(listener.get(), reinterpret_cast<sockaddr*>(&addr), &n);
    const endpoint where{"127.0.0.1", ntohs(addr.sin_port)};
    gateway_fixture gateway;
    task serving([&] {
        accept_callers<platform::adapter::codec>(*gateway.state, std::move(listener));
    });
    signal_event_fd(gateway.state->stop_fd);
    serving.join();
    bool refused = false;
    try
    {
        connect_tcp(where, 1'000);
    }
    catch (const connection_error&)
    {
        refused = true;
    }
    cr_assert(refused);
}

Test(gateway_front,
     idle_connection_under_an_extended_idle_timeout_serves_the_next_request)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    gateway.configure(2, engine_memory, {{"idle-timeout-ms", 400}});
    auto caller = gateway.connect();
    send_text(caller, gateway_fixture::request("/safe/x"));
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
    gateway.configure(3, engine_memory, {{"idle-timeout-ms", 4'000}});
    std::this_thread::sleep_for(milliseconds{1'800});
    send_text(caller, gateway_fixture::request("/safe/x"));
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
}

/// Callers use a connection again until the timeout that the operator has set. A request
/// sent at its end crossed the close of the connection and got no answer.
Test(gateway_front, request_sent_at_the_end_of_the_idle_timeout_is_answered)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    gateway.configure(2, engine_memory, {{"idle-timeout-ms", 400}});
    auto caller = gateway.connect();
    send_text(caller, gateway_fixture::request("/once/x"));
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
    std::this_thread::sleep_for(milliseconds{500}); // sent in time, delayed on the way
    send_text(caller, gateway_fixture::request("/once/x"));
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
}

Test(gateway_front, connection_idle_for_longer_than_its_timeout_is_closed)
{
    gateway_fixture gateway;
    gateway.configure(2, engine_memory, {{"idle-timeout-ms", 400}});
    auto caller = gateway.connect();
    cr_assert_eq(wait_readable(caller.fd(), -1, steady::now() + seconds{10}),
                 wake_cause::first);
    cr_assert(peer_closed(caller.fd()));
}

Test(gateway_front, request_on_an_idle_connection_is_read_under_the_limits_in_force)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    gateway.configure(2, engine_memory, {{"max-body-bytes", 100}});
    auto caller = gateway.connect();
    send_text(caller, gateway_fixture::request("/safe/x"));
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
    gateway.configure(3, engine_memory, {{"max-body-bytes", 10'000}});
    send_text(caller, gateway_fixture::request("/safe/x", {}, std::string(5'000, 'x')));
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
}

Test(gateway_front, request_that_must_queue_without_a_free_descriptor_is_refused)
{
    gateway_fixture gateway;
    auto caller = gateway.connect();
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    const auto first_free = static_cast<rlim_t>(open_event_fd().get());
    const rlimit exhausted{first_free, limit.rlim_max};
    setrlimit(RLIMIT_NOFILE, &exhausted);
    send_text(caller, gateway_fixture::request("/safe/x"));
    const auto answer = gateway_fixture::read_answer(caller);
    setrlimit(RLIMIT_NOFILE, &limit);
    cr_assert_eq(answer.head.status, 503);
    cr_assert_not_null(answer.head.find("Retry-After"));
}

Test(gateway_front, request_still_queued_near_the_end_of_a_stop_is_refused)
{
    gateway_fixture gateway;
    gateway.state->stop_grace = milliseconds{3'500};
    gateway.state->connections = 1;
    stop_flag stop;
    const auto ends_at = steady::now() + milliseconds{3'000};
    const auto closes_at = ends_at - milliseconds{500};
    task draining([&] { drain(*gateway.state, stop); });
    std::this_thread::sleep_for(milliseconds{1'500});
    auto caller = gateway.connect();
    send_text(caller, gateway_fixture::request("/safe/x"));
    const auto answer = gateway_fixture::read_answer(caller);
    const auto answered_at = steady::now();
    gateway.state->connections = 0;
    draining.join();
    cr_assert_eq(answer.head.status, 503);
    cr_assert(answered_at >= closes_at, "it was queued");
    cr_assert(answered_at < ends_at);
}
