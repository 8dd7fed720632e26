#include "abuse/hostile_backend.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace pistachiopost::abuse {

namespace {

// Below the default limit on a plain answer of 8,388,608 bytes.
constexpr std::size_t large_answer_bytes = 3'000'000;
constexpr std::size_t endless_bytes = 40U << 20U;
constexpr seconds max_duration{10};
constexpr milliseconds slow_read_pause{100};
constexpr std::size_t slow_read_bytes = 4'096;

std::string_view field_value(std::string_view head, std::string_view name)
{
    const auto at = head.find(name);
    if (at == std::string_view::npos)
    {
        return {};
    }
    const auto rest = head.substr(at + name.size());
    return rest.substr(0, rest.find('\r'));
}

/// Receives the head of a request; the rest stays in the buffer.
std::string receive_head(tcp_stream& stream, int stop_fd)
{
    const auto until = steady::now() + max_duration;
    for (;;)
    {
        const auto end = stream.buffered().find("\r\n\r\n");
        if (end != std::string_view::npos)
        {
            return std::string(stream.buffered().substr(0, end + 2));
        }
        if (wait_readable(stream.fd(), stop_fd, until) != wake_cause::first ||
            !stream.receive())
        {
            throw connection_error("no request");
        }
    }
}

} // namespace

hostile_backend::hostile_backend(std::string id)
    : id_(std::move(id)), server_([this](unique_fd sock) { serve(std::move(sock)); })
{
}

void hostile_backend::serve(unique_fd sock) const
{
    tcp_stream stream(std::move(sock));
    const auto head = receive_head(stream, server_.stop_fd());
    const std::string_view line(head.data(), head.find('\r'));
    const auto asks_for = [&](std::string_view path) {
        return line.find(fmt::format(" /look/{} ", path)) != std::string_view::npos;
    };
    const auto stamp = fmt::format("Request-Id: {}\r\nResponse-Stamp: {}\r\n",
                                   field_value(head, "Request-Id: "), id_);
    const auto begin = "HTTP/1.1 200 OK\r\n" + stamp;
    const std::string part(65'536, 'a');
    if (asks_for("slow"))
    {
        read_slowly(stream);
    }
    else if (asks_for("silent"))
    {
        wait_readable(-1, server_.stop_fd(), steady::now() + max_duration);
    }
    else if (asks_for("endless"))
    {
        send_endless(stream, begin + "Transfer-Encoding: chunked\r\n\r\n",
                     fmt::format("{:x}\r\n{}\r\n", part.size(), part));
    }
    else if (asks_for("endless-head"))
    {
        send_endless(stream, begin + "X-Long: ", part);
    }
    else if (asks_for("endless-chunk"))
    {
        send_endless(stream, begin + "Transfer-Encoding: chunked\r\n\r\n1;", part);
    }
    else
    {
        std::size_t unread = 0;
        if (const auto n = field_value(head, "Content-Length: "); !n.empty())
        {
            unread = std::stoull(std::string(n));
        }
        const auto until = steady::now() + max_duration;
        stream.consume(head.size() + 2);
        while (unread > 0)
        {
            const auto n = std::min(unread, stream.buffered().size());
            stream.consume(n);
            unread -= n;
            if (unread > 0 && (wait_readable(stream.fd(), server_.stop_fd(), until) !=
                                   wake_cause::first ||
                               !stream.receive()))
            {
                return;
            }
        }
        soak::send_answer(stream, 200, stamp + "Connection: close\r\n",
                          asks_for("large") ? std::string(large_answer_bytes, 'a')
                                            : "answer");
    }
}

void hostile_backend::send_endless(tcp_stream& stream, std::string_view first,
                                   std::string_view part) const
{
    const auto until = steady::now() + max_duration;
    stream.send(first, until);
    for (std::size_t sent = 0; sent < endless_bytes; sent += part.size())
    {
        if (wait_readable(-1, server_.stop_fd(), steady::now()) == wake_cause::second)
        {
            return;
        }
        stream.send(part, until);
    }
}

void hostile_backend::read_slowly(tcp_stream& stream) const
{
    const auto until = steady::now() + max_duration;
    std::array<char, slow_read_bytes> buf{};
    while (steady::now() < until)
    {
        if (wait_readable(-1, server_.stop_fd(), steady::now() + slow_read_pause) ==
                wake_cause::second ||
            ::recv(stream.fd(), buf.data(), buf.size(), MSG_DONTWAIT) == 0)
        {
            return;
        }
    }
}

} // namespace pistachiopost::abuse
