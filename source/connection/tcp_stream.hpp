/// \file
/// TCP connection with a read buffer. All waits block in poll().
#pragma once

#include "connection/connection_error.hpp"
#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <span>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Result of a wait on several descriptors.
enum class wake_cause
{
    first,  ///< The first descriptor is readable or closed.
    second, ///< The second descriptor is readable or closed.
    third,  ///< The third descriptor is readable or closed.
    timeout ///< The deadline passed.
};

/// Waits until `first`, `second` or `third` is readable or `until` passes. The earlier
/// one counts if several are. A descriptor of -1 is ignored.
wake_cause wait_readable(int first, int second, int third, time_point until);

/// Waits until `first` or `second` is readable or `until` passes.
wake_cause wait_readable(int first, int second, time_point until);

/// A connection that one task reads and writes with blocking calls.
class tcp_stream
{
public:
    /// Takes ownership of a connected, non-blocking socket.
    explicit tcp_stream(unique_fd sock);

    [[nodiscard]] int fd() const { return sock_.get(); }
    /// Returns the bytes received and not yet consumed.
    [[nodiscard]] std::string_view buffered() const;
    /// Removes `n` bytes from the front of the buffer.
    void consume(std::size_t n);
    /// Receives available bytes without blocking; returns false if the peer closed.
    /// Throws connection_error if the connection was reset.
    bool receive();
    /// Sends all bytes. Throws connection_error on failure or if `until` passes.
    void send(std::string_view bytes, time_point until);
    /// Sends until all bytes are sent or the peer has sent data, because a response may
    /// arrive before the peer has read the request. Throws like send().
    void send_until_response(std::string_view bytes, time_point until);
    /// Sends `head` and `body` like send_until_response(), without a copy of the body.
    void send_until_response(std::string head, std::string_view body, time_point until);
    void close() { sock_.reset(); }
    /// Closes the sending direction only, so that sent bytes arrive even if the peer is
    /// still sending.
    void shutdown_write();
    /// Closes both directions, which ends a wait of another task on the connection.
    void shutdown();

    /// Bounds what the kernel holds of this connection: received bytes that were not
    /// read, and bytes to be sent that are not on their way.
    void limit_kernel_buffers();
    /// Receives and drops bytes until the peer closes, `max_bytes` have come or `until`
    /// passes. A close with bytes unread would reset the connection and could destroy a
    /// response that was just sent.
    void discard_input(std::size_t max_bytes, time_point until);

    /// Makes the kernel close the connection after `limit` of unacknowledged data or
    /// unanswered keep-alive probes.
    void set_peer_timeout(milliseconds limit);

private:
    void send_some(std::string_view bytes, time_point until, bool stop_on_input);

    unique_fd sock_;
    std::string buffer_;
    std::size_t begin_ = 0;
};

/// Returns whether the peer has closed or reset the connection, without consuming data.
bool peer_closed(int fd);

} // namespace pistachiopost
