#include "connection/http_call.hpp"

#include "connection/http_reader.hpp"

#include <fmt/format.h>

namespace pistachiopost {

namespace {

// Eight times the largest page of the store.
constexpr std::uint64_t max_reply_bytes = 8U << 20U;

} // namespace

http_reply make_call(tcp_stream& stream, std::string_view host, const http_call& call,
                     time_point until)
{
    auto text =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method, call.target, host);
    if (!call.if_none_match.empty())
    {
        text += fmt::format("If-None-Match: {}\r\n", call.if_none_match);
    }
    if (call.method != "GET")
    {
        text += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n",
                            call.body.size());
    }
    stream.send(text + "\r\n" + call.body, until);
    response_reader response(call.method, max_reply_bytes);
    while (!response.done())
    {
        // A peer that always has bytes ready does not extend the deadline.
        if (wait_readable(stream.fd(), -1, until) == wake_cause::timeout ||
            steady::now() >= until)
        {
            throw connection_error("no answer in time");
        }
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
