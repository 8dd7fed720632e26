/// \file
/// A TCP connection with a read buffer. All waits block in poll().
#pragma once

#include "connection/connection_error.hpp"
#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <span>
#include <string>
#include <string_view>

namespace pistachiopost {

/// What ended a wait on descriptors.
enum class wake_cause
{
    first,  ///< The first descriptor is readable or closed.
    second, ///< The second one is.
    timeout ///< The time ran out.
};

/// Waits until `first` or `second` is readable, or until `until`. A descriptor of -1
/// never becomes readable.
wake_cause wait_readable(int first, int second, time_point until);

/// A connection that its task reads and writes straight down.
class tcp_stream
{
public:
    /// Takes over a connected, non-blocking socket.
    explicit tcp_stream(unique_fd sock);

    [[nodiscard]] int fd() const { return sock_.get(); }
    /// Returns what was received and not yet consumed.
    [[nodiscard]] std::string_view buffered() const;
    /// Drops `n` bytes from the front of the buffer.
    void consume(std::size_t n);
    /// Receives what is there without waiting; false if the peer closed. Throws
    /// connection_error if the connection was reset.
    bool receive();
    /// Sends everything; throws connection_error if it cannot before `until`.
    void send(std::string_view bytes, time_point until);
    /// Sends until everything is sent or the peer has sent something: an answer may come
    /// before the request was read. Throws like send().
    void send_until_answer(std::string_view bytes, time_point until);
    /// Closes the connection now.
    void close() { sock_.reset(); }
    /// Sends the end of the stream, so that what was sent arrives although the peer
    /// may still be sending.
    void shutdown_write();

    /// Makes the kernel give up on a silent peer: unacknowledged bytes and keep-alive
    /// probes without a reply close the connection after `limit`.
    void detect_silence(milliseconds limit);

private:
    void send_some(std::string_view bytes, time_point until, bool stop_at_answer);

    unique_fd sock_;
    std::string buffer_;
    std::size_t begin_ = 0;
};

/// Returns whether the peer of a connection has closed or reset it, without reading.
bool peer_closed(int fd);

} // namespace pistachiopost
