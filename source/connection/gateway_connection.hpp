/// \file
/// Task that serves one caller connection of a gateway.
#pragma once

#include "connection/http_reader.hpp"
#include "process/forward_service.hpp"
#include "process/gateway_state.hpp"
#include "process/logging.hpp"

#include <utility>

namespace pistachiopost {

/// Sends an error response for a request that could not be read, unless the connection
/// is closed or idle.
inline void refuse_unread(tcp_stream& stream, request_outcome outcome, time_point now)
{
    constexpr milliseconds patience{1'000}; // callers wait this long for a connection
    caller_response response(stream, now + patience, true);
    switch (outcome)
    {
    case request_outcome::late:
        response.send_own(408, "the request was not whole in time");
        break;
    case request_outcome::head_large:
        response.send_own(431, "the head of the request is over the limit");
        break;
    case request_outcome::body_large:
        response.send_own(413, "the body of the request is over the limit");
        break;
    case request_outcome::malformed:
        response.send_own(400, "the request is not HTTP/1.1");
        break;
    case request_outcome::complete:
    case request_outcome::closed:
    case request_outcome::cut:
    case request_outcome::idle:
        return;
    }
    log_event(log_level::info, "request could not be read",
              {{"outcome", static_cast<std::uint64_t>(outcome)}});
    stream.shutdown_write();
}

/// Serves the requests of one connection sequentially until either side closes it.
template <typename Codec>
void serve_gateway_connection(gateway_state& state, unique_fd sock)
{
    tcp_stream stream(std::move(sock));
    forward_service<Codec> service(state);
    try
    {
        for (bool keep = true; keep;)
        {
            const auto table = state.routes.current();
            const auto limits = table ? table->limits() : caller_limits();
            received_request request;
            const auto outcome =
                read_request(stream, limits, state.stop_fd.get(), request);
            const auto now = steady::now();
            if (outcome != request_outcome::complete)
            {
                refuse_unread(stream, outcome, now);
                return;
            }
            const bool close = state.stopping || !request.keep_alive;
            keep = service.serve(request, stream, close, now) && !close;
        }
        stream.shutdown_write();
    }
    catch (const connection_error& it)
    {
        log_event(log_level::debug, "caller connection failed", {{"fault", it.what()}});
    }
}

} // namespace pistachiopost
