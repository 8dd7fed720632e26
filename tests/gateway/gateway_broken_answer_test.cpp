/// Answers that are reset on the way, or whose status line is none of a final answer, at
/// each place where that can happen: calls and streams, before and after the first byte
/// of the body, during the upload and after it, with each framing. Guards against a part
/// of an answer, or bytes that are none, that reach the caller as a complete success.
#include "fixtures/broken_answers.hpp"
#include "fixtures/raw_server.hpp"
#include "gateway_fixture.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <string_view>

using namespace pistachiopost;

namespace {

/// A gateway before a service whose first connection runs a script; the others give whole
/// answers.
struct broken_answer_fixture : gateway_fixture
{
    using first_script = std::function<void(tcp_stream&)>;

    broken_answer_fixture(const char* service, const first_script& first,
                          const scripted_backend::script& others)
        : server([=](tcp_stream& stream, std::size_t connection) {
              if (connection == 0)
              {
                  first(stream);
                  return;
              }
              others(stream, receive_request(stream, true));
          })
    {
        for (const char* id : {"i-1", "i-2"}) // a repeat avoids the server that failed
        {
            const backend_record record{id, service, server.address, "z", 4, false, 1};
            state->dispatch.update_registry(
                steady::now(), [&](auto& it) { it.upsert(record, steady::now()); });
        }
    }
    ~broken_answer_fixture() { join_connections(); }

    raw_server server;
};

void answer_call(tcp_stream& stream, const received_request& request)
{
    send_response(stream, request, 200, "whole body");
}

void answer_stream(tcp_stream& stream, const received_request& request)
{
    const auto last = request.head.value("Last-Event-Id");
    send_event_stream(stream, request,
                      last.empty() ? 1 : std::stoi(std::string(last)) + 1, 3);
}

const std::string whole_stream = event(1) + event(2) + event(3);

/// Returns what the caller of `path` receives if the first answer is reset.
received_answer answer_after_reset(const reset_answer& it, std::string_view path,
                                   bool is_stream)
{
    const std::string part = is_stream ? event(1) + "id: 2\nda" : "whole ";
    const auto type = is_stream ? "text/event-stream" : "text/plain";
    const auto bytes =
        head_of(it.how, "200", type, is_stream ? whole_stream.size() : 10) +
        (it.has_body ? body_of(it.how, part) : "");
    broken_answer_fixture gateway(
        is_stream ? "model" : "plain",
        [&](tcp_stream& stream) {
            receive_request(stream, !it.during_upload);
            send_and_reset(stream, bytes, it.delay);
        },
        is_stream ? answer_stream : answer_call);
    // Larger than what the sockets hold, so that the upload is still being written.
    const std::string body(it.during_upload ? 4'000'000 : 10, 'x');
    return gateway.send_request(path, is_stream ? prompt_headers(1'000) : "", body);
}

/// Returns what the caller of `path` receives if the first answer has this status.
received_answer answer_with_status(std::string_view status, framing how,
                                   std::string_view path, bool is_stream)
{
    const std::string body = is_stream ? whole_stream : "whole body";
    const auto bytes =
        answer_of(how, status, is_stream ? "text/event-stream" : "text/plain", body);
    broken_answer_fixture gateway(
        is_stream ? "model" : "plain",
        [&](tcp_stream& stream) {
            receive_request(stream, true);
            send_text(stream, bytes);
        },
        is_stream ? answer_stream : answer_call);
    return gateway.send_request(path, is_stream ? prompt_headers(1'000) : "");
}

/// Sends interim responses before a whole answer.
scripted_backend::script after_interim_responses(std::string_view statuses,
                                                 const scripted_backend::script& answer)
{
    return [=](tcp_stream& stream, const received_request& request) {
        send_text(stream, statuses);
        answer(stream, request);
    };
}

} // namespace

Test(gateway_broken_answer, call_that_may_run_once_is_no_success_after_a_reset)
{
    for_each_reset([](const auto& it) {
        const auto answer = answer_after_reset(it, "/once/x", false);
        cr_assert_eq(answer.head.status, 502, "%s: %d", it.label().c_str(),
                     answer.head.status);
        cr_assert(answer.complete, "%s", it.label().c_str());
    });
}

Test(gateway_broken_answer, idempotent_call_is_repeated_and_whole_after_a_reset)
{
    for_each_reset([](const auto& it) {
        const auto answer = answer_after_reset(it, "/safe/x", false);
        cr_assert_eq(answer.head.status, 200, "%s: %d", it.label().c_str(),
                     answer.head.status);
        cr_assert_eq(answer.body, "whole body", "%s", it.label().c_str());
    });
}

Test(gateway_broken_answer, stream_that_cannot_be_resumed_is_not_complete_after_a_reset)
{
    for_each_reset([](const auto& it) {
        const auto answer = answer_after_reset(it, "/fixed/x", true);
        cr_assert_not(answer.head.status == 200 && answer.complete, "%s",
                      it.label().c_str());
    });
}

Test(gateway_broken_answer, resumable_stream_is_whole_after_a_reset)
{
    for_each_reset([](const auto& it) {
        const auto answer = answer_after_reset(it, "/stream/x", true);
        cr_assert(answer.complete, "%s", it.label().c_str());
        cr_assert_eq(answer.body, whole_stream, "%s", it.label().c_str());
    });
}

Test(gateway_broken_answer, invalid_status_of_a_call_that_may_run_once_is_a_failure)
{
    for_each_invalid_status([](auto status, auto how, const char* label) {
        const auto answer = answer_with_status(status, how, "/once/x", false);
        cr_assert_eq(answer.head.status, 502, "%s: %d", label, answer.head.status);
        cr_assert(answer.complete, "%s", label);
    });
}

Test(gateway_broken_answer, idempotent_call_is_repeated_after_an_invalid_status)
{
    for_each_invalid_status([](auto status, auto how, const char* label) {
        const auto answer = answer_with_status(status, how, "/safe/x", false);
        cr_assert_eq(answer.head.status, 200, "%s: %d", label, answer.head.status);
        cr_assert_eq(answer.body, "whole body", "%s", label);
    });
}

Test(gateway_broken_answer, invalid_status_of_a_stream_is_a_failure)
{
    for_each_invalid_status([](auto status, auto how, const char* label) {
        const auto answer = answer_with_status(status, how, "/fixed/x", true);
        cr_assert_eq(answer.head.status, 502, "%s: %d", label, answer.head.status);
    });
}

Test(gateway_broken_answer, invalid_status_of_a_resumption_does_not_end_the_stream)
{
    for (const auto status : {"000", "099", "100", "199", "600", "999"})
    {
        std::atomic<int> attempts = 0;
        const scripted_backend server([&](auto& stream, const auto& request) {
            if (attempts++ == 0)
            {
                begin_event_stream(stream, request);
                send_chunk(stream, event(1));
                return;
            }
            send_text(stream, head_of(framing::length, status, "text/event-stream",
                                      event(2).size()) +
                                  event(2));
        });
        gateway_fixture gateway;
        gateway.add_backend(server, "i-1", "model");
        gateway.add_backend(server, "i-2", "model");
        const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
        gateway.join_connections();
        cr_assert_not(answer.complete, "%s", status);
        cr_assert_eq(answer.body, event(1), "%s", status);
    }
}

Test(gateway_broken_answer, final_answer_behind_interim_responses_is_forwarded)
{
    const scripted_backend plain(after_interim_responses(interim_responses, answer_call));
    const scripted_backend model(
        after_interim_responses(interim_responses, answer_stream));
    gateway_fixture gateway;
    gateway.add_backend(plain, "i-1", "plain");
    gateway.add_backend(model, "i-2", "model");
    const auto call = gateway.send_request("/once/x");
    cr_assert_eq(call.head.status, 200);
    cr_assert_eq(call.body, "whole body");
    cr_assert_null(call.head.find("Link"));
    const auto stream = gateway.send_request("/fixed/x", prompt_headers(1'000));
    cr_assert(stream.complete);
    cr_assert_eq(stream.body, whole_stream);
}

Test(gateway_broken_answer, interim_responses_without_a_final_answer_are_a_failure)
{
    const scripted_backend server(after_interim_responses(
        interim_responses, [](const auto& /*stream*/, const auto& /*request*/) {}));
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    cr_assert_eq(gateway.send_request("/once/x").head.status, 502);
}
