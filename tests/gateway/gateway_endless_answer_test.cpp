/// Answers without end at each place where one may not end, at full speed and in small
/// pieces, from several backend servers at once. Guards against a gateway that keeps all
/// bytes of a faulty backend server, or that a flood keeps from its deadlines, from the
/// close of a caller and from sound requests.
#include "fixtures/broken_answers.hpp"
#include "fixtures/raw_server.hpp"
#include "fixtures/resident_memory.hpp"
#include "gateway_fixture.hpp"

#include <criterion/criterion.h>

#include <list>
#include <string>
#include <vector>

using namespace pistachiopost;

namespace {

constexpr std::size_t slots = 4; // of a backend server of the fixture
constexpr milliseconds full_speed{0};
constexpr milliseconds small_pieces{1};

/// A gateway before one backend server for each endless answer, and a sound one.
struct endless_fixture : gateway_fixture
{
    explicit endless_fixture(milliseconds pause)
    {
        add_backend(sound, "i-sound", "model");
        for (const auto& it : endless_answers())
        {
            auto& server = servers.emplace_back([it, pause](tcp_stream& stream,
                                                            std::size_t /*connection*/) {
                receive_request(stream, true);
                send_text(stream, it.begin);
                send_without_end(
                    stream, pause.count() > 0 ? it.piece.substr(0, 20) : it.piece, pause);
            });
            const backend_record record{fmt::format("i-{}", servers.size()),
                                        "plain",
                                        server.address,
                                        "z",
                                        slots,
                                        false,
                                        1};
            state->dispatch.update_registry(steady::now(), [&](auto& registry) {
                registry.upsert(record, steady::now());
            });
        }
    }
    ~endless_fixture() { join_connections(); }

    /// Sends as many requests as the backend servers run at once.
    std::vector<tcp_stream> send_to_all()
    {
        std::vector<tcp_stream> callers;
        for (std::size_t n = 0; n < slots * servers.size(); ++n)
        {
            callers.push_back(connect());
            send_text(callers.back(), request("/once/x"));
        }
        return callers;
    }

    [[nodiscard]] std::size_t attempts() const
    {
        std::size_t n = 0;
        for (const auto& it : servers)
        {
            n += it.connections();
        }
        return n;
    }

    std::list<raw_server> servers;
    scripted_backend sound{[](auto& stream, const auto& request) {
        send_event_stream(stream, request, 1, 3);
    }};
};

void read_endless_answers(milliseconds pause)
{
    endless_fixture gateway(pause);
    auto callers = gateway.send_to_all();
    for (int n = 0; n < 20; ++n)
    {
        const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
        cr_assert(answer.complete);
        cr_assert_eq(answer.head.status, 200);
    }
    for (auto& it : callers)
    {
        const auto answer = gateway_fixture::read_answer(it);
        cr_assert(answer.head.status == 502 || answer.head.status == 504, "status %d",
                  answer.head.status);
    }
    const auto calls = callers.size();
    callers.clear();
    gateway.join_connections();
    cr_assert_eq(gateway.attempts(), calls, "a call ran twice or not at all");
    cr_assert_eq(gateway.state->memory.used(), 0U);
    cr_assert_lt(peak_resident_kb(), gateway.settings.memory_bytes >> 10U);
}

} // namespace

Test(gateway_endless_answer, answers_at_full_speed_end_within_the_memory)
{
    read_endless_answers(full_speed);
}

Test(gateway_endless_answer, answers_in_small_pieces_end_at_the_deadline)
{
    read_endless_answers(small_pieces);
}

Test(gateway_endless_answer, close_of_the_caller_ends_each_answer)
{
    endless_fixture gateway(small_pieces);
    auto document = gateway_fixture::configuration_document(2);
    for (auto& it : document["routes"])
    {
        it["timeout-ms"] = 600'000;
    }
    gateway.apply(document);
    {
        std::vector<tcp_stream> callers;
        for (std::size_t n = 0; n < gateway.servers.size(); ++n)
        {
            callers.push_back(gateway.connect());
            send_text(
                callers.back(),
                "POST /once/x HTTP/1.1\r\nHost: a.test\r\nRequest-Id: r1\r\n"
                "Deadline-Ms: 600000\r\nApi-Key: key-a\r\nContent-Length: 0\r\n\r\n");
        }
        while (gateway.attempts() < gateway.servers.size())
        {
            wait_readable(-1, -1, steady::now() + milliseconds{5});
        }
        wait_readable(-1, -1, steady::now() + milliseconds{100}); // answers have begun
    }
    gateway.join_connections(); // returns only if all attempts ended
}

/// Lengths over any memory. The parser reserved the announced length.
Test(gateway_endless_answer, huge_announced_length_is_a_failure)
{
    for (const auto* length : {"99999999999", "99999999999999", "9223372036854775807",
                               "18446744073709551615", "99999999999999999999"})
    {
        const scripted_backend server([&](auto& stream, const auto& request) {
            send_text(stream,
                      fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                                  "Response-Stamp: s\r\nContent-Length: {}\r\n\r\nok",
                                  request_id_of(request), length));
        });
        gateway_fixture gateway;
        gateway.add_backend(server, "i-1", "plain");
        cr_assert_eq(gateway.send_request("/once/x").head.status, 502, "%s", length);
    }
}
