#include "connection/unique_fd.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace pistachiopost {

namespace {

// Limits the request data queued in the kernel.
constexpr int send_buffer_bytes = 256 * 1024;
constexpr int listen_backlog = 1'024; // connections

connection_error endpoint_error(std::string_view what, const endpoint& it, int code)
{
    return connection_error(std::string(what) + " " + to_string(it) + ": " +
                            std::strerror(code));
}

void set_socket_options(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof send_buffer_bytes);
}

} // namespace

unique_fd& unique_fd::operator=(unique_fd&& other) noexcept
{
    if (this != &other)
    {
        reset();
        fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
}

void unique_fd::reset()
{
    if (fd_ >= 0)
    {
        ::close(std::exchange(fd_, -1));
    }
}

std::string to_string(const endpoint& it)
{
    return it.address + ":" + std::to_string(it.port);
}

sockaddr_in to_sockaddr(const endpoint& it)
{
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_port = htons(it.port);
    if (inet_pton(AF_INET, it.address.c_str(), &addr.sin_addr) != 1)
    {
        throw connection_error("not an IPv4 address: " + it.address);
    }
    return addr;
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    endpoint it;
    it.address = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    const auto* last = port.data() + port.size();
    const auto [end, ec] = std::from_chars(port.data(), last, it.port);
    in_addr parsed{};
    const bool valid = ec == std::errc() && end == last && it.port != 0 &&
                       inet_pton(AF_INET, it.address.c_str(), &parsed) == 1;
    return valid ? std::optional(it) : std::nullopt;
}

unique_fd open_event_fd()
{
    unique_fd fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!fd)
    {
        throw connection_error(std::string("cannot open an event descriptor: ") +
                               std::strerror(errno));
    }
    return fd;
}

void signal_event_fd(const unique_fd& fd)
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = ::write(fd.get(), &one, sizeof one);
}

void clear_event_fd(const unique_fd& fd)
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto n = ::read(fd.get(), &count, sizeof count);
}

unique_fd connect_tcp(const endpoint& remote, int timeout_ms)
{
    const auto addr = to_sockaddr(remote);
    unique_fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!fd)
    {
        throw endpoint_error("cannot open a socket to", remote, errno);
    }
    set_socket_options(fd.get());
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&addr), sizeof addr) == 0)
    {
        return fd;
    }
    if (errno != EINPROGRESS)
    {
        throw endpoint_error("cannot connect to", remote, errno);
    }
    pollfd pending{fd.get(), POLLOUT, 0};
    if (::poll(&pending, 1, timeout_ms) <= 0)
    {
        throw endpoint_error("cannot connect to", remote, ETIMEDOUT);
    }
    int ec = 0;
    socklen_t n = sizeof ec;
    ::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &ec, &n);
    if (ec != 0)
    {
        throw endpoint_error("cannot connect to", remote, ec);
    }
    return fd;
}

unique_fd listen_tcp(const endpoint& local)
{
    const auto addr = to_sockaddr(local);
    unique_fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(fd.get(), reinterpret_cast<const sockaddr*>(&addr), sizeof addr) != 0 ||
        ::listen(fd.get(), listen_backlog) != 0)
    {
        throw endpoint_error("cannot listen on", local, errno);
    }
    return fd;
}

unique_fd accept_tcp(const unique_fd& listener)
{
    unique_fd fd(
        ::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd)
    {
        set_socket_options(fd.get());
    }
    return fd;
}

} // namespace pistachiopost
