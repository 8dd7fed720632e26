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
inline void send_read_error(tcp_stream& stream, request_outcome outcome, time_point now)
{
    constexpr milliseconds send_timeout{1'000}; // callers wait this long for a connection
    caller_response response(stream, now + send_timeout, true);
    switch (outcome)
    {
    case request_outcome::timed_out:
        response.send_error(408, "the request was not whole in time");
        break;
    case request_outcome::head_too_large:
        response.send_error(431, "the head of the request is over the limit");
        break;
    case request_outcome::body_too_large:
        response.send_error(413, "the body of the request is over the limit");
        break;
    case request_outcome::malformed:
        response.send_error(400, "the request is not HTTP/1.1");
        break;
    case request_outcome::complete:
    case request_outcome::closed:
    case request_outcome::truncated:
    case request_outcome::idle_timeout:
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
    const auto limits_in_force = [&state] {
        const auto table = state.routes.current();
        return table ? table->limits() : caller_limits();
    };
    try
    {
        for (bool keep = true; keep;)
        {
            received_request request;
            const auto outcome =
                read_request(stream, limits_in_force, state.stop_fd.get(), request);
            const auto now = steady::now();
            if (outcome != request_outcome::complete)
            {
                state.metrics.increment(outcome == request_outcome::idle_timeout
                                            ? "idle_connections_closed"
                                            : "connections_ended_unread");
                send_read_error(stream, outcome, now);
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
