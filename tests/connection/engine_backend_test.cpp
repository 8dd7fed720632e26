/// Engines that answer with bytes that are no completion.
#include "connection/engine_backend.hpp"

#include "connection/http_reader.hpp"
#include "connection/status_server.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <sys/socket.h>

#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <variant>

using namespace pistachiopost;

namespace {

/// Runs one attempt with the id "r-1" and counts the pieces of its answer.
attempt_result run_attempt(engine_backend& engine, std::size_t& chunks)
{
    attempt_order order;
    order.attempt_id = "r-1";
    order.path = "/v1/completions";
    order.remaining = seconds{10};
    attempt_job job(
        1, order, std::make_shared<const std::string>("{}"),
        [&chunks](const attempt_event& it) {
            chunks += std::holds_alternative<answer_chunk>(it) ? 1U : 0U;
        },
        steady::now());
    return engine.run(job, [] {});
}

/// An engine that answers each call with `status` and `body`.
class engine_fixture
{
public:
    engine_fixture(int status, const std::string& body)
    {
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        address_ = {"127.0.0.1", ntohs(addr.sin_port)};
        serving_ = task([this, status, body] {
            serve_status(listener_, stop_.get(), [&](const received_request&) {
                return status_response{status, "text/event-stream", body};
            });
        });
    }

    ~engine_fixture()
    {
        signal_event_fd(stop_);
        serving_.join();
    }

    engine_fixture(const engine_fixture&) = delete;
    engine_fixture& operator=(const engine_fixture&) = delete;

    attempt_result run()
    {
        engine_backend engine(address_, "owner", milliseconds{2'000});
        return run_attempt(engine, chunks);
    }

    std::size_t chunks = 0; ///< Pieces of the answer that were passed on.

private:
    endpoint address_;
    unique_fd listener_ = listen_tcp({"127.0.0.1", 0});
    unique_fd stop_ = open_event_fd();
    task serving_;
};

/// Sends an answer and, a moment later, a refusal that belongs to no request.
void send_answer_and_refusal(tcp_stream& stream, std::string_view events)
{
    const auto until = steady::now() + seconds{5};
    stream.send(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                            events.size(), events),
                until);
    std::this_thread::sleep_for(milliseconds{20});
    stream.send("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", until);
}

} // namespace

Test(engine_backend, event_of_an_unexpected_type_fails_the_attempt)
{
    for (const char* event :
         {R"({"id":"r-1","choices":[]})", R"({"id":"r-1","choices":"x"})",
          R"({"id":7,"choices":[{"text":"a"}]})", R"({"id":"r-1","choices":[1]})",
          R"({"id":"r-1","choices":[{"delta":1}]})",
          R"({"id":"r-1","choices":[{"text":1}]})"})
    {
        engine_fixture engine(200, fmt::format("data: {}\n\ndata: [DONE]\n\n", event));
        const auto result = engine.run();
        cr_assert(std::holds_alternative<refusal>(result), "event %s", event);
    }
}

Test(engine_backend, body_of_an_error_response_is_no_part_of_the_answer)
{
    engine_fixture engine(
        500, "data: {\"id\":\"r-1\",\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n");
    const auto result = engine.run();
    cr_assert(std::holds_alternative<refusal>(result));
    cr_assert_eq(engine.chunks, 0U);
}

Test(engine_backend, refusal_written_after_an_answer_is_not_taken_for_the_next_one)
{
    constexpr std::string_view events =
        "data: {\"id\":\"r-1\",\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n";
    const auto listener = listen_tcp({"127.0.0.1", 0});
    sockaddr_in addr{};
    socklen_t n = sizeof addr;
    getsockname(listener.get(), reinterpret_cast<sockaddr*>(&addr), &n);
    const auto stop = open_event_fd();
    const auto refused = open_event_fd();
    task server([&] {
        std::list<task> connections;
        accept_until(listener, stop.get(), [&](unique_fd sock) {
            auto shared = std::make_shared<unique_fd>(std::move(sock));
            connections.emplace_back([shared, events, &refused] {
                tcp_stream stream(std::move(*shared));
                try
                {
                    for (received_request request;
                         read_request(stream, caller_limits(), -1, request) ==
                         request_outcome::complete;
                         request = {})
                    {
                        send_answer_and_refusal(stream, events);
                        signal_event_fd(refused);
                    }
                }
                catch (const connection_error&)
                {
                    signal_event_fd(refused); // the client closed the connection
                }
            });
        });
        for (auto& it : connections)
        {
            it.join();
        }
    });
    std::size_t chunks = 0;
    {
        engine_backend engine({"127.0.0.1", ntohs(addr.sin_port)}, "owner",
                              milliseconds{2'000});
        cr_expect(std::holds_alternative<answer_end>(run_attempt(engine, chunks)));
        wait_readable(refused.get(), -1, steady::now() + seconds{5});
        cr_expect(std::holds_alternative<answer_end>(run_attempt(engine, chunks)));
    }
    signal_event_fd(stop);
    server.join();
    cr_assert_eq(chunks, 2U);
}
