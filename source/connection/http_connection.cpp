#include "connection/http_connection.hpp"

#include "connection/framing_limits.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace pistachiopost {

namespace {

// Head and chunk lines of one request, beyond the bytes of its content. httplib does not
// bound the lines that it reads.
constexpr std::uint64_t max_line_bytes = 65'536;

thread_local http_connection* current_connection = nullptr;

bool poll_one(int fd, short events, milliseconds timeout)
{
    pollfd it{fd, events, 0};
    return ::poll(&it, 1, static_cast<int>(timeout.count())) > 0;
}

} // namespace

http_connection::http_connection(unique_fd sock, int stop_fd, milliseconds io_timeout)
    : socket_(std::move(sock)), stop_fd_(stop_fd), io_timeout_(io_timeout)
{
    current_connection = this;
}

http_connection& http_connection::current()
{
    return *current_connection;
}

bool http_connection::wait_for_request(milliseconds idle_timeout)
{
    if (begin_ < end_)
    {
        return true;
    }
    std::array<pollfd, 2> fds{{{socket_.get(), POLLIN, 0}, {stop_fd_, POLLIN, 0}}};
    const int n = ::poll(fds.data(), fds.size(), static_cast<int>(idle_timeout.count()));
    return n > 0 && fds[0].revents != 0;
}

void http_connection::reset_response()
{
    begun_ = false;
    has_head_ = false;
    line_ = 0;
    line_bytes_ = 0;
    content_bytes_ = 0;
}

bool http_connection::begin(int status, std::string_view content_type)
{
    begun_ = true;
    return send_all(
        fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\n"
                    "Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n",
                    status, status == 200 ? "OK" : "Error", content_type));
}

bool http_connection::write_chunk(std::string_view bytes)
{
    if (bytes.empty())
    {
        return true;
    }
    return send_all(fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
}

bool http_connection::finish()
{
    return send_all("0\r\n\r\n");
}

wake_reason http_connection::wait(int fd, time_point until, time_point now)
{
    const auto left = std::max(ceil_milliseconds(until - now), milliseconds{0});
    // POLLIN is not polled on the caller's socket: pipelined requests would keep it
    // readable.
    std::array<pollfd, 2> fds{{{fd, POLLIN, 0}, {socket_.get(), POLLRDHUP, 0}}};
    const int n = ::poll(fds.data(), fds.size(), static_cast<int>(left.count()));
    if (n > 0 && (fds[1].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
    {
        return wake_reason::peer_closed;
    }
    return n > 0 ? wake_reason::ready : wake_reason::timeout;
}

bool http_connection::is_readable() const
{
    return begin_ < end_ || poll_one(socket_.get(), POLLIN, io_timeout_);
}

bool http_connection::is_writable() const
{
    return poll_one(socket_.get(), POLLOUT, io_timeout_);
}

ssize_t http_connection::read(char* ptr, std::size_t size)
{
    if (begin_ == end_ && !fill())
    {
        return -1;
    }
    const auto n = std::min(size, end_ - begin_);
    if (!count_read({buffer_.data() + begin_, n}))
    {
        return -1;
    }
    std::memcpy(ptr, buffer_.data() + begin_, n);
    begin_ += n;
    return static_cast<ssize_t>(n);
}

bool http_connection::count_read(std::string_view bytes)
{
    if (bytes.size() > 1) // httplib reads lines byte by byte
    {
        content_bytes_ += bytes.size();
        return true;
    }
    ++line_;
    if (bytes == "\n")
    {
        // Content of one byte counts as a short line, so that a body may be cut in any
        // way.
        constexpr std::uint64_t empty_line = 2;
        constexpr std::uint64_t uncounted = framing_limits::uncounted_line_bytes;
        line_bytes_ += line_ - (has_head_ ? std::min(line_, uncounted) : 0);
        has_head_ = has_head_ || line_ <= empty_line;
        line_ = 0;
    }
    return line_bytes_ + line_ <= max_line_bytes + content_bytes_;
}

ssize_t http_connection::write(const char* ptr, std::size_t size)
{
    if (begun_)
    {
        return static_cast<ssize_t>(size); // the handler has sent the response
    }
    return send_all({ptr, size}) ? static_cast<ssize_t>(size) : -1;
}

void http_connection::get_remote_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

void http_connection::get_local_ip_and_port(std::string& ip, int& port) const
{
    ip.clear();
    port = 0;
}

bool http_connection::send_all(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const auto n = ::send(socket_.get(), bytes.data(), bytes.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0)
        {
            bytes.remove_prefix(static_cast<std::size_t>(n));
            continue;
        }
        const bool full = n < 0 && (errno == EAGAIN || errno == EINTR);
        if (!full || !poll_one(socket_.get(), POLLOUT, io_timeout_))
        {
            return false;
        }
    }
    return true;
}

bool http_connection::fill()
{
    if (!poll_one(socket_.get(), POLLIN, io_timeout_))
    {
        return false;
    }
    const auto n = ::recv(socket_.get(), buffer_.data(), buffer_.size(), 0);
    begin_ = 0;
    end_ = n > 0 ? static_cast<std::size_t>(n) : 0;
    return n > 0;
}

} // namespace pistachiopost
