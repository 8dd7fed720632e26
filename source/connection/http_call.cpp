#include "connection/http_call.hpp"

#include "connection/http_reader.hpp"

#include <fmt/format.h>

namespace pistachiopost {

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
    response_reader response(call.method);
    while (!response.done())
    {
        if (wait_readable(stream.fd(), -1, until) == wake_cause::timeout)
        {
            throw connection_error("no answer in time");
        }
        if (!stream.receive() && !response.end_of_stream())
        {
            throw connection_error("the peer closed the connection");
        }
        response.parse(stream);
    }
    return {response.head().status, response.take_body(),
            std::string(response.head().value("ETag")), response.keep_alive()};
}

} // namespace pistachiopost
