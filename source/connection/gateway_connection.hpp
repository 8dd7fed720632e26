/// \file
/// Task that serves one caller connection of a gateway.
#pragma once

#include "connection/http_reader.hpp"
#include "process/forward_service.hpp"
#include "process/gateway_state.hpp"
#include "process/logging.hpp"

#include <utility>

namespace pistachiopost {

/// Returns the name of an outcome in counters and log lines.
constexpr std::string_view read_failure_name(request_outcome outcome)
{
    switch (outcome)
    {
    case request_outcome::timed_out:
        return "requests_late";
    case request_outcome::head_too_large:
        return "heads_over_limit";
    case request_outcome::body_too_large:
        return "bodies_over_limit";
    case request_outcome::malformed:
        return "requests_malformed";
    case request_outcome::framing_too_large:
        return "framings_over_limit";
    case request_outcome::no_memory:
        return "requests_over_memory";
    case request_outcome::complete:
    case request_outcome::closed:
    case request_outcome::truncated:
    case request_outcome::idle_timeout:
        break;
    }
    return "";
}

/// Sends an error response for a request that could not be read, unless the connection
/// is closed or idle.
inline void send_read_error(tcp_stream& stream, request_outcome outcome, time_point now)
{
    constexpr milliseconds send_timeout{1'000}; // callers wait this long for a connection
    // Callers that lost memory to others come back after they had time to finish.
    constexpr milliseconds memory_retry_after{1'000};
    // What a caller may still send before it reads the response. A sound caller whose
    // body found no memory sends all of it first; the largest takes 1.7 s on a 20 Mbit/s
    // link.
    constexpr std::size_t max_discarded_bytes = 1'048'576;
    constexpr milliseconds discard_time{500};
    constexpr std::size_t max_discarded_body_bytes = 4'194'304;
    constexpr milliseconds discard_body_time{4'000};
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
    case request_outcome::framing_too_large:
        response.send_error(400, "chunk lines or trailers are over the limit");
        break;
    case request_outcome::no_memory:
        response.send_error(503, "no memory for this request at present; not run",
                            memory_retry_after);
        break;
    case request_outcome::complete:
    case request_outcome::closed:
    case request_outcome::truncated:
    case request_outcome::idle_timeout:
        return;
    }
    log_event(log_level::info, "request could not be read",
              {{"reason", read_failure_name(outcome)}});
    stream.shutdown_write();
    const bool whole = outcome == request_outcome::no_memory;
    stream.discard_input(whole ? max_discarded_body_bytes : max_discarded_bytes,
                         steady::now() + (whole ? discard_body_time : discard_time));
}

/// Counts and answers a request that could not be read.
inline void end_unread(gateway_state& state, tcp_stream& stream,
                       connection_memory& memory, request_outcome outcome)
{
    state.metrics.increment(outcome == request_outcome::idle_timeout
                                ? "idle_connections_closed"
                                : "connections_ended_unread");
    if (const auto name = read_failure_name(outcome); !name.empty())
    {
        state.metrics.increment(name);
    }
    memory.end_request();
    send_read_error(stream, outcome, steady::now());
}

/// Serves the requests of one connection sequentially until either side closes it.
template <typename Codec>
void serve_gateway_connection(gateway_state& state, unique_fd sock)
{
    tcp_stream stream(std::move(sock));
    stream.limit_kernel_buffers();
    connection_memory memory(state.memory, stream.fd());
    if (!memory.admit())
    {
        state.metrics.increment("connections_over_memory");
        return; // closes the connection before any request was read
    }
    forward_service<Codec> service(state, memory);
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
                read_request(stream, limits_in_force, state.stop_fd.get(),
                             {state.settings.framing, &memory}, request);
            const auto now = steady::now();
            if (outcome != request_outcome::complete)
            {
                end_unread(state, stream, memory, outcome);
                return;
            }
            if (!memory.begin_forwarding(request.body.size(), now))
            {
                request = {};
                end_unread(state, stream, memory, request_outcome::no_memory);
                return;
            }
            const bool close = state.stopping || !request.keep_alive;
            keep = service.serve(request, stream, close, now) && !close;
            request = {};
            memory.end_request();
        }
        stream.shutdown_write();
    }
    catch (const connection_error& it)
    {
        log_event(log_level::debug, "caller connection failed", {{"fault", it.what()}});
    }
    if (memory.closed_for_memory())
    {
        state.metrics.increment("slow_callers_closed");
        log_event(log_level::info, "caller that read its answer slowly was closed",
                  {{"memory_used", state.memory.used()}});
    }
}

} // namespace pistachiopost
