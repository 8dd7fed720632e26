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

namespace {

/// The answer of a caller's connection and whether the gateway then closed it.
struct ended_stream
{
    received_answer answer;
    bool closed = false;
};

/// Two backend servers: the one that is asked first breaks off after one event, the other
/// one runs `answer`.
struct resumed_stream_fixture
{
    explicit resumed_stream_fixture(const scripted_backend::script& answer)
        : script([answer](tcp_stream& stream, const received_request& request) {
              if (request.head.find("Last-Event-Id") != nullptr)
              {
                  answer(stream, request);
                  return;
              }
              begin_event_stream(stream, request);
              send_chunk(stream, event(1));
          }),
          one(script), two(script)
    {
        gateway.add_backend(one, "i-1", "model");
        gateway.add_backend(two, "i-2", "model");
    }

    ended_stream send_request()
    {
        auto caller = gateway.connect();
        send_text(caller, gateway_fixture::request("/stream/x", prompt_headers(1'000)));
        ended_stream it{gateway_fixture::read_answer(caller)};
        it.closed = peer_closed(caller.fd());
        return it;
    }

    void expect_broken_off()
    {
        const auto it = send_request();
        cr_assert_eq(it.answer.head.status, 200);
        cr_assert_eq(it.answer.body, event(1), "received: %s", it.answer.body.c_str());
        cr_assert_not(it.answer.complete, "the stream must not look complete");
        cr_assert(it.closed, "the connection of a broken stream must be closed");
    }

    scripted_backend::script script;
    scripted_backend one;
    scripted_backend two;
    gateway_fixture gateway;
};

} // namespace

Test(gateway_stream, begun_stream_whose_resumption_gets_an_error_is_closed_without_end)
{
    resumed_stream_fixture it([](tcp_stream& stream, const received_request& request) {
        send_response(stream, request, 500, "broken");
    });
    it.expect_broken_off();
}

Test(gateway_stream, begun_stream_whose_resumption_is_refused_is_closed_without_end)
{
    resumed_stream_fixture it([](tcp_stream& stream, const received_request& request) {
        send_text(stream, fmt::format("HTTP/1.1 503 x\r\nRequest-Id: {}\r\nNot-Run: 1\r\n"
                                      "Content-Length: 0\r\n\r\n",
                                      request_id_of(request)));
    });
    it.expect_broken_off();
}

Test(gateway_stream, begun_stream_whose_resumption_is_misdirected_is_closed_without_end)
{
    resumed_stream_fixture it([](tcp_stream& stream, const received_request&) {
        send_text(stream, "HTTP/1.1 421 x\r\nContent-Length: 4\r\n\r\nelse");
    });
    it.expect_broken_off();
}

Test(gateway_stream, begun_stream_is_not_continued_with_a_body_that_holds_no_events)
{
    resumed_stream_fixture it([](tcp_stream& stream, const received_request& request) {
        send_text(stream, fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                                      "Response-Stamp: s\r\n"
                                      "Content-Type: text/plain\r\n"
                                      "Content-Length: 9\r\n\r\nan error\n",
                                      request_id_of(request)));
    });
    it.expect_broken_off();
}

Test(gateway_stream, begun_stream_is_not_completed_by_an_answer_that_ends_in_an_event)
{
    resumed_stream_fixture it([](tcp_stream& stream, const received_request& request) {
        send_text(stream, fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                                      "Response-Stamp: s\r\n"
                                      "Content-Type: text/event-stream\r\n\r\nid: 2\nda",
                                      request_id_of(request)));
    });
    it.expect_broken_off();
}

Test(gateway_stream, begun_stream_is_closed_without_end_when_the_retry_budget_is_spent)
{
    resumed_stream_fixture it([](tcp_stream& stream, const received_request& request) {
        send_event_stream(stream, request, 2, 2);
    });
    const auto now = steady::now();
    while (it.gateway.state->budgets.try_spend("model", now))
    {
    }
    it.expect_broken_off();
}

Test(gateway_stream, begun_stream_is_closed_without_end_when_the_deadline_passes)
{
    resumed_stream_fixture it([](tcp_stream& stream, const received_request&) {
        wait_readable(stream.fd(), -1, steady::now() + seconds{5});
    });
    it.expect_broken_off();
}

Test(gateway_stream, stream_without_length_that_is_closed_after_an_event_is_complete)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        send_text(stream, fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                                      "Response-Stamp: s\r\n"
                                      "Content-Type: text/event-stream\r\n\r\n{}",
                                      request_id_of(request), event(1)));
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1));
}

Test(gateway_stream, stream_without_length_that_is_closed_before_an_event_is_retried)
{
    std::atomic<int> count = 0;
    const auto close_first = [&](tcp_stream& stream, const received_request& request) {
        if (++count == 2)
        {
            send_event_stream(stream, request, 1, 1);
            return;
        }
        send_text(stream, fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                                      "Response-Stamp: s\r\n"
                                      "Content-Type: text/event-stream\r\n\r\n",
                                      request_id_of(request)));
    };
    const scripted_backend one(close_first);
    const scripted_backend two(close_first);
    gateway_fixture gateway;
    gateway.add_backend(one, "i-1", "model");
    gateway.add_backend(two, "i-2", "model");
    cr_assert_eq(gateway.send_request("/stream/x", prompt_headers(1'000)).body, event(1));
}

Test(gateway_stream, begun_stream_is_not_continued_with_text_of_another_media_type)
{
    resumed_stream_fixture it([](tcp_stream& stream, const received_request& request) {
        send_text(stream, fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                                      "Response-Stamp: s\r\n"
                                      "Content-Type: text/plain\r\n"
                                      "Content-Length: 10\r\n\r\nan error\n\n",
                                      request_id_of(request)));
    });
    it.expect_broken_off();
}

Test(gateway_stream, begun_stream_is_not_continued_with_events_delivered_before)
{
    resumed_stream_fixture it([](tcp_stream& stream, const received_request& request) {
        send_event_stream(stream, request, 1, 2);
    });
    it.expect_broken_off();
}
