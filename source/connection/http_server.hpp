/// \file
/// HTTP server that runs each connection on its own task, which blocks while idle.
#pragma once

#include "connection/http_connection.hpp"
#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>

namespace pistachiopost {

/// Connection limits of a server.
struct http_limits
{
    std::uint32_t max_connections = 512;
    std::uint64_t max_body_bytes = 8U << 20U;
    milliseconds io_timeout{20'000};    ///< For one read or write to make progress.
    milliseconds idle_timeout{120'000}; ///< Between two requests.
};

/// httplib::Server with its connection handling replaced: connections wait in a
/// blocking poll(). Register handlers as with httplib::Server, then call serve().
class http_server : public httplib::Server
{
public:
    /// `refusal_body` is the JSON body sent with status 503 when the connection limit is
    /// reached.
    http_server(const http_limits& limits, std::string refusal_body);

    /// Binds to `local`. Throws connection_error.
    void bind(const endpoint& local);
    /// Accepts connections until stop_serving(); returns when all connections have
    /// closed.
    void serve();
    /// Stops accepting and closes idle connections. Requests in progress complete.
    void stop_serving();
    /// Returns the number of open connections.
    [[nodiscard]] std::uint32_t connections() const { return open_connections_; }

private:
    class connection_tasks;

    bool process_and_close_socket(socket_t sock) override;
    void refuse(unique_fd sock) const;

    http_limits limits_;
    std::string refusal_body_;
    unique_fd stop_fd_;
    std::mutex mutex_;
    std::condition_variable connection_closed_;
    std::atomic<std::uint32_t> open_connections_{0};
    std::atomic<bool> stopping_{false};
};

} // namespace pistachiopost
