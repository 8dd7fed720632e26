/// Engines that answer with bytes that are no completion.
#include "connection/engine_backend.hpp"

#include "connection/http_reader.hpp"
#include "connection/status_server.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <sys/socket.h>

#include <string>
#include <variant>

using namespace pistachiopost;

namespace {

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

    /// Runs one attempt with the id "r-1".
    attempt_result run()
    {
        attempt_order order;
        order.attempt_id = "r-1";
        order.path = "/v1/completions";
        order.remaining = seconds{10};
        attempt_job job(
            1, order, std::make_shared<const std::string>("{}"),
            [this](const attempt_event& it) {
                chunks += std::holds_alternative<answer_chunk>(it) ? 1U : 0U;
            },
            steady::now());
        engine_backend engine(address_, "owner", milliseconds{2'000});
        return engine.run(job, [] {});
    }

    std::size_t chunks = 0; ///< Pieces of the answer that were passed on.

private:
    endpoint address_;
    unique_fd listener_ = listen_tcp({"127.0.0.1", 0});
    unique_fd stop_ = open_event_fd();
    task serving_;
};

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
