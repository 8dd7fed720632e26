/// Answers of engines, services and the store that are reset on the way, whose status
/// line is none of a final answer, or that do not end. Guards against an agent that
/// reports a part of an answer as complete, that keeps all bytes of a faulty server, or
/// that a flood keeps from its deadline and from a cancellation.
#include "connection/http_client.hpp"
#include "fixtures/backend_attempt.hpp"
#include "fixtures/broken_answers.hpp"
#include "fixtures/raw_server.hpp"
#include "fixtures/resident_memory.hpp"

#include <criterion/criterion.h>

#include <algorithm>
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

/// Serves an endless answer to attempts and nothing to an engine's control connection.
class endless_server
{
public:
    endless_server(const endless_answer& it, milliseconds pause)
        : server_([it, pause](tcp_stream& stream, std::size_t /*connection*/) {
              const auto request = receive_request(stream, true);
              if (request.head.target == "/x" ||
                  request.head.target.starts_with("/v1/reservations"))
              {
                  stream.send(it.begin, steady::now() + seconds{5});
                  send_without_end(stream,
                                   pause.count() > 0 ? it.piece.substr(0, 20) : it.piece,
                                   pause);
              }
          }),
          address(server_.address)
    {
    }

private:
    raw_server server_;

public:
    const endpoint& address;
};

/// Has each reader of this name read each endless answer several times at once, beside a
/// sound answer, and requires that none ends as an answer and that memory stays bounded.
void read_endless_answers(std::string_view name, milliseconds pause)
{
    constexpr std::size_t at_once = 4;
    constexpr milliseconds remaining{1'000};
    const auto reader = *std::find_if(readers().begin(), readers().end(),
                                      [&](const auto& it) { return it.name == name; });
    raw_server sound([&](tcp_stream& stream, std::size_t /*connection*/) {
        receive_request(stream, true);
        stream.send(answer_of(framing::length, "200", type_of(reader), reader.body),
                    steady::now() + seconds{5});
    });
    std::vector<task> tasks;
    for (const auto& it : endless_answers())
    {
        tasks.emplace_back([&, it] {
            const endless_server server(it, pause);
            std::vector<task> attempts;
            for (std::size_t n = 0; n < at_once; ++n)
            {
                attempts.emplace_back([&] {
                    cr_expect_not(reader.is_answer(server.address, "{}", remaining), "%s",
                                  std::string(it.name).c_str());
                });
            }
            cr_expect(reader.is_answer(sound.address, "{}", seconds{10}), "beside %s",
                      std::string(it.name).c_str());
            for (auto& attempt : attempts)
            {
                attempt.join();
            }
        });
    }
    for (auto& it : tasks)
    {
        it.join();
    }
    // In four of the places a body of 8 MB at most is held, which is copied as it grows.
    constexpr std::size_t bodies = 4 * at_once;
    constexpr std::size_t body_kb = 8'192;
    cr_assert_lt(peak_resident_kb(), bodies * 3 * body_kb);
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

Test(broken_answer, endless_answer_of_a_service_ends_with_bounded_memory)
{
    read_endless_answers("service", milliseconds{0});
}

Test(broken_answer, endless_answer_of_a_service_in_small_pieces_ends_at_the_deadline)
{
    read_endless_answers("service", milliseconds{1});
}

Test(broken_answer, endless_answer_of_the_store_ends_with_bounded_memory)
{
    read_endless_answers("store", milliseconds{0});
}

Test(broken_answer, endless_answer_of_the_store_in_small_pieces_ends_at_the_deadline)
{
    read_endless_answers("store", milliseconds{1});
}

Test(broken_answer, endless_answer_of_an_engine_ends_with_bounded_memory)
{
    read_endless_answers("engine", milliseconds{0});
}

Test(broken_answer, endless_answer_of_an_engine_in_small_pieces_ends_at_the_deadline)
{
    read_endless_answers("engine", milliseconds{1});
}

/// Guards against a flood that is read without a look at the caller.
Test(broken_answer, cancellation_ends_an_endless_answer)
{
    for (const auto& it : endless_answers())
    {
        for (const auto kind : {work_kind::service, work_kind::completion})
        {
            const endless_server server(it, milliseconds{1});
            attempt_job job(
                1, make_attempt_order(kind, std::chrono::minutes{10}),
                std::make_shared<const std::string>("{}"), [](const attempt_event&) {},
                steady::now());
            task attempt([&] {
                if (kind == work_kind::service)
                {
                    service_backend(server.address).run(job, [] {});
                }
                else
                {
                    engine_backend(server.address, "owner", hang_timeout).run(job, [] {});
                }
            });
            wait_readable(-1, -1, steady::now() + milliseconds{50});
            job.cancel();
            attempt.join(); // returns only if the attempt ended
        }
    }
}
