/// Answers that stop at any byte, with a length, chunked or ended by the close of their
/// connection. A backend server that closes in the middle of its head must not become a
/// success with an empty or short body, framed as complete.
#include "gateway_fixture.hpp"

#include <criterion/criterion.h>

#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <string_view>

using namespace pistachiopost;

namespace {

enum class framing
{
    length,
    chunked,
    until_close
};

constexpr std::array all_framings{framing::length, framing::chunked,
                                  framing::until_close};

/// A complete answer of a backend server, and where its head ends.
struct framed_answer
{
    std::string bytes;
    std::size_t head_bytes = 0;
};

framed_answer frame(framing how, std::string_view type, std::string_view first,
                    std::string_view second)
{
    auto head = fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n"
                            "Content-Type: {}\r\n",
                            type);
    std::string body = fmt::format("{}{}", first, second);
    switch (how)
    {
    case framing::length:
        head += fmt::format("Content-Length: {}\r\n", body.size());
        break;
    case framing::chunked:
        head += "Transfer-Encoding: chunked\r\n";
        body = fmt::format("{:x}\r\n{}\r\n{:x}\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n",
                           first.size(), first, second.size(), second);
        break;
    case framing::until_close:
        break;
    }
    head += "\r\n";
    return {head + body, head.size()};
}

framed_answer call_answer(framing how)
{
    return frame(how, "text/plain", "whole ", "body");
}

framed_answer stream_answer(framing how, int first)
{
    std::string rest;
    for (int i = first + 1; i <= 3; ++i)
    {
        rest += event(i);
    }
    return frame(how, "text/event-stream", event(first), rest);
}

/// Positions at which an answer can stop so that the close does not end it.
std::size_t positions(framing how, const framed_answer& it)
{
    return how == framing::until_close ? it.head_bytes : it.bytes.size();
}

/// A gateway before two backend servers. The first answer that either gives stops after
/// `n` bytes.
class truncating_fixture : public gateway_fixture
{
public:
    truncating_fixture(const char* service, std::string_view first_answer, std::size_t n,
                       const scripted_backend::script& repeat)
        : cut_(first_answer.substr(0, n)), repeat_(repeat)
    {
        add_backend(one_, "i-1", service);
        add_backend(two_, "i-2", service);
    }

    ~truncating_fixture() { join_connections(); }

    std::size_t attempts() { return one_.requests().size() + two_.requests().size(); }

private:
    void answer(tcp_stream& stream, const received_request& request)
    {
        if (!was_cut_.exchange(true))
        {
            send_text(stream, cut_);
            return;
        }
        repeat_(stream, request);
    }

    scripted_backend::script script()
    {
        return [this](tcp_stream& stream, const received_request& request) {
            answer(stream, request);
        };
    }

    std::string cut_;
    scripted_backend::script repeat_;
    std::atomic<bool> was_cut_ = false;
    scripted_backend one_{script()};
    scripted_backend two_{script()};
};

void answer_call(tcp_stream& stream, const received_request& request)
{
    send_response(stream, request, 200, "whole body");
}

void continue_stream(tcp_stream& stream, const received_request& request)
{
    const auto last = request.head.value("Last-Event-Id");
    const int next = last.empty() ? 1 : std::stoi(std::string(last)) + 1;
    send_event_stream(stream, request, next, 3);
}

const std::string whole_stream = event(1) + event(2) + event(3);

/// Sends a request for each framing and each place at which the first answer can stop,
/// and passes what the caller received to `check`, with the number of attempts and a
/// label.
template <typename Check>
void stop_everywhere(const std::function<framed_answer(framing)>& answer_in,
                     const char* service, const scripted_backend::script& repeat,
                     std::string_view path, const std::string& fields, const Check& check)
{
    for (const auto how : all_framings)
    {
        const auto answer = answer_in(how);
        for (std::size_t n = 0; n < positions(how, answer); ++n)
        {
            truncating_fixture it(service, answer.bytes, n, repeat);
            const auto received = it.send_request(path, fields);
            const auto label =
                fmt::format("framing {}, cut at {}", static_cast<int>(how), n);
            check(received, it.attempts(), label.c_str());
        }
    }
}

framed_answer whole_stream_answer(framing how)
{
    return stream_answer(how, 1);
}

} // namespace

Test(gateway_truncation, call_that_may_run_once_is_never_answered_as_success)
{
    stop_everywhere(call_answer, "plain", answer_call, "/once/x", "",
                    [](const auto& received, std::size_t attempts, const char* label) {
                        cr_assert_eq(received.head.status, 502, "%s", label);
                        cr_assert(received.complete, "%s", label);
                        cr_assert_eq(attempts, 1U, "%s", label);
                    });
}

Test(gateway_truncation, idempotent_call_is_repeated_and_answered_whole)
{
    stop_everywhere(call_answer, "plain", answer_call, "/safe/x", "",
                    [](const auto& received, std::size_t attempts, const char* label) {
                        cr_assert_eq(received.head.status, 200, "%s", label);
                        cr_assert(received.complete, "%s", label);
                        cr_assert_eq(received.body, "whole body", "%s", label);
                        cr_assert_eq(attempts, 2U, "%s", label);
                    });
}

Test(gateway_truncation, stream_that_cannot_be_resumed_is_never_reported_complete)
{
    stop_everywhere(
        whole_stream_answer, "model", continue_stream, "/fixed/x", prompt_headers(1'000),
        [](const auto& received, std::size_t attempts, const char* label) {
            const auto& body = received.body;
            cr_assert_not(received.head.status == 200 && received.complete, "%s", label);
            cr_assert(received.head.status == 502 ||
                          whole_stream.compare(0, body.size(), body) == 0,
                      "%s", label);
            cr_assert_eq(attempts, 1U, "%s", label);
        });
}

Test(gateway_truncation, resumable_stream_is_completed_without_gap_or_repeat)
{
    stop_everywhere(whole_stream_answer, "model", continue_stream, "/stream/x",
                    prompt_headers(1'000),
                    [](const auto& received, std::size_t attempts, const char* label) {
                        cr_assert(received.complete, "%s", label);
                        cr_assert_eq(received.body, whole_stream, "%s", label);
                        cr_assert_eq(attempts, 2U, "%s", label);
                    });
}

/// The caller of a broken stream asks for the rest of it. The close of a connection
/// without length ends an answer that has begun, but no event has shown that it has.
Test(gateway_truncation, continuation_asked_for_by_the_caller_is_never_empty)
{
    stop_everywhere([](framing how) { return stream_answer(how, 2); }, "model",
                    continue_stream, "/stream/x",
                    prompt_headers(1'000) + "Last-Event-Id: 1\r\n",
                    [](const auto& received, std::size_t, const char* label) {
                        cr_assert(received.complete, "%s", label);
                        cr_assert_eq(received.body, event(2) + event(3), "%s", label);
                    });
}
