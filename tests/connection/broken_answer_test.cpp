/// Answers of engines, services and the store that are reset on the way, or whose status
/// line is none of a final answer. Guards against an agent that reports a part of an
/// answer as complete, or bytes that are none as an answer.
#include "connection/http_client.hpp"
#include "fixtures/backend_attempt.hpp"
#include "fixtures/broken_answers.hpp"
#include "fixtures/raw_server.hpp"

#include <criterion/criterion.h>

#include <string>
#include <string_view>
#include <vector>

using namespace pistachiopost;

namespace {

constexpr milliseconds hang_timeout{2'000};
constexpr std::string_view call_body = "whole body";
const std::string first_piece =
    "data: {\"id\":\"r-1\",\"choices\":[{\"text\":\"a\"}]}\n\n";
const std::string completion = first_piece + "data: [DONE]\n\n";

/// What reads an answer: the body it takes for a whole one, and a call that returns
/// whether it got one.
struct answer_reader
{
    std::string_view name;
    std::string body;
    std::string part; ///< Of the body.
    bool (*is_answer)(const endpoint& server, const std::string& body,
                      milliseconds remaining);
};

bool is_completion(const endpoint& server, const std::string& body,
                   milliseconds remaining)
{
    return is_answered(engine_backend(server, "owner", hang_timeout),
                       work_kind::completion, body, remaining);
}

bool is_call(const endpoint& server, const std::string& body, milliseconds remaining)
{
    return is_answered(service_backend(server), work_kind::service, body, remaining);
}

bool is_reply(const endpoint& server, const std::string& body, milliseconds remaining)
{
    try
    {
        const auto reply = http_client(server, remaining).post("/x", body);
        return reply.status == 200;
    }
    catch (const connection_error&)
    {
        return false;
    }
}

const std::vector<answer_reader>& readers()
{
    static const std::vector<answer_reader> all{
        {"engine", completion, first_piece + "data: {\"id\"", is_completion},
        {"service", std::string(call_body), "whole ", is_call},
        {"store", std::string(call_body), "whole ", is_reply}};
    return all;
}

std::string type_of(const answer_reader& it)
{
    return it.name == "engine" ? "text/event-stream" : "text/plain";
}

} // namespace

Test(broken_answer, answer_that_is_reset_is_none)
{
    for (const auto& reader : readers())
    {
        for_each_reset([&](const auto& it) {
            const raw_server server([&](tcp_stream& stream, std::size_t /*connection*/) {
                receive_request(stream, !it.during_upload);
                send_and_reset(
                    stream,
                    head_of(it.how, "200", type_of(reader), reader.body.size()) +
                        (it.has_body ? body_of(it.how, reader.part) : ""),
                    it.delay);
            });
            const std::string body(it.during_upload ? 8'000'000 : 10, 'x');
            cr_assert_not(reader.is_answer(server.address, body, seconds{5}), "%s: %s",
                          std::string(reader.name).c_str(), it.label().c_str());
        });
    }
}

Test(broken_answer, answer_with_an_invalid_status_is_none)
{
    for (const auto& reader : readers())
    {
        for_each_invalid_status([&](auto status, auto how, const char* label) {
            const raw_server server([&](tcp_stream& stream, std::size_t /*connection*/) {
                receive_request(stream, true);
                stream.send(answer_of(how, status, type_of(reader), reader.body),
                            steady::now() + seconds{5});
            });
            cr_assert_not(reader.is_answer(server.address, "{}", seconds{5}), "%s: %s",
                          std::string(reader.name).c_str(), label);
        });
    }
}

Test(broken_answer, final_answer_behind_interim_responses_is_read)
{
    for (const auto& reader : readers())
    {
        if (reader.name == "engine") // read by another library
        {
            continue;
        }
        for (const auto how : all_framings)
        {
            const raw_server server([&](tcp_stream& stream, std::size_t /*connection*/) {
                receive_request(stream, true);
                stream.send(std::string(interim_responses) +
                                answer_of(how, "200", type_of(reader), reader.body),
                            steady::now() + seconds{5});
            });
            cr_assert(reader.is_answer(server.address, "{}", seconds{5}),
                      "%s, framing %d", std::string(reader.name).c_str(),
                      static_cast<int>(how));
        }
    }
}
