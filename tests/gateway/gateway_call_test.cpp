#include "gateway_fixture.hpp"

using namespace pistachiopost;

Test(gateway_call, answer_is_passed_on_unchanged)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        answer_whole(stream, request, 201, "body");
    });
    gateway_fixture gateway;
    gateway.add(server, "i-1", "plain");
    const auto answer = gateway.ask("/once/x", {}, "order");
    cr_assert_eq(answer.head.status, 201);
    cr_assert_eq(answer.body, "body");
    cr_assert_eq(answer.head.value("Response-Stamp"), "s");
}

Test(gateway_call, backend_server_gets_the_customer_and_the_time_left_but_no_key)
{
    scripted_backend server([](auto& stream, const auto& request) {
        answer_whole(stream, request, 200, "ok");
    });
    gateway_fixture gateway;
    gateway.add(server, "i-1", "plain");
    gateway.ask("/safe/x", "Tenant: forged\r\nX-Other: kept\r\n");
    const auto head = server.requests().at(0).head;
    cr_assert_eq(head.value("Tenant"), "ann");
    cr_assert_null(head.find("Api-Key"));
    cr_assert_eq(head.value("X-Other"), "kept");
    cr_assert_eq(head.value("Expect-Instance"), "i-1");
    const auto left = std::stoi(std::string(head.value("Deadline-Ms")));
    cr_assert(left > 2'000 && left < 3'000, "left: %d", left);
}

Test(gateway_call, call_that_may_run_once_is_not_repeated_after_a_broken_connection)
{
    const auto die = [](tcp_stream&, const received_request&) {};
    scripted_backend one(die);
    scripted_backend two(die);
    gateway_fixture gateway;
    gateway.add(one, "i-1", "plain");
    gateway.add(two, "i-2", "plain");
    const auto answer = gateway.ask("/once/x");
    cr_assert_eq(answer.head.status, 502);
    cr_assert_eq(one.requests().size() + two.requests().size(), 1U);
}

Test(gateway_call, idempotent_call_is_repeated_after_a_broken_connection)
{
    std::atomic<int> count = 0;
    const auto die_first = [&](tcp_stream& stream, const received_request& request) {
        if (++count == 2)
        {
            answer_whole(stream, request, 200, "second");
        }
    };
    const scripted_backend one(die_first);
    const scripted_backend two(die_first);
    gateway_fixture gateway;
    gateway.add(one, "i-1", "plain");
    gateway.add(two, "i-2", "plain");
    cr_assert_eq(gateway.ask("/safe/x").body, "second");
}

Test(gateway_call,
     refusal_of_a_backend_server_is_repeated_elsewhere_and_then_told_as_not_run)
{
    scripted_backend server([](auto& stream, const auto&) {
        say(stream, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
    gateway_fixture gateway;
    gateway.add(server, "i-1", "plain");
    const auto answer = gateway.ask("/once/x");
    cr_assert_eq(answer.head.status, 503);
    cr_assert_not_null(answer.head.find("Retry-After"));
}

Test(gateway_call, answer_to_another_request_is_not_passed_on)
{
    const scripted_backend server([](auto& stream, const auto&) {
        say(stream, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Stamp: s\r\n"
                    "Content-Length: 1\r\n\r\nx");
    });
    gateway_fixture gateway;
    gateway.add(server, "i-1", "plain");
    cr_assert_eq(gateway.ask("/once/x").head.status, 502);
}

Test(gateway_call, answer_cut_short_is_not_passed_on)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        say(stream,
            fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                        "Content-Length: 10\r\n\r\nabc",
                        id_of(request)));
    });
    gateway_fixture gateway;
    gateway.add(server, "i-1", "plain");
    cr_assert_eq(gateway.ask("/once/x").head.status, 502);
}

Test(gateway_call, answer_without_length_ends_with_its_connection)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        say(stream,
            fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                        "\r\nunframed",
                        id_of(request)));
    });
    gateway_fixture gateway;
    gateway.add(server, "i-1", "plain");
    cr_assert_eq(gateway.ask("/once/x").body, "unframed");
}

Test(gateway_call, failure_of_the_backend_server_is_passed_on_with_its_status)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        answer_whole(stream, request, 500, "broken");
    });
    gateway_fixture gateway;
    gateway.add(server, "i-1", "plain");
    const auto answer = gateway.ask("/once/x");
    cr_assert_eq(answer.head.status, 500);
    cr_assert_eq(answer.body, "broken");
}

Test(gateway_call, early_answer_is_read_although_the_body_was_not)
{
    // Accepts the head only: the body is larger than the socket buffers.
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
        say(stream, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        wait_readable(answered.get(), -1, steady::now() + seconds{5});
    });
    gateway_fixture gateway;
    const backend_record record{
        "i-1", "plain", {"127.0.0.1", ntohs(addr.sin_port)}, "z", 4, false, 1};
    gateway.state->dispatch.update_registry(
        steady::now(), [&](auto& it) { it.upsert(record, steady::now()); });
    const std::string body(4'000'000, 'x');
    const auto answer = gateway.ask("/once/x", {}, body);
    signal_event_fd(answered);
    server.join();
    cr_assert_eq(answer.head.status, 503);
}

Test(gateway_call, request_that_crashed_three_backend_servers_is_refused_unsent)
{
    scripted_backend server([](auto&, const auto&) {});
    gateway_fixture gateway;
    gateway.add(server, "i-1", "plain");
    const auto now = steady::now();
    const auto fingerprint = request_fingerprint("/safe/x", "ann", "poison");
    for (const char* it : {"i-7", "i-8", "i-9"})
    {
        gateway.state->crashes.add({fingerprint, it}, now);
    }
    cr_assert_eq(gateway.ask("/safe/x", {}, "poison").head.status, 502);
    cr_assert(server.requests().empty());
}
