#include "gateway_fixture.hpp"

using namespace pistachiopost;

Test(gateway_stream, complete_stream_is_forwarded_unchanged)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_event_stream(stream, request, 1, 3);
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert_eq(answer.head.status, 200);
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2) + event(3));
    cr_assert_eq(answer.head.value("Response-Stamp"), "s");
}

Test(gateway_stream, broken_stream_is_resumed_after_the_last_complete_event)
{
    const auto answer_or_break = [](tcp_stream& stream, const received_request& request) {
        const auto last = request.head.value("Last-Event-Id");
        if (last == "2")
        {
            send_event_stream(stream, request, 3, 4);
            return;
        }
        begin_event_stream(stream, request);
        send_chunk(stream, event(1));
        send_chunk(stream, event(2) + "id: 3\nda"); // connection lost within an event
    };
    const scripted_backend one(answer_or_break);
    const scripted_backend two(answer_or_break);
    gateway_fixture gateway;
    gateway.add_backend(one, "i-1", "model");
    gateway.add_backend(two, "i-2", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2) + event(3) + event(4));
}

Test(gateway_stream, stream_that_cannot_be_resumed_is_truncated_without_end_marker)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        begin_event_stream(stream, request);
        send_chunk(stream, event(1));
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert_eq(answer.body, event(1));
    cr_assert_not(answer.complete);
}

Test(gateway_stream, stalled_stream_is_resumed_at_another_backend_server)
{
    const auto answer_or_hang = [](tcp_stream& stream, const received_request& request) {
        if (request.head.find("Last-Event-Id") != nullptr)
        {
            send_event_stream(stream, request, 2, 2);
            return;
        }
        begin_event_stream(stream, request);
        send_chunk(stream, event(1));
        wait_readable(stream.fd(), -1, steady::now() + seconds{5});
    };
    const scripted_backend one(answer_or_hang);
    const scripted_backend two(answer_or_hang);
    gateway_fixture gateway;
    gateway.add_backend(one, "i-1", "model");
    gateway.add_backend(two, "i-2", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2));
}

Test(gateway_stream,
     request_is_cancelled_at_the_backend_server_when_its_caller_disconnects)
{
    std::atomic<bool> closed = false;
    {
        const scripted_backend server([&](tcp_stream& stream, const auto& request) {
            begin_event_stream(stream, request);
            send_chunk(stream, event(1));
            const auto woken = wait_readable(stream.fd(), -1, steady::now() + seconds{5});
            closed = woken == wake_cause::first && !stream.receive();
        });
        gateway_fixture gateway;
        gateway.add_backend(server, "i-1", "model");
        auto caller = gateway.connect();
        send_text(caller, gateway_fixture::request("/stream/x", prompt_headers(1'000)));
        wait_readable(caller.fd(), -1, steady::now() + seconds{5});
        caller.close();
    }
    cr_assert(closed);
}

Test(gateway_stream,
     prompt_over_one_engines_memory_reserves_memory_at_a_helper_and_releases_it)
{
    const auto serve = [](tcp_stream& stream, const received_request& request) {
        if (request.head.target == "/v1/order")
        {
            send_text(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            return;
        }
        send_event_stream(stream, request, 1, 1);
    };
    scripted_backend one(serve);
    scripted_backend two(serve);
    gateway_fixture gateway;
    gateway.configure(2, 50'000);
    gateway.add_backend(one, "i-1", "model");
    gateway.add_backend(two, "i-2", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(80'000));
    cr_assert(answer.complete);
    gateway.join_connections();
    std::vector<std::string> operations;
    std::string helpers;
    for (auto* it : {&one, &two})
    {
        for (const auto& request : it->requests())
        {
            if (request.head.target == "/v1/order")
            {
                operations.push_back(nlohmann::json::parse(request.body).at("op"));
            }
            helpers += request.head.value("Helpers");
        }
    }
    cr_assert_eq(operations, (std::vector<std::string>{"reserve", "release"}));
    cr_assert_neq(helpers.find('/'), std::string::npos,
                  "the header Helpers must name a reservation");
}

Test(gateway_stream,
     engine_reported_as_faulty_is_marked_unhealthy_and_not_the_reporting_one)
{
    const endpoint dead{"127.0.0.1", 1};
    std::atomic<int> count = 0;
    const scripted_backend server([&](auto& stream, const auto& request) {
        if (++count == 1)
        {
            send_text(stream, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nAt-Server: 127.0.0.1:1\r\n"
                              "Content-Length: 0\r\n\r\n");
            return;
        }
        send_event_stream(stream, request, 1, 1);
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "model");
    const backend_record helper{"i-2", "other", dead, "z", 4, false, 1};
    gateway.state->dispatch.update_registry(
        steady::now(), [&](auto& it) { it.upsert(helper, steady::now()); });
    cr_assert(gateway.send_request("/stream/x", prompt_headers(1'000)).complete);
    gateway.state->dispatch.update_registry(steady::now(), [&](auto& it) {
        cr_assert(it.eligible("model", steady::now()).at(0).healthy);
        cr_assert_not(it.eligible("other", steady::now()).at(0).healthy);
    });
}
