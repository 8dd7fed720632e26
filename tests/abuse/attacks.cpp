#include "abuse/attacks.hpp"

#include "connection/tcp_stream.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace pistachiopost::abuse {

namespace {

// Within the limit on a body of 4,194,304 bytes.
constexpr std::size_t body_bytes = 3'900'000;
constexpr std::size_t large_chunk_bytes = 65'536;
constexpr int connect_timeout_ms = 2'000;
// Requests of one client, which stops even if each of them is refused at once.
constexpr int max_requests = 200;
constexpr milliseconds request_pause{50};
constexpr milliseconds trickle_pause{100};
// Bytes that one connection sends without end: far over every limit, while all clients
// together fit into the memory of the machine that runs the test.
constexpr std::size_t endless_bytes = 40U << 20U;

std::string head(const attack_target& target, std::string_view method,
                 std::string_view path, std::string_view fields)
{
    return fmt::format("{} {}{} HTTP/1.1\r\nHost: soak.test\r\nApi-Key: key-a\r\n"
                       "Deadline-Ms: 15000\r\n{}\r\n",
                       method, target.path_prefix, path, fields);
}

std::string chunked_head(const attack_target& target)
{
    return head(target, "POST", "x", "Transfer-Encoding: chunked\r\n");
}

tcp_stream connect(const attack_target& target)
{
    return tcp_stream(connect_tcp(target.address, connect_timeout_ms));
}

/// Sleeps for `pause`, but not past the end of the attack.
void sleep_within(const attack_target& target, milliseconds pause)
{
    wait_readable(-1, -1, std::min(steady::now() + pause, target.until));
}

/// Leaves the connection open and reads nothing.
void hold(const attack_target& target)
{
    wait_readable(-1, -1, target.until);
}

/// Repeats one request on new connections until the attack ends.
template <typename Request>
void repeat(const attack_target& target, const Request& request)
{
    for (int n = 0; n < max_requests && steady::now() < target.until; ++n)
    {
        try
        {
            auto stream = connect(target);
            request(stream);
        }
        catch (const connection_error&)
        {
            // Refusing such a client is allowed.
        }
        sleep_within(target, request_pause);
    }
}

/// Sends `part` over and over.
void send_endless(tcp_stream& stream, const attack_target& target, std::string_view part)
{
    for (std::size_t sent = 0; sent < endless_bytes && steady::now() < target.until;
         sent += part.size())
    {
        stream.send(part, target.until);
    }
}

/// Sends a chunked body of `body_bytes` in chunks of `chunk_bytes` without its last byte.
void send_short_body(tcp_stream& stream, const attack_target& target,
                     std::size_t chunk_bytes)
{
    // One system call for many small chunks.
    const auto together = std::max<std::size_t>(large_chunk_bytes / (chunk_bytes + 5), 1);
    const auto one =
        fmt::format("{:x}\r\n{}\r\n", chunk_bytes, std::string(chunk_bytes, 'b'));
    std::string part;
    for (std::size_t n = 0; n < together; ++n)
    {
        part += one;
    }
    const auto step = together * chunk_bytes;
    std::size_t sent = 0;
    for (; sent + step < body_bytes; sent += step)
    {
        stream.send(part, target.until);
    }
    const auto rest = body_bytes - sent;
    stream.send(fmt::format("{:x}\r\n{}", rest, std::string(rest - 1, 'b')),
                target.until);
}

void unbounded_trailers(const attack_target& target, std::size_t /*client*/)
{
    const auto field = fmt::format("X-Trailer: {}\r\n", std::string(1'000, 't'));
    std::string part;
    for (int n = 0; n < 64; ++n)
    {
        part += field;
    }
    repeat(target, [&](tcp_stream& stream) {
        stream.send(chunked_head(target) + "1\r\nb\r\n0\r\n", target.until);
        send_endless(stream, target, part);
    });
}

void unbounded_trailer_line(const attack_target& target, std::size_t /*client*/)
{
    const std::string part(large_chunk_bytes, 't');
    repeat(target, [&](tcp_stream& stream) {
        stream.send(chunked_head(target) + "1\r\nb\r\n0\r\nX-Trailer: ", target.until);
        send_endless(stream, target, part);
    });
}

void unbounded_chunk_extension(const attack_target& target, std::size_t /*client*/)
{
    const std::string part(large_chunk_bytes, 'e');
    repeat(target, [&](tcp_stream& stream) {
        stream.send(chunked_head(target) + "1;", target.until);
        send_endless(stream, target, part);
    });
}

void unbounded_header_line(const attack_target& target, std::size_t /*client*/)
{
    const std::string part(large_chunk_bytes, 'h');
    repeat(target, [&](tcp_stream& stream) {
        stream.send("GET / HTTP/1.1\r\nX-Header: ", target.until);
        send_endless(stream, target, part);
    });
}

void chunk_extensions(const attack_target& target, std::size_t /*client*/)
{
    const auto one = fmt::format("1;{}\r\nb\r\n", std::string(1'000, 'e'));
    std::string part;
    for (int n = 0; n < 64; ++n)
    {
        part += one;
    }
    repeat(target, [&](tcp_stream& stream) {
        stream.send(chunked_head(target), target.until);
        send_endless(stream, target, part);
    });
}

void short_bodies_in_large_chunks(const attack_target& target, std::size_t /*client*/)
{
    repeat(target, [&](tcp_stream& stream) {
        stream.send(chunked_head(target), target.until);
        send_short_body(stream, target, large_chunk_bytes);
        wait_readable(stream.fd(), -1, target.until);
    });
}

void short_bodies_in_one_byte_chunks(const attack_target& target, std::size_t /*client*/)
{
    repeat(target, [&](tcp_stream& stream) {
        stream.send(chunked_head(target), target.until);
        send_short_body(stream, target, 1);
        wait_readable(stream.fd(), -1, target.until);
    });
}

void chunked_bodies_over_the_limit(const attack_target& target, std::size_t /*client*/)
{
    const auto part = fmt::format("{:x}\r\n{}\r\n", large_chunk_bytes,
                                  std::string(large_chunk_bytes, 'b'));
    repeat(target, [&](tcp_stream& stream) {
        stream.send(chunked_head(target), target.until);
        send_endless(stream, target, part);
    });
}

void announced_bodies_over_the_limit(const attack_target& target, std::size_t /*client*/)
{
    const std::string part(large_chunk_bytes, 'b');
    repeat(target, [&](tcp_stream& stream) {
        stream.send(head(target, "POST", "x", "Content-Length: 1000000000\r\n"),
                    target.until);
        send_endless(stream, target, part);
    });
}

void trickled_bodies(const attack_target& target, std::size_t /*client*/)
{
    const auto fields = fmt::format("Content-Length: {}\r\n", body_bytes);
    repeat(target, [&](tcp_stream& stream) {
        stream.send(head(target, "POST", "x", fields) +
                        std::string(body_bytes - 4'000, 'b'),
                    target.until);
        while (steady::now() < target.until)
        {
            stream.send("b", target.until);
            sleep_within(target, trickle_pause);
        }
    });
}

void unread_answers(const attack_target& target, std::size_t /*client*/)
{
    constexpr std::size_t max_unread = 5;
    std::vector<tcp_stream> open;
    repeat(target, [&](tcp_stream& stream) {
        const int small = 4'096;
        setsockopt(stream.fd(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        stream.send(head(target, "GET", "large", ""), target.until);
        open.push_back(std::move(stream));
        if (open.size() > max_unread)
        {
            open.erase(open.begin());
        }
        sleep_within(target, milliseconds{500});
    });
}

void half_open_connections(const attack_target& target, std::size_t client)
{
    // 30 clients open 900 connections, more than limits.max_connections allows.
    constexpr int connections = 30;
    std::vector<tcp_stream> open;
    for (int n = 0; n < connections && steady::now() < target.until; ++n)
    {
        try
        {
            auto stream = connect(target);
            if (client % 2 == 0)
            {
                stream.send("POST /look/x HTTP/1.1\r\nHost: so", target.until);
            }
            open.push_back(std::move(stream));
        }
        catch (const connection_error&)
        {
            // Refusing such a client is allowed.
        }
    }
    hold(target);
}

void expect_continue(const attack_target& target, std::size_t client)
{
    const bool over_limit = client % 3 == 0;
    const auto fields = fmt::format("Expect: 100-continue\r\nContent-Length: {}\r\n",
                                    over_limit ? 1'000'000'000 : body_bytes);
    repeat(target, [&](tcp_stream& stream) {
        stream.send(head(target, "POST", "x", fields), target.until);
        wait_readable(stream.fd(), -1,
                      std::min(target.until, steady::now() + seconds{1}));
        stream.send(std::string(body_bytes - 1, 'b'), target.until);
        wait_readable(stream.fd(), -1, target.until);
    });
}

void pipelined_bytes(const attack_target& target, std::size_t /*client*/)
{
    const std::string part(large_chunk_bytes, 'b');
    repeat(target, [&](tcp_stream& stream) {
        stream.send(head(target, "GET", "silent", "") +
                        head(target, "POST", "x", "Content-Length: 4000000\r\n"),
                    target.until);
        send_endless(stream, target, part);
    });
}

void bodies_to_a_slow_backend(const attack_target& target, std::size_t /*client*/)
{
    const auto fields = fmt::format("Content-Length: {}\r\n", body_bytes);
    repeat(target, [&](tcp_stream& stream) {
        stream.send(head(target, "POST", "slow", fields) + std::string(body_bytes, 'b'),
                    target.until);
        wait_readable(stream.fd(), -1, target.until);
    });
}

void endless_answers(const attack_target& target, std::size_t client)
{
    constexpr std::array<std::string_view, 3> paths{"endless", "endless-head",
                                                    "endless-chunk"};
    repeat(target, [&](tcp_stream& stream) {
        stream.send(head(target, "GET", paths[client % paths.size()], ""), target.until);
        wait_readable(stream.fd(), -1, target.until);
    });
}

constexpr std::array all{
    attack{"unbounded_trailers", 40, unbounded_trailers},
    attack{"unbounded_trailer_line", 40, unbounded_trailer_line},
    attack{"unbounded_chunk_extension", 40, unbounded_chunk_extension},
    attack{"unbounded_header_line", 40, unbounded_header_line},
    attack{"chunk_extensions", 40, chunk_extensions},
    attack{"short_bodies_in_large_chunks", 60, short_bodies_in_large_chunks},
    attack{"short_bodies_in_one_byte_chunks", 60, short_bodies_in_one_byte_chunks},
    attack{"chunked_bodies_over_the_limit", 60, chunked_bodies_over_the_limit},
    attack{"announced_bodies_over_the_limit", 60, announced_bodies_over_the_limit},
    attack{"trickled_bodies", 60, trickled_bodies},
    attack{"unread_answers", 40, unread_answers},
    attack{"half_open_connections", 30, half_open_connections},
    attack{"expect_continue", 60, expect_continue},
    attack{"pipelined_bytes", 60, pipelined_bytes},
    attack{"bodies_to_a_slow_backend", 60, bodies_to_a_slow_backend},
    attack{"endless_answers", 60, endless_answers}};

} // namespace

std::span<const attack> attacks()
{
    return all;
}

} // namespace pistachiopost::abuse
