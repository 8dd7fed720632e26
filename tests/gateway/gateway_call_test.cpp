#include "gateway_fixture.hpp"

using namespace pistachiopost;

Test(gateway_call, answer_is_forwarded_unchanged)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 201, "body");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    const auto answer = gateway.send_request("/once/x", {}, "order");
    cr_assert_eq(answer.head.status, 201);
    cr_assert_eq(answer.body, "body");
    cr_assert_eq(answer.head.value("Response-Stamp"), "s");
}

Test(gateway_call, backend_server_receives_customer_and_deadline_but_no_key)
{
    scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    gateway.send_request("/safe/x", "Tenant: forged\r\nX-Other: kept\r\n");
    const auto head = server.requests().at(0).head;
    cr_assert_eq(head.value("Tenant"), "ann");
    cr_assert_null(head.find("Api-Key"));
    cr_assert_eq(head.value("X-Other"), "kept");
    cr_assert_eq(head.value("Expect-Instance"), "i-1");
    const auto left = std::stoi(std::string(head.value("Deadline-Ms")));
    cr_assert(left > 2'000 && left < 3'000, "deadline sent: %d ms", left);
}

Test(gateway_call, call_that_may_run_once_is_not_retried_after_a_connection_failure)
{
    const auto drop_connection = [](tcp_stream&, const received_request&) {};
    scripted_backend one(drop_connection);
    scripted_backend two(drop_connection);
    gateway_fixture gateway;
    gateway.add_backend(one, "i-1", "plain");
    gateway.add_backend(two, "i-2", "plain");
    const auto answer = gateway.send_request("/once/x");
    cr_assert_eq(answer.head.status, 502);
    cr_assert_eq(one.requests().size() + two.requests().size(), 1U);
}

Test(gateway_call, idempotent_call_is_retried_after_a_connection_failure)
{
    std::atomic<int> count = 0;
    const auto drop_first_connection = [&](tcp_stream& stream,
                                           const received_request& request) {
        if (++count == 2)
        {
            send_response(stream, request, 200, "second");
        }
    };
    const scripted_backend one(drop_first_connection);
    const scripted_backend two(drop_first_connection);
    gateway_fixture gateway;
    gateway.add_backend(one, "i-1", "plain");
    gateway.add_backend(two, "i-2", "plain");
    cr_assert_eq(gateway.send_request("/safe/x").body, "second");
}

Test(gateway_call, refusal_by_all_backend_servers_is_answered_with_retry_after)
{
    scripted_backend server([](auto& stream, const auto&) {
        send_text(stream, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    const auto answer = gateway.send_request("/once/x");
    cr_assert_eq(answer.head.status, 503);
    cr_assert_not_null(answer.head.find("Retry-After"));
}

Test(gateway_call, answer_to_another_request_is_not_forwarded)
{
    const scripted_backend server([](auto& stream, const auto&) {
        send_text(stream, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Stamp: s\r\n"
                          "Content-Length: 1\r\n\r\nx");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    cr_assert_eq(gateway.send_request("/once/x").head.status, 502);
}

Test(gateway_call, refusal_of_another_request_is_not_taken_as_a_promise)
{
    const auto repeat_refusal = [](tcp_stream& stream, const received_request&) {
        send_text(stream, "HTTP/1.1 503 x\r\nRequest-Id: earlier\r\nNot-Run: 1\r\n"
                          "Content-Length: 0\r\n\r\n");
    };
    scripted_backend one(repeat_refusal);
    scripted_backend two(repeat_refusal);
    gateway_fixture gateway;
    gateway.add_backend(one, "i-1", "plain");
    gateway.add_backend(two, "i-2", "plain");
    cr_assert_eq(gateway.send_request("/once/x").head.status, 502);
    cr_assert_eq(one.requests().size() + two.requests().size(), 1U);
}

Test(gateway_call, refusal_sent_after_a_complete_answer_is_not_forwarded)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_text(
            stream,
            fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {0}\r\nResponse-Stamp: s\r\n"
                        "Content-Length: 2\r\n\r\nok"
                        "HTTP/1.1 503 x\r\nRequest-Id: {0}\r\nNot-Run: 1\r\n"
                        "Content-Length: 0\r\n\r\n",
                        request_id_of(request)));
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    auto caller = gateway.connect();
    for (int i = 0; i < 2; ++i)
    {
        send_text(caller, gateway_fixture::request("/once/x"));
        const auto answer = gateway_fixture::read_answer(caller);
        cr_assert_eq(answer.head.status, 200);
        cr_assert_eq(answer.body, "ok");
    }
}

Test(gateway_call, interim_response_with_a_refusal_is_not_taken_as_a_promise)
{
    scripted_backend server([](auto& stream, const auto& request) {
        send_text(stream,
                  fmt::format("HTTP/1.1 102 x\r\nNot-Run: 1\r\n\r\n"
                              "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                              "Content-Length: 2\r\n\r\nok",
                              request_id_of(request)));
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    const auto status = gateway.send_request("/once/x").head.status;
    cr_assert(status == 200 || status == 502, "status %d", status);
    cr_assert_eq(server.requests().size(), 1U);
}

Test(gateway_call, truncated_answer_is_not_forwarded)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_text(stream,
                  fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                              "Content-Length: 10\r\n\r\nabc",
                              request_id_of(request)));
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    cr_assert_eq(gateway.send_request("/once/x").head.status, 502);
}

Test(gateway_call, answer_without_length_ends_at_the_close_of_its_connection)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_text(stream,
                  fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                              "\r\nunframed",
                              request_id_of(request)));
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    cr_assert_eq(gateway.send_request("/once/x").body, "unframed");
}

/// The parser took the length of an answer for one over a limit that was not set, unless
/// bytes of the body had arrived together with the head.
Test(gateway_call, answer_whose_body_follows_its_head_later_is_forwarded)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_text(stream,
                  fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                              "Content-Length: 2\r\n\r\n",
                              request_id_of(request)));
        wait_readable(-1, -1, steady::now() + milliseconds{50});
        send_text(stream, "ok");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    const auto answer = gateway.send_request("/once/x");
    cr_assert_eq(answer.head.status, 200);
    cr_assert_eq(answer.body, "ok");
}

Test(gateway_call, error_response_is_forwarded_with_its_status)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_response(stream, request, 500, "broken");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    const auto answer = gateway.send_request("/once/x");
    cr_assert_eq(answer.head.status, 500);
    cr_assert_eq(answer.body, "broken");
}

Test(gateway_call, early_answer_is_read_although_the_body_was_not_sent_completely)
{
    // Reads the head only; the body is larger than the socket buffers.
    const auto listener = listen_tcp({"127.0.0.1", 0});
    sockaddr_in addr{};
    socklen_t n = sizeof addr;
    getsockname(listener.get(), reinterpret_cast<sockaddr*>(&addr), &n);
    const auto answered = open_event_fd();
    task server([&] {
        wait_readable(listener.get(), -1, steady::now() + seconds{5});
        tcp_stream stream(accept_tcp(listener));
        wait_readable(stream.fd(), -1, steady::now() + seconds{5});
        stream.receive();
        send_text(stream, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        wait_readable(answered.get(), -1, steady::now() + seconds{5});
    });
    gateway_fixture gateway;
    const backend_record record{
        "i-1", "plain", {"127.0.0.1", ntohs(addr.sin_port)}, "z", 4, false, 1};
    gateway.state->dispatch.update_registry(
        steady::now(), [&](auto& it) { it.upsert(record, steady::now()); });
    const std::string body(4'000'000, 'x');
    const auto answer = gateway.send_request("/once/x", {}, body);
    signal_event_fd(answered);
    server.join();
    cr_assert_eq(answer.head.status, 503);
}

Test(gateway_call,
     request_that_crashed_three_backend_servers_is_refused_without_an_attempt)
{
    scripted_backend server([](auto&, const auto&) {});
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    const auto now = steady::now();
    const auto fingerprint = request_fingerprint("/safe/x", "ann", "poison");
    for (const char* it : {"i-7", "i-8", "i-9"})
    {
        gateway.state->crashes.add_broken_attempt(suspects_of(fingerprint, {}), {it, 1},
                                                  answer_progress::none, now);
    }
    cr_assert_eq(gateway.send_request("/safe/x", {}, "poison").head.status, 502);
    cr_assert(server.requests().empty());
}

Test(gateway_call, backend_server_that_does_not_read_a_body_in_time_has_not_crashed)
{
    const auto listener = listen_tcp({"127.0.0.1", 0});
    sockaddr_in addr{};
    socklen_t n = sizeof addr;
    getsockname(listener.get(), reinterpret_cast<sockaddr*>(&addr), &n);
    gateway_fixture gateway;
    const backend_record record{
        "i-1", "plain", {"127.0.0.1", ntohs(addr.sin_port)}, "z", 4, false, 1};
    gateway.state->dispatch.update_registry(
        steady::now(), [&](auto& it) { it.upsert(record, steady::now()); });
    const auto answer = gateway.send_request("/once/x", {}, std::string(4'000'000, 'x'));
    cr_assert_eq(answer.head.status, 504);
    cr_assert(gateway.state->crashes.news(steady::now()).crashes.empty());
}
