#include "gateway_fixture.hpp"

using namespace pistachiopost;

Test(gateway_stream, whole_stream_is_passed_on_unchanged)
{
    const scripted_backend server(
        [](auto& stream, const auto& request) { answer_events(stream, request, 1, 3); });
    gateway_fixture gateway;
    gateway.add(server, "i-1", "model");
    const auto answer = gateway.ask("/stream/x", prompt(1'000));
    cr_assert_eq(answer.head.status, 200);
    cr_assert(answer.whole);
    cr_assert_eq(answer.body, event(1) + event(2) + event(3));
    cr_assert_eq(answer.head.value("Response-Stamp"), "s");
}

Test(gateway_stream, broken_stream_goes_on_behind_the_last_whole_event)
{
    const auto answer_or_break = [](tcp_stream& stream, const received_request& request) {
        const auto last = request.head.value("Last-Event-Id");
        if (last == "2")
        {
            answer_events(stream, request, 3, 4);
            return;
        }
        begin_events(stream, request);
        send_chunk(stream, event(1));
        send_chunk(stream, event(2) + "id: 3\nda"); // dies inside an event
    };
    const scripted_backend one(answer_or_break);
    const scripted_backend two(answer_or_break);
    gateway_fixture gateway;
    gateway.add(one, "i-1", "model");
    gateway.add(two, "i-2", "model");
    const auto answer = gateway.ask("/stream/x", prompt(1'000));
    cr_assert(answer.whole);
    cr_assert_eq(answer.body, event(1) + event(2) + event(3) + event(4));
}

Test(gateway_stream, stream_that_cannot_go_on_is_cut_and_not_ended)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        begin_events(stream, request);
        send_chunk(stream, event(1));
    });
    gateway_fixture gateway;
    gateway.add(server, "i-1", "model");
    const auto answer = gateway.ask("/stream/x", prompt(1'000));
    cr_assert_eq(answer.body, event(1));
    cr_assert_not(answer.whole);
}

Test(gateway_stream, silent_backend_server_is_left_for_another_one)
{
    const auto answer_or_hang = [](tcp_stream& stream, const received_request& request) {
        if (request.head.find("Last-Event-Id") != nullptr)
        {
            answer_events(stream, request, 2, 2);
            return;
        }
        begin_events(stream, request);
        send_chunk(stream, event(1));
        wait_readable(stream.fd(), -1, steady::now() + seconds{5});
    };
    const scripted_backend one(answer_or_hang);
    const scripted_backend two(answer_or_hang);
    gateway_fixture gateway;
    gateway.add(one, "i-1", "model");
    gateway.add(two, "i-2", "model");
    const auto answer = gateway.ask("/stream/x", prompt(1'000));
    cr_assert(answer.whole);
    cr_assert_eq(answer.body, event(1) + event(2));
}

Test(gateway_stream, request_of_a_caller_that_left_is_cancelled_at_the_backend_server)
{
    std::atomic<bool> closed = false;
    {
        const scripted_backend server([&](tcp_stream& stream, const auto& request) {
            begin_events(stream, request);
            send_chunk(stream, event(1));
            const auto woken = wait_readable(stream.fd(), -1, steady::now() + seconds{5});
            closed = woken == wake_cause::first && !stream.receive();
        });
        gateway_fixture gateway;
        gateway.add(server, "i-1", "model");
        auto caller = gateway.connect();
        say(caller, gateway_fixture::request("/stream/x", prompt(1'000)));
        wait_readable(caller.fd(), -1, steady::now() + seconds{5});
        caller.close();
    }
    cr_assert(closed);
}

Test(gateway_stream, prompt_over_one_engines_memory_holds_memory_elsewhere_and_frees_it)
{
    const auto serve = [](tcp_stream& stream, const received_request& request) {
        if (request.head.target == "/v1/order")
        {
            say(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            return;
        }
        answer_events(stream, request, 1, 1);
    };
    scripted_backend one(serve);
    scripted_backend two(serve);
    gateway_fixture gateway;
    gateway.configure(2, 50'000);
    gateway.add(one, "i-1", "model");
    gateway.add(two, "i-2", "model");
    const auto answer = gateway.ask("/stream/x", prompt(80'000));
    cr_assert(answer.whole);
    gateway.finish();
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
    cr_assert_neq(helpers.find('/'), std::string::npos, "a reservation is named");
}

Test(gateway_stream, engine_named_at_fault_is_avoided_and_not_the_one_that_says_so)
{
    const endpoint dead{"127.0.0.1", 1};
    std::atomic<int> count = 0;
    const scripted_backend server([&](auto& stream, const auto& request) {
        if (++count == 1)
        {
            say(stream, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nAt-Server: 127.0.0.1:1\r\n"
                        "Content-Length: 0\r\n\r\n");
            return;
        }
        answer_events(stream, request, 1, 1);
    });
    gateway_fixture gateway;
    gateway.add(server, "i-1", "model");
    const backend_record helper{"i-2", "other", dead, "z", 4, false, 1};
    gateway.state->dispatch.update_registry(
        steady::now(), [&](auto& it) { it.upsert(helper, steady::now()); });
    cr_assert(gateway.ask("/stream/x", prompt(1'000)).whole);
    gateway.state->dispatch.update_registry(steady::now(), [&](auto& it) {
        cr_assert(it.eligible("model", steady::now()).at(0).healthy);
        cr_assert_not(it.eligible("other", steady::now()).at(0).healthy);
    });
}
