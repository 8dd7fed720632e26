/// Backend servers that send bytes without end, as fast as they are read, until the
/// gateway closes: in a head, a chunk header, a trailer, a body or an event. Each must
/// end by a limit on bytes or time, with bounded memory, and must not hold up other
/// requests.
#include "fixtures/resident_memory.hpp"
#include "gateway_fixture.hpp"

#include <thread>

using namespace pistachiopost;

namespace {

/// Sends `piece` until the connection is closed. `limit` only protects the test.
void flood(tcp_stream& stream, std::string_view piece)
{
    constexpr std::size_t limit = 1U << 30U;
    for (std::size_t sent = 0; sent < limit; sent += piece.size())
    {
        send_text(stream, piece);
    }
}

/// Answers the first request by `begin` followed by `piece` without end, further ones
/// with a complete answer.
scripted_backend::script flood_once(const std::string& begin, const std::string& piece)
{
    auto first = std::make_shared<std::atomic<bool>>(true);
    return [=](tcp_stream& stream, const received_request& request) {
        if (!first->exchange(false))
        {
            send_response(stream, request, 200, "sound");
            return;
        }
        send_text(stream, begin);
        flood(stream, piece);
    };
}

std::string head_of_answer(std::string_view fields)
{
    return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n{}",
                       fields);
}

const std::string chunk_64k = "10000\r\n" + std::string(65'536, 'x') + "\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

/// Two backend servers, of which the one that is asked first floods.
void check_repeated_elsewhere(const std::string& begin, const std::string& piece)
{
    const auto script = flood_once(begin, piece);
    const scripted_backend one(script);
    const scripted_backend other(script);
    gateway_fixture gateway;
    gateway.add_backend(one, "i-1", "plain");
    gateway.add_backend(other, "i-2", "plain");
    const auto before = resident_kb();
    const auto answer = gateway.send_request("/safe/x");
    gateway.join_connections();
    cr_assert_eq(answer.head.status, 200);
    cr_assert_eq(answer.body, "sound");
    // An answer of 8 MB at most, its copies, and the senders of this test.
    cr_assert_lt(resident_kb() - std::min(before, resident_kb()), 65'536U);
    cr_assert_eq(gateway.state->memory.used(), 0U);
}

} // namespace

Test(gateway_flood, call_whose_body_does_not_end_is_repeated_elsewhere)
{
    check_repeated_elsewhere(head_of_answer(chunked), chunk_64k);
}

Test(gateway_flood, call_whose_body_ends_with_the_connection_is_repeated_elsewhere)
{
    check_repeated_elsewhere(head_of_answer("\r\n"), std::string(65'536, 'x'));
}

Test(gateway_flood, call_whose_head_does_not_end_is_repeated_elsewhere)
{
    check_repeated_elsewhere(head_of_answer(""), "X-Field: value\r\n");
}

Test(gateway_flood, call_whose_header_field_does_not_end_is_repeated_elsewhere)
{
    check_repeated_elsewhere(head_of_answer("X-Field: "), std::string(4'096, 'v'));
}

Test(gateway_flood, call_whose_interim_responses_do_not_end_is_repeated_elsewhere)
{
    check_repeated_elsewhere("", "HTTP/1.1 100 Continue\r\n\r\n");
}

Test(gateway_flood, call_whose_chunk_extension_does_not_end_is_repeated_elsewhere)
{
    check_repeated_elsewhere(head_of_answer(chunked) + "5;a=", std::string(4'096, 'v'));
}

Test(gateway_flood, call_whose_trailer_does_not_end_is_repeated_elsewhere)
{
    check_repeated_elsewhere(head_of_answer(chunked) + "0\r\n", "X-Field: value\r\n");
}

Test(gateway_flood, call_that_must_not_be_repeated_fails_as_possibly_run)
{
    scripted_backend server(flood_once(head_of_answer(chunked), chunk_64k));
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    cr_assert_eq(gateway.send_request("/once/x").head.status, 502);
    cr_assert_eq(server.requests().size(), 1U);
}

Test(gateway_flood, stream_whose_event_does_not_end_is_not_reported_complete)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        begin_event_stream(stream, request);
        send_chunk(stream, event(1));
        flood(stream, chunk_64k);
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert_not(answer.complete);
    cr_assert_eq(answer.body, event(1));
}

Test(gateway_flood, stream_of_comments_without_an_event_is_given_up)
{
    const auto send_comments = [](auto& stream, const auto& request) {
        begin_event_stream(stream, request);
        flood(stream, "4\r\n: x\n\r\n");
    };
    const scripted_backend one(send_comments);
    const scripted_backend other(send_comments);
    gateway_fixture gateway;
    gateway.add_backend(one, "i-1", "model");
    gateway.add_backend(other, "i-2", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert_eq(answer.head.status, 502);
}

Test(gateway_flood, stream_of_empty_events_after_the_first_one_is_given_up)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        begin_event_stream(stream, request);
        send_chunk(stream, event(1));
        for (;;) // until the gateway closes
        {
            std::this_thread::sleep_for(milliseconds{50});
            send_chunk(stream, ": alive\n\n");
        }
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert_not(answer.complete);
}

Test(gateway_flood, close_by_the_caller_ends_the_attempt)
{
    scripted_backend server([](auto& stream, const auto& request) {
        begin_event_stream(stream, request);
        for (int i = 1;; ++i)
        {
            send_chunk(stream, event(i));
        }
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "model");
    {
        auto caller = gateway.connect();
        send_text(caller, gateway_fixture::request("/stream/x", prompt_headers(1'000)));
        wait_readable(caller.fd(), -1, steady::now() + seconds{5});
    }
    gateway.join_connections(); // returns only if the attempt ended
    cr_assert_eq(server.requests().size(), 1U);
}

Test(gateway_flood, sound_request_beside_floods_is_answered)
{
    const scripted_backend flooding([](auto& stream, const auto&) {
        send_text(stream, head_of_answer(chunked));
        flood(stream, chunk_64k);
    });
    const scripted_backend sound([](auto& stream, const auto& request) {
        send_event_stream(stream, request, 1, 3);
    });
    gateway_fixture gateway;
    gateway.add_backend(flooding, "i-1", "plain");
    gateway.add_backend(sound, "i-2", "model");
    std::vector<tcp_stream> callers;
    for (int i = 0; i < 4; ++i)
    {
        callers.push_back(gateway.connect());
        send_text(callers.back(), gateway_fixture::request("/once/x"));
    }
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert(answer.complete);
    for (auto& it : callers)
    {
        cr_assert_eq(gateway_fixture::read_answer(it).head.status, 502);
    }
}
