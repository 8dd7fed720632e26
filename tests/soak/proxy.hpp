/// \file
/// A TCP proxy on loopback that delays, resets, cuts and silences connections.
#pragma once

#include "soak/loopback_server.hpp"

#include <atomic>

namespace pistachiopost::soak {

/// What the proxy does to bytes.
enum class proxy_mode
{
    pass,
    delay,        ///< 100 ms late in each direction.
    reset,        ///< Connections are reset, new ones too.
    cut_requests, ///< What the nearer side sends is lost.
    cut_answers,  ///< What the farther side sends is lost.
    silent        ///< Both are lost.
};

/// Passes connections on to one address.
class proxy
{
public:
    explicit proxy(endpoint to);

    [[nodiscard]] endpoint where() const { return server_.where(); }
    void set_mode(proxy_mode mode) { mode_ = mode; }
    /// Resets every connection that is open now, and no later one.
    void reset_open() { ++generation_; }

private:
    void pass_on(unique_fd sock);
    [[nodiscard]] bool lets_through(bool request) const;

    endpoint to_;
    std::atomic<proxy_mode> mode_ = proxy_mode::pass;
    std::atomic<unsigned> generation_ = 0;
    loopback_server server_;
};

} // namespace pistachiopost::soak
