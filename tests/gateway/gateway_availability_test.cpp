#include "gateway_fixture.hpp"

#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <thread>

using namespace pistachiopost;

namespace {

/// Sends a complete answer with further header fields.
void send_answer_with(tcp_stream& stream, const received_request& request,
                      std::string_view fields)
{
    send_text(stream, fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                                  "Response-Stamp: s\r\n{}Content-Length: 2\r\n\r\nok",
                                  request_id_of(request), fields));
}

void answer_as_leaving(tcp_stream& stream, const received_request& request)
{
    send_answer_with(stream, request, "Server-Leaving: 1\r\n");
}

void answer_as_ready(tcp_stream& stream, const received_request& request)
{
    send_answer_with(stream, request, "");
}

/// A gateway before two backend servers of the plain service; `first` runs a script, the
/// other one answers all requests.
struct pair_fixture : gateway_fixture
{
    explicit pair_fixture(const scripted_backend::script& script)
        : first(script), second(answer_as_ready)
    {
        add_backend(first, "i-1", "plain");
    }

    /// Adds the second backend server, which gets no request before.
    void add_second() { add_backend(second, "i-2", "plain"); }

    /// Sends `n` requests one after the other and returns how many succeed.
    int send_requests(int n)
    {
        int answered = 0;
        for (int i = 0; i < n; ++i)
        {
            answered += send_request("/safe/x").head.status == 200 ? 1 : 0;
        }
        return answered;
    }

    scripted_backend first;
    scripted_backend second;
};

} // namespace

Test(gateway_availability, backend_server_that_said_it_leaves_gets_no_request)
{
    pair_fixture it(answer_as_leaving);
    cr_assert_eq(it.send_requests(1), 1);
    it.add_second();
    it.add_backend(it.first, "i-1", "plain"); // the list lags
    cr_assert_eq(it.send_requests(20), 20);
    cr_assert_eq(it.first.requests().size(), 1U);
}

Test(gateway_availability, backend_server_that_refuses_because_it_leaves_gets_no_request)
{
    pair_fixture it([](auto& stream, const auto&) {
        send_text(stream, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nServer-Leaving: 1\r\n"
                          "Content-Length: 0\r\n\r\n");
    });
    it.add_second();
    cr_assert_eq(it.send_requests(20), 20);
    std::this_thread::sleep_for(milliseconds{200}); // longer than a first ejection
    cr_assert_eq(it.send_requests(20), 20);
    cr_assert_leq(it.first.requests().size(), 1U);
}

Test(gateway_availability,
     backend_server_that_leaves_while_its_stream_runs_gets_no_request)
{
    const auto finish = open_event_fd();
    const auto respond = [&](tcp_stream& stream, const received_request& request) {
        send_text(stream,
                  fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                              "Content-Type: text/event-stream\r\nServer-Leaving: 1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n",
                              request_id_of(request)));
        send_chunk(stream, event(1));
        wait_readable(finish.get(), -1, steady::now() + milliseconds{800});
        send_chunk(stream, event(2));
        send_text(stream, "0\r\n\r\n");
    };
    scripted_backend leaving(respond);
    scripted_backend ready([](auto& stream, const auto& request) {
        send_event_stream(stream, request, 1, 1);
    });
    gateway_fixture gateway;
    gateway.add_backend(leaving, "i-1", "model");
    auto caller = gateway.connect();
    send_text(caller, gateway_fixture::request("/stream/x", prompt_headers(1'000)));
    wait_readable(caller.fd(), -1, steady::now() + seconds{5});
    gateway.add_backend(ready, "i-2", "model");
    for (int i = 0; i < 10; ++i)
    {
        cr_assert(gateway.send_request("/stream/x", prompt_headers(1'000)).complete);
    }
    cr_assert_eq(leaving.requests().size(), 1U);
    signal_event_fd(finish);
    const auto answer = gateway_fixture::read_answer(caller);
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2));
}

Test(gateway_availability, restarted_backend_server_gets_requests_again)
{
    std::atomic<bool> restarted = false;
    pair_fixture it([&](auto& stream, const auto& request) {
        restarted ? answer_as_ready(stream, request) : answer_as_leaving(stream, request);
    });
    cr_assert_eq(it.send_requests(1), 1);
    restarted = true;
    const backend_record record{"i-1", "plain", it.first.address, "z", 4, false, 2};
    it.state->dispatch.update_registry(
        steady::now(), [&](auto& registry) { registry.upsert(record, steady::now()); });
    cr_assert_eq(it.send_requests(3), 3);
}

Test(gateway_availability, request_is_refused_if_the_only_backend_server_leaves)
{
    pair_fixture it(answer_as_leaving);
    cr_assert_eq(it.send_requests(1), 1);
    const auto answer = it.send_request("/once/x");
    cr_assert_eq(answer.head.status, 503);
    cr_assert_eq(it.first.requests().size(), 1U);
}

Test(gateway_availability, helper_that_says_leaving_in_a_memory_order_is_replaced)
{
    std::atomic<bool> said = false;
    std::atomic<int> after_news = 0; // other than the release of its memory
    const auto serve = [&](bool& leaving, tcp_stream& stream, const auto& request) {
        const bool order = request.head.target == "/v1/order";
        if (leaving && request.body.find("release") == std::string::npos)
        {
            ++after_news;
        }
        leaving = leaving || (order && !said.exchange(true));
        if (order)
        {
            send_text(stream, fmt::format("HTTP/1.1 200 OK\r\n{}"
                                          "Content-Length: 2\r\n\r\n{{}}",
                                          leaving ? "Server-Leaving: 1\r\n" : ""));
            return;
        }
        send_event_stream(stream, request, 1, 1);
    };
    std::array<bool, 3> leaving{};
    const auto script_of = [&](std::size_t i) {
        return [&, i](tcp_stream& stream, const received_request& request) {
            serve(leaving.at(i), stream, request);
        };
    };
    const scripted_backend one(script_of(0));
    const scripted_backend two(script_of(1));
    const scripted_backend three(script_of(2));
    gateway_fixture gateway;
    gateway.configure(2, 50'000);
    gateway.add_backend(one, "i-1", "model");
    gateway.add_backend(two, "i-2", "model");
    gateway.add_backend(three, "i-3", "model");
    for (int i = 0; i < 3; ++i)
    {
        cr_assert(gateway.send_request("/stream/x", prompt_headers(80'000)).complete);
    }
    cr_assert(said);
    gateway.join_connections();
    cr_assert_eq(after_news, 0);
}
