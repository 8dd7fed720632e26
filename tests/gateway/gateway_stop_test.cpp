/// Requests that arrive in the grace period of a planned stop. Those that come late must
/// not be passed on: the process ends before their answer, and nobody learns whether they
/// ran. Each one that is passed on gets an answer before the process ends.
#include "gateway_fixture.hpp"

#include "process/gateway_process.hpp"

#include <criterion/criterion.h>

#include <array>
#include <thread>

using namespace pistachiopost;

namespace {

/// A gateway whose backend servers answer only after its end: the longest run that a
/// route allows.
struct stopping_fixture : gateway_fixture
{
    explicit stopping_fixture(milliseconds grace = milliseconds{4'500})
    {
        state->stop_grace = grace;
        state->connections = 1; // as if the listener had accepted the test's connections
        add_backend(plain, "i-1", "plain");
        add_backend(model, "i-2", "model");
    }

    ~stopping_fixture()
    {
        signal_event_fd(release);
        state->connections = 0;
        end_of_test.set();
        draining.join();
        join_connections();
    }

    /// Begins the stop, as SIGTERM does, and waits until the gateway has noticed it.
    void stop()
    {
        draining = task([this] { drain(*state, end_of_test); });
        while (!state->stopping)
        {
            std::this_thread::sleep_for(milliseconds{1});
        }
        stopped_at = steady::now();
    }

    /// Waits until the stop has begun `after` ago.
    void wait_until(milliseconds after) const
    {
        std::this_thread::sleep_until(stopped_at + after);
    }

    /// Returns the number of requests that backend servers have received.
    std::size_t runs() { return plain.requests().size() + model.requests().size(); }

    /// Waits until a backend server has received a request.
    void wait_for_run()
    {
        while (runs() == 0)
        {
            std::this_thread::sleep_for(milliseconds{5});
        }
    }

    void hold(tcp_stream& stream, const received_request& request, bool is_stream)
    {
        if (request.body == "short")
        {
            send_response(stream, request, 200, "done");
            return;
        }
        if (is_stream)
        {
            begin_event_stream(stream, request);
            send_chunk(stream, event(1));
        }
        wait_readable(release.get(), stream.fd(), steady::now() + seconds{20});
    }

    unique_fd release = open_event_fd();
    stop_flag end_of_test;
    time_point stopped_at;
    scripted_backend plain{
        [this](auto& stream, const auto& request) { hold(stream, request, false); }};
    scripted_backend model{
        [this](auto& stream, const auto& request) { hold(stream, request, true); }};
    task draining;
};

/// A request of a caller who waits for longer than the grace period lasts.
std::string patient_request(std::string_view path, std::string_view body = {})
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.test\r\nRequest-Id: r1\r\n"
                       "Deadline-Ms: 20000\r\nApi-Key: key-a\r\n{}"
                       "Content-Length: {}\r\n\r\n{}",
                       path, prompt_headers(1'000), body.size(), body);
}

constexpr std::array routes{"/once/x", "/safe/x", "/fixed/x", "/stream/x"};

// The load balancer has taken the gateway out of rotation by then.
constexpr milliseconds late{2'600};

} // namespace

/// A caller that is as fast as the gateway: the next request is there before the gateway
/// closes the connection.
Test(gateway_stop, request_on_a_kept_connection_late_in_the_stop_is_not_passed_on)
{
    for (const auto* path : routes)
    {
        stopping_fixture it;
        auto caller = it.connect();
        send_text(caller, patient_request("/once/x"));
        it.wait_for_run(); // begun before the stop, so its answer does not announce it
        send_text(caller, patient_request(path));
        it.stop();
        it.wait_until(late);
        signal_event_fd(it.release);
        const auto first = gateway_fixture::read_answer(caller);
        const auto second = gateway_fixture::read_answer(caller);
        cr_assert_eq(it.runs(), 1U, "%s", path);
        cr_assert(first.head.status == 502 && first.complete);
        cr_assert(second.head.status == 503 && second.complete, "%s: %d", path,
                  second.head.status);
        cr_assert_eq(second.head.value("Connection"), "close");
    }
}

Test(gateway_stop, request_whose_body_ends_late_in_the_stop_is_not_passed_on)
{
    for (const auto* path : routes)
    {
        stopping_fixture it;
        auto caller = it.connect();
        const auto text = patient_request(path, "body");
        send_text(caller, text.substr(0, text.size() - 1));
        it.stop();
        it.wait_until(late);
        send_text(caller, text.substr(text.size() - 1));
        const auto answer = gateway_fixture::read_answer(caller);
        cr_assert_eq(it.runs(), 0U);
        cr_assert(answer.head.status == 503 && answer.complete, "%s", path);
    }
}

/// Connections that were accepted before the load balancer noticed the stop.
Test(gateway_stop, requests_on_new_connections_late_in_the_stop_are_not_passed_on)
{
    stopping_fixture it;
    it.stop();
    for (milliseconds after = late; after < milliseconds{3'900};
         after += milliseconds{200})
    {
        it.wait_until(after);
        auto caller = it.connect();
        int status = 0;
        try
        {
            send_text(caller, patient_request("/once/x"));
            status = gateway_fixture::read_answer(caller).head.status;
        }
        catch (const connection_error&)
        {
            // Closed before the request was read, which resets the connection.
        }
        cr_assert(status == 503 || status == 0);
    }
    cr_assert_eq(it.runs(), 0U);
}

/// The longest run that a route allows exceeds the rest of the grace period.
Test(gateway_stop, call_that_runs_until_the_end_of_the_stop_is_answered)
{
    for (const auto* path : {"/once/x", "/safe/x"})
    {
        stopping_fixture it(milliseconds{3'500}); // the route allows 4 s
        auto caller = it.connect();
        send_text(caller, patient_request(path));
        it.wait_for_run();
        it.stop();
        const auto answer = gateway_fixture::read_answer(caller);
        const auto answered_at = steady::now();
        cr_assert(answer.complete, "%s", path);
        cr_assert_eq(answer.head.status, 504);
        cr_assert(answered_at - it.stopped_at < it.state->stop_grace.load());
    }
}

Test(gateway_stop, stream_that_runs_until_the_end_of_the_stop_is_not_reported_complete)
{
    stopping_fixture it;
    auto caller = it.connect();
    send_text(caller, patient_request("/fixed/x"));
    it.wait_for_run();
    it.stop();
    it.draining.join();
    signal_event_fd(it.release);
    const auto answer = gateway_fixture::read_answer(caller);
    cr_assert_eq(answer.body, event(1));
    cr_assert_not(answer.complete);
}

/// A call that must not be repeated is refused while it can still go elsewhere, if the
/// process may end before its answer.
Test(gateway_stop, call_that_may_run_once_is_passed_on_only_if_the_stop_leaves_its_time)
{
    stopping_fixture brief(milliseconds{4'500});
    brief.stop();
    brief.wait_until(milliseconds{1'000});
    const auto refused = brief.send_request("/once/x", {}, "short");
    cr_assert_eq(refused.head.status, 503);
    cr_assert_not_null(refused.head.find("Retry-After"));
    cr_assert_eq(brief.runs(), 0U);
    cr_assert_eq(brief.send_request("/safe/x", {}, "short").head.status, 200);
}

Test(gateway_stop, call_that_fits_into_the_rest_of_the_stop_is_served)
{
    stopping_fixture it(milliseconds{8'000});
    it.stop();
    for (milliseconds after{0}; after < milliseconds{2'400}; after += milliseconds{400})
    {
        it.wait_until(after);
        const auto answer = it.send_request("/once/x", {}, "short");
        cr_assert_eq(answer.head.status, 200);
        cr_assert_eq(answer.head.value("Connection"), "close");
    }
}

/// A further attempt would be passed on with a fraction of a second left.
Test(gateway_stop, call_that_breaks_off_after_the_queue_closed_is_not_sent_again)
{
    gateway_fixture gateway;
    const auto break_off = [&](tcp_stream&, const received_request&) {
        gateway.state->close_queue();
    };
    scripted_backend one(break_off);
    scripted_backend two(break_off);
    gateway.add_backend(one, "i-1", "plain");
    gateway.add_backend(two, "i-2", "plain");
    const auto answer = gateway.send_request("/safe/x");
    cr_assert(answer.complete);
    cr_assert_eq(answer.head.status, 502);
    cr_assert_eq(one.requests().size() + two.requests().size(), 1U);
    gateway.join_connections();
}
