/// \file
/// Owning file descriptors, event descriptors and TCP sockets.
#pragma once

#include "connection/connection_error.hpp"

#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pistachiopost {

/// Owns a file descriptor and closes it.
class unique_fd
{
public:
    unique_fd() = default;
    /// Takes ownership of `fd`; -1 means none.
    explicit unique_fd(int fd) : fd_(fd) {}
    unique_fd(unique_fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    unique_fd& operator=(unique_fd&& other) noexcept;
    unique_fd(const unique_fd&) = delete;
    unique_fd& operator=(const unique_fd&) = delete;
    ~unique_fd() { reset(); }

    /// Returns the descriptor, -1 if none is owned.
    [[nodiscard]] int get() const { return fd_; }
    void reset();
    explicit operator bool() const { return fd_ >= 0; }

private:
    int fd_ = -1;
};

/// An IPv4 address and TCP port.
struct endpoint
{
    std::string address; ///< Dotted decimal.
    std::uint16_t port = 0;

    bool operator==(const endpoint&) const = default;
    auto operator<=>(const endpoint&) const = default;
};

/// Returns "ADDRESS:PORT".
std::string to_string(const endpoint& it);
/// Parses "ADDRESS:PORT"; returns nullopt if it is not an IPv4 address and a port.
std::optional<endpoint> parse_endpoint(std::string_view text);
/// Converts an endpoint to a socket address. Throws connection_error.
sockaddr_in to_sockaddr(const endpoint& it);

/// Opens an event descriptor. Throws connection_error, for instance if the process is out
/// of descriptors.
unique_fd open_event_fd();
/// Makes `fd` readable.
void signal_event_fd(const unique_fd& fd);
/// Makes `fd` not readable until the next signal.
void clear_event_fd(const unique_fd& fd);

/// Connects to `remote` within `timeout_ms`. Throws connection_error.
unique_fd connect_tcp(const endpoint& remote, int timeout_ms);
/// Listens on `local`. Throws connection_error, for instance if the address is in use.
unique_fd listen_tcp(const endpoint& local);
/// Accepts one pending connection; returns an empty descriptor if there is none.
unique_fd accept_tcp(const unique_fd& listener);

} // namespace pistachiopost
