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

/// Waits for bytes of the answer. Throws connection_error at `until` and call_abandoned,
/// also if the peer always has bytes ready. `check_at` is the time of the next look at
/// `abandon`.
void wait_for_answer(const tcp_stream& stream, time_point until,
                     const abandon_check& abandon, time_point& check_at)
{
    for (;;)
    {
        const auto woken =
            wait_readable(stream.fd(), -1, abandon ? std::min(until, check_at) : until);
        const auto now = steady::now();
        if (now >= until)
        {
            throw connection_error("no answer in time");
        }
        if (abandon && now >= check_at)
        {
            check_at = now + abandon_check_interval;
            if (abandon(now))
            {
                throw call_abandoned("given up before its timeout");
            }
        }
        if (woken != wake_cause::timeout)
        {
            return;
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
    auto check_at = steady::now() + abandon_check_interval;
    while (!response.done())
    {
        wait_for_answer(stream, until, abandon, check_at);
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
