#include "connection/status_server.hpp"

#include "connection/http_reader.hpp"
#include "process/logging.hpp"
#include "process/task.hpp"

#include <fmt/format.h>

#include <chrono>
#include <system_error>

namespace pistachiopost {

namespace {

// Delay before accepting again when the process is out of descriptors or threads: a tenth
// of the 1 s that callers allow for a new connection.
constexpr milliseconds accept_retry_delay{100};
// Allows collectors that poll every 5 s to reuse their connection.
constexpr milliseconds collector_idle_timeout{10'000};
// Relayed calls name a table and a version; the others have no body.
constexpr std::uint64_t max_status_body_bytes = 65'536;

void serve_status_connection(unique_fd sock, int stop_fd, const request_handler& respond)
{
    tcp_stream stream(std::move(sock));
    caller_limits limits;
    limits.idle_timeout = collector_idle_timeout;
    limits.max_body_bytes = max_status_body_bytes;
    try
    {
        received_request request;
        while (read_request(stream, limits, stop_fd, request) ==
               request_outcome::complete)
        {
            const auto it = respond(request);
            stream.send(fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\n"
                                    "Content-Length: {}\r\n\r\n{}",
                                    it.status, it.status == 200 ? "OK" : "Unavailable",
                                    it.type, it.body.size(), it.body),
                        steady::now() + limits.header_timeout);
            if (!request.keep_alive)
            {
                return;
            }
            request = {};
        }
    }
    catch (const connection_error& it)
    {
        log_event(log_level::debug, "status connection failed", {{"fault", it.what()}});
    }
}

} // namespace

void accept_until(const unique_fd& listener, int stop_fd,
                  const std::function<void(unique_fd)>& serve)
{
    constexpr std::chrono::hours max_wait{24};
    while (wait_readable(listener.get(), stop_fd, steady::now() + max_wait) !=
           wake_cause::second)
    {
        try
        {
            if (auto sock = accept_tcp(listener))
            {
                serve(std::move(sock));
                continue;
            }
        }
        catch (const std::system_error& it)
        {
            log_event(log_level::warn, "cannot serve accepted connection",
                      {{"fault", it.what()}});
        }
        // accept() failed with a connection pending, or no thread could be started.
        wait_readable(-1, stop_fd, steady::now() + accept_retry_delay);
    }
}

void serve_status(const unique_fd& listener, int stop_fd, const request_handler& respond)
{
    accept_until(listener, stop_fd, [&](unique_fd sock) {
        auto shared = std::make_shared<unique_fd>(std::move(sock));
        task::start_detached(
            [shared, stop_fd, respond] {
                serve_status_connection(std::move(*shared), stop_fd, respond);
            },
            task_stack_bytes);
    });
}

} // namespace pistachiopost
