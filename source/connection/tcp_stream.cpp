#include "connection/tcp_stream.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace pistachiopost {

namespace {

constexpr std::size_t receive_chunk_bytes = 16'384; // per system call
// Sent together with a head, so that a small message goes out in one packet.
constexpr std::size_t joined_body_bytes = 16'384;
// Bytes that were received and not read count toward the memory of the VM. The kernel
// doubles the value; at the longest round trip of 6 ms it allows 85 Mbit/s to one caller.
constexpr int receive_buffer_bytes = 65'536;
// Twice what the largest link of 200 Mbit/s sends in a round trip, rounded down.
constexpr int unsent_bytes = 131'072;

int poll_timeout(time_point until)
{
    const auto left = ceil_milliseconds(until - steady::now());
    // Keeps the value within the int that poll() takes.
    constexpr milliseconds max_timeout{3'600'000};
    return static_cast<int>(std::clamp(left, milliseconds{0}, max_timeout).count());
}

connection_error socket_error(std::string_view what)
{
    return connection_error(std::string(what) + ": " + std::strerror(errno));
}

} // namespace

wake_cause wait_readable(int first, int second, int third, time_point until)
{
    std::array<pollfd, 3> fds{pollfd{first, POLLIN, 0}, pollfd{second, POLLIN, 0},
                              pollfd{third, POLLIN, 0}};
    for (;;)
    {
        const int n = ::poll(fds.data(), fds.size(), poll_timeout(until));
        if (n > 0)
        {
            return fds[0].revents != 0   ? wake_cause::first
                   : fds[1].revents != 0 ? wake_cause::second
                                         : wake_cause::third;
        }
        if (n == 0 && steady::now() >= until)
        {
            return wake_cause::timeout;
        }
        if (n < 0 && errno != EINTR)
        {
            throw socket_error("poll failed");
        }
    }
}

wake_cause wait_readable(int first, int second, time_point until)
{
    return wait_readable(first, second, -1, until);
}

tcp_stream::tcp_stream(unique_fd sock) : sock_(std::move(sock)) {}

std::string_view tcp_stream::buffered() const
{
    return std::string_view(buffer_).substr(begin_);
}

void tcp_stream::consume(std::size_t n)
{
    begin_ += n;
    if (begin_ == buffer_.size())
    {
        buffer_.clear();
        begin_ = 0;
    }
}

bool tcp_stream::receive()
{
    std::array<char, receive_chunk_bytes> buf;
    const auto n = ::recv(sock_.get(), buf.data(), buf.size(), MSG_DONTWAIT);
    if (n > 0)
    {
        buffer_.erase(0, begin_);
        begin_ = 0;
        buffer_.append(buf.data(), static_cast<std::size_t>(n));
        return true;
    }
    if (n == 0)
    {
        return false;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
    {
        return true;
    }
    throw socket_error("receive failed");
}

void tcp_stream::send(std::string_view bytes, time_point until)
{
    send_some(bytes, until, false);
}

void tcp_stream::send_until_response(std::string_view bytes, time_point until)
{
    send_some(bytes, until, true);
}

void tcp_stream::send_until_response(std::string head, std::string_view body,
                                     time_point until)
{
    const auto joined = body.substr(0, joined_body_bytes);
    head += joined;
    send_some(head, until, true);
    send_some(body.substr(joined.size()), until, true);
}

void tcp_stream::send_some(std::string_view bytes, time_point until, bool stop_on_input)
{
    const auto events = static_cast<short>(stop_on_input ? POLLOUT | POLLIN : POLLOUT);
    while (!bytes.empty())
    {
        const auto n =
            ::send(sock_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0)
        {
            bytes.remove_prefix(static_cast<std::size_t>(n));
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        {
            throw socket_error("send failed");
        }
        pollfd fds{sock_.get(), events, 0};
        if (::poll(&fds, 1, poll_timeout(until)) == 0 && steady::now() >= until)
        {
            throw connection_error("send timed out");
        }
        if ((fds.revents & POLLIN) != 0)
        {
            return;
        }
    }
}

void tcp_stream::shutdown_write()
{
    ::shutdown(sock_.get(), SHUT_WR);
}

void tcp_stream::shutdown()
{
    ::shutdown(sock_.get(), SHUT_RDWR);
}

void tcp_stream::limit_kernel_buffers()
{
    setsockopt(sock_.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof receive_buffer_bytes);
    setsockopt(sock_.get(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_bytes,
               sizeof unsent_bytes);
}

void tcp_stream::discard_input(std::size_t max_bytes, time_point until)
{
    std::array<char, receive_chunk_bytes> buf;
    std::size_t dropped = 0;
    while (dropped < max_bytes &&
           wait_readable(sock_.get(), -1, until) == wake_cause::first)
    {
        const auto n = ::recv(sock_.get(), buf.data(), buf.size(), MSG_DONTWAIT);
        if (n <= 0)
        {
            return;
        }
        dropped += static_cast<std::size_t>(n);
    }
}

void tcp_stream::set_peer_timeout(milliseconds limit)
{
    const int on = 1;
    const int second = 1; // minimum of the kernel's keep-alive timers, in seconds
    const int probes = std::max(1, static_cast<int>(limit.count() / 1'000) - 1);
    const auto user_timeout = static_cast<unsigned>(limit.count());
    const int fd = sock_.get();
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &second, sizeof second);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &second, sizeof second);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout, sizeof user_timeout);
}

bool peer_closed(int fd)
{
    char byte = 0;
    const auto n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace pistachiopost
