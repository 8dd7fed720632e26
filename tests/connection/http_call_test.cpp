/// Peers that send bytes without end in the answer to a short call: the store, a relay of
/// its tables, or an engine that is asked for memory.
#include "connection/http_call.hpp"

#include "connection/http_client.hpp"
#include "connection/http_reader.hpp"
#include "connection/status_server.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <sys/socket.h>

#include <atomic>
#include <list>
#include <memory>
#include <string>

using namespace pistachiopost;

namespace {

// Far over every limit; only ends a test that fails.
constexpr std::size_t max_flood_bytes = 1U << 30U;

/// Answers each connection with `begin` and then `piece` until it is closed.
class flooding_peer
{
public:
    flooding_peer(const std::string& begin, const std::string& piece)
    {
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        address = {"127.0.0.1", ntohs(addr.sin_port)};
        serving_ = task([this, begin, piece] {
            std::list<task> connections;
            accept_until(listener_, stop_.get(), [&](unique_fd sock) {
                auto shared = std::make_shared<unique_fd>(std::move(sock));
                connections.emplace_back([this, shared, begin, piece] {
                    flood(std::move(*shared), begin, piece);
                });
            });
            for (auto& it : connections)
            {
                it.join();
            }
        });
    }

    ~flooding_peer()
    {
        signal_event_fd(stop_);
        serving_.join();
    }

    flooding_peer(const flooding_peer&) = delete;
    flooding_peer& operator=(const flooding_peer&) = delete;

    endpoint address;
    std::atomic<std::size_t> sent = 0;

private:
    void flood(unique_fd sock, const std::string& begin, const std::string& piece)
    {
        tcp_stream stream(std::move(sock));
        try
        {
            stream.send(begin, steady::now() + seconds{20});
            for (; sent < max_flood_bytes; sent += piece.size())
            {
                stream.send(piece, steady::now() + seconds{20});
            }
        }
        catch (const connection_error&)
        {
            // The caller closed the connection, as it should.
        }
    }

    unique_fd listener_ = listen_tcp({"127.0.0.1", 0});
    unique_fd stop_ = open_event_fd();
    task serving_;
};

const std::string chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns the bytes that a peer could send to a call that it answers without end.
std::size_t bytes_taken(const std::string& begin, const std::string& piece,
                        milliseconds timeout)
{
    flooding_peer peer(begin, piece);
    http_client client(peer.address, timeout);
    cr_assert_throw(client.get("/"), connection_error);
    return peer.sent;
}

constexpr std::size_t bounded = 64U << 20U; // limit and socket buffers, with room
constexpr milliseconds patient{60'000};

} // namespace

Test(http_call, body_without_end_is_given_up_at_a_limit_of_bytes)
{
    const auto chunk = "10000\r\n" + std::string(65'536, 'x') + "\r\n";
    cr_assert_lt(bytes_taken(chunked_head, chunk, patient), bounded);
}

/// Guards against a limit that is dropped when the body begins together with its head.
Test(http_call, body_of_an_announced_length_is_given_up_at_a_limit_of_bytes)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
    for (const auto& begin : {head, head + "body"})
    {
        cr_assert_lt(bytes_taken(begin, std::string(65'536, 'x'), patient), bounded);
    }
}

Test(http_call, body_until_the_close_is_given_up_at_a_limit_of_bytes)
{
    cr_assert_lt(
        bytes_taken("HTTP/1.1 200 OK\r\n\r\n", std::string(65'536, 'x'), patient),
        bounded);
}

Test(http_call, head_without_end_is_given_up_at_a_limit_of_bytes)
{
    cr_assert_lt(bytes_taken("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n", patient),
                 bounded);
}

Test(http_call, timeout_holds_while_bytes_are_always_ready)
{
    // One byte of the body in a kilobyte, so that no limit of bytes is reached first.
    std::string chunks;
    for (int i = 0; i < 1'000; ++i)
    {
        chunks += "1;a=" + std::string(1'000, 'x') + "\r\nx\r\n";
    }
    cr_assert_lt(bytes_taken(chunked_head, chunks, milliseconds{50}), max_flood_bytes);
}

namespace {

/// A peer that keeps connections and sends the first answer of each one twice.
class repeating_peer
{
public:
    repeating_peer()
    {
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        address = {"127.0.0.1", ntohs(addr.sin_port)};
        serving_ = task([this] {
            std::list<task> connections;
            accept_until(listener_, stop_.get(), [&](unique_fd sock) {
                auto shared = std::make_shared<unique_fd>(std::move(sock));
                connections.emplace_back([shared] { serve(std::move(*shared)); });
            });
            for (auto& it : connections)
            {
                it.join();
            }
        });
    }

    ~repeating_peer()
    {
        signal_event_fd(stop_);
        serving_.join();
    }

    repeating_peer(const repeating_peer&) = delete;
    repeating_peer& operator=(const repeating_peer&) = delete;

    endpoint address;

private:
    static void serve(unique_fd sock)
    {
        tcp_stream stream(std::move(sock));
        int copies = 2;
        for (received_request request; read_request(stream, caller_limits(), -1,
                                                    request) == request_outcome::complete;
             request = {})
        {
            const auto& path = request.head.target;
            const auto answer = fmt::format(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", path.size(), path);
            stream.send(copies == 2 ? answer + answer : answer,
                        steady::now() + seconds{5});
            copies = 1;
        }
    }

    unique_fd listener_ = listen_tcp({"127.0.0.1", 0});
    unique_fd stop_ = open_event_fd();
    task serving_;
};

} // namespace

Test(http_call, answer_sent_twice_is_not_taken_for_that_of_the_next_call)
{
    const repeating_peer peer;
    http_client client(peer.address, patient);
    cr_assert_eq(client.get("/first").body, "/first");
    cr_assert_eq(client.get("/second").body, "/second");
}
