/// Answers of engines, services and the store that stop at any byte, with a length,
/// chunked or ended by the close of their connection. One that stops in its head must not
/// be taken for an answer with an empty body.
#include "connection/http_client.hpp"
#include "connection/http_reader.hpp"
#include "connection/status_server.hpp"
#include "fixtures/backend_attempt.hpp"
#include "fixtures/broken_answers.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

using namespace pistachiopost;

namespace {

constexpr std::string_view call_body = "whole body";
constexpr std::string_view stream_body =
    "data: {\"id\":\"r-1\",\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n";

/// Returns an answer and the number of bytes before which a close does not end it.
/// `marker` ends the body whatever its framing; empty for none.
std::pair<std::string, std::size_t> frame(framing how, std::string_view body,
                                          std::string_view marker)
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
    std::string content(body);
    if (how == framing::length)
    {
        head += fmt::format("Content-Length: {}\r\n", body.size());
    }
    if (how == framing::chunked)
    {
        head += "Transfer-Encoding: chunked\r\n";
        content = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
    }
    head += "\r\n";
    const auto bytes = head + content;
    if (!marker.empty())
    {
        return {bytes, bytes.find(marker) + marker.size()};
    }
    return {bytes, how == framing::until_close ? head.size() : bytes.size()};
}

/// Answers each connection with the same bytes and closes it.
class truncating_server
{
public:
    truncating_server()
    {
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        address = {"127.0.0.1", ntohs(addr.sin_port)};
    }

    ~truncating_server()
    {
        signal_event_fd(stop_);
        serving_.join();
    }

    truncating_server(const truncating_server&) = delete;
    truncating_server& operator=(const truncating_server&) = delete;

    void set_answer(std::string_view bytes)
    {
        const std::lock_guard lock(mutex_);
        bytes_ = bytes;
    }

    endpoint address;

private:
    void serve(unique_fd sock)
    {
        tcp_stream stream(std::move(sock));
        try
        {
            received_request request;
            if (read_request(stream, caller_limits(), -1, request) ==
                request_outcome::complete)
            {
                const std::lock_guard lock(mutex_);
                stream.send(bytes_, steady::now() + seconds{5});
            }
        }
        catch (const connection_error&)
        {
            // The client closed the connection.
        }
    }

    std::mutex mutex_;
    std::string bytes_;
    unique_fd listener_ = listen_tcp({"127.0.0.1", 0});
    unique_fd stop_ = open_event_fd();
    task serving_{[this] {
        accept_until(listener_, stop_.get(),
                     [this](unique_fd sock) { serve(std::move(sock)); });
    }};
};

/// Asserts that `is_answer` takes no part of an answer with `body` for the whole.
template <typename Call>
void assert_no_part_is_an_answer(std::string_view body, std::string_view marker,
                                 const Call& is_answer)
{
    truncating_server server;
    for (const auto how : all_framings)
    {
        const auto [bytes, end] = frame(how, body, marker);
        for (std::size_t n = 0; n < end; ++n)
        {
            server.set_answer(std::string_view(bytes).substr(0, n));
            cr_assert_not(is_answer(server.address), "framing %d, cut at %zu",
                          static_cast<int>(how), n);
        }
        server.set_answer(bytes);
        cr_assert(is_answer(server.address), "framing %d", static_cast<int>(how));
    }
}

} // namespace

Test(truncated_answer, completion_of_an_engine_is_not_an_answer)
{
    assert_no_part_is_an_answer(
        stream_body, "data: [DONE]\n\n", [](const endpoint& engine) {
            return is_answered(engine_backend(engine, "owner", milliseconds{2'000}),
                               work_kind::completion);
        });
}

Test(truncated_answer, call_of_a_service_is_not_an_answer)
{
    assert_no_part_is_an_answer(call_body, "", [](const endpoint& service) {
        return is_answered(service_backend(service), work_kind::service);
    });
}

Test(truncated_answer, reply_of_the_store_or_a_relay_is_an_error)
{
    assert_no_part_is_an_answer(call_body, "", [](const endpoint& store) {
        try
        {
            return http_client(store, milliseconds{5'000}).get("/x").body == call_body;
        }
        catch (const connection_error&)
        {
            return false;
        }
    });
}
