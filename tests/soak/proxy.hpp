/// \file
/// Fault-injecting TCP proxy on the loopback interface.
#pragma once

#include "soak/loopback_server.hpp"

#include <atomic>

namespace pistachiopost::soak {

/// Fault that the proxy injects.
enum class proxy_mode
{
    forward,
    delay,        ///< Adds 100 ms in each direction.
    reset,        ///< Resets open and new connections.
    cut_requests, ///< Drops bytes from the client.
    cut_answers,  ///< Drops bytes from the server.
    silent,       ///< Drops bytes in both directions.
    lose_answers  ///< Drops an answer and all later ones of its connection.
};

/// Forwards connections to one address.
class proxy
{
public:
    explicit proxy(endpoint to);

    [[nodiscard]] endpoint local_endpoint() const { return server_.local_endpoint(); }
    void set_mode(proxy_mode mode) { mode_ = mode; }
    /// Resets all open connections; new ones are not affected.
    void reset_connections() { ++generation_; }

private:
    void relay(unique_fd sock);
    [[nodiscard]] bool forwards(bool request) const;

    endpoint target_;
    std::atomic<proxy_mode> mode_ = proxy_mode::forward;
    std::atomic<unsigned> generation_ = 0;
    loopback_server server_;
};

} // namespace pistachiopost::soak
