#include "connection/http_call.hpp"

#include "connection/http_reader.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pistachiopost {

namespace {

// Eight times the largest page of the store.
constexpr std::uint64_t max_reply_bytes = 8U << 20U;
// A fraction of the time that an abandoned call may still be waited for.
constexpr milliseconds abandon_check_interval{100};

/// Waits for bytes of the answer. Throws connection_error at `until` and call_abandoned.
void wait_for_answer(const tcp_stream& stream, time_point until,
                     const abandon_check& abandon)
{
    for (;;)
    {
        const auto check_at =
            abandon ? std::min(until, steady::now() + abandon_check_interval) : until;
        const auto woken = wait_readable(stream.fd(), -1, check_at);
        const auto now = steady::now();
        // A peer that always has bytes ready does not extend the deadline.
        if (now >= until)
        {
            throw connection_error("no answer in time");
        }
        if (woken != wake_cause::timeout)
        {
            return;
        }
        if (abandon && abandon(now))
        {
            throw call_abandoned("given up before its timeout");
        }
    }
}

} // namespace

http_reply make_call(tcp_stream& stream, std::string_view host, const http_call& call,
                     time_point until, const abandon_check& abandon)
{
    auto text =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method, call.target, host);
    if (!call.if_none_match.empty())
    {
        text += fmt::format("If-None-Match: {}\r\n", call.if_none_match);
    }
    for (const auto& it : call.fields)
    {
        text += fmt::format("{}: {}\r\n", it.name, it.value);
    }
    if (call.method != "GET" || !call.body.empty())
    {
        text += fmt::format("Content-Type: {}\r\nContent-Length: {}\r\n",
                            call.content_type, call.body.size());
    }
    stream.send(text + "\r\n" + call.body, until);
    response_reader response(call.method, max_reply_bytes);
    while (!response.done())
    {
        wait_for_answer(stream, until, abandon);
        if (!stream.receive() && !response.end_of_stream())
        {
            throw connection_error("the peer closed the connection");
        }
        response.parse(stream);
    }
    return {response.head().status, response.head(), response.take_body(),
            response.keep_alive()};
}

} // namespace pistachiopost
