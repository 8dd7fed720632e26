/// \file
/// HTTP server on the loopback interface for the stubs of the soak test.
#pragma once

#include "connection/http_reader.hpp"
#include "connection/status_server.hpp"
#include "process/task.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <memory>

namespace pistachiopost::soak {

/// Accepts connections on an ephemeral port and serves each on its own task.
class loopback_server
{
public:
    using handler = std::function<void(unique_fd)>;

    explicit loopback_server(handler serve)
        : listener_(listen_tcp({"127.0.0.1", 0})), stop_(open_event_fd()),
          serve_(std::move(serve)), accepting_([this] { accept(); })
    {
    }
    loopback_server(const loopback_server&) = delete;
    loopback_server& operator=(const loopback_server&) = delete;

    ~loopback_server()
    {
        signal_event_fd(stop_);
        accepting_.join();
        while (running_ > 0)
        {
            running_.wait(running_.load());
        }
    }

    /// Returns the listening address.
    [[nodiscard]] endpoint local_endpoint() const
    {
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        return {"127.0.0.1", ntohs(addr.sin_port)};
    }
    /// Returns a descriptor that becomes readable when the server stops.
    [[nodiscard]] int stop_fd() const { return stop_.get(); }

private:
    void accept()
    {
        accept_until(listener_, stop_.get(), [this](unique_fd sock) {
            auto shared = std::make_shared<unique_fd>(std::move(sock));
            ++running_;
            task::start_detached(
                [this, shared] {
                    try
                    {
                        serve_(std::move(*shared));
                    }
                    catch (const connection_error&)
                    {
                        // The peer disconnected; the checks use the records only.
                    }
                    --running_;
                    running_.notify_all();
                },
                task_stack_bytes);
        });
    }

    unique_fd listener_;
    unique_fd stop_;
    handler serve_;
    std::atomic<int> running_ = 0;
    task accepting_;
};

/// Serves the requests of one connection in sequence while `answer` returns true.
inline void
serve_requests(unique_fd sock, int stop_fd,
               const std::function<bool(tcp_stream&, received_request&)>& answer)
{
    tcp_stream stream(std::move(sock));
    for (bool keep = true; keep;)
    {
        received_request request;
        if (read_request(stream, caller_limits(), stop_fd, request) !=
            request_outcome::complete)
        {
            return;
        }
        keep = answer(stream, request) && request.keep_alive;
    }
}

/// Send timeout of the stubs.
inline constexpr seconds send_timeout{5};

/// Sends an answer framed by Content-Length.
inline void send_answer(tcp_stream& stream, int status, std::string_view fields,
                        std::string_view body)
{
    stream.send("HTTP/1.1 " + std::to_string(status) + " x\r\n" + std::string(fields) +
                    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                    std::string(body),
                steady::now() + send_timeout);
}

/// Closes a connection with a TCP reset.
inline void reset_connection(tcp_stream& stream)
{
    const linger now{1, 0};
    setsockopt(stream.fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    stream.close();
}

} // namespace pistachiopost::soak
