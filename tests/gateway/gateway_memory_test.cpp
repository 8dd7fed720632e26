/// Requests that cost a gateway memory without limit unless it bounds them: trailers,
/// chunk extensions, tiny chunks, and bodies beyond what its memory can hold. Guards
/// against a process that is killed for its memory, and against limits that refuse what a
/// sound caller sends.
#include "gateway_fixture.hpp"

#include <criterion/criterion.h>

#include <string>
#include <string_view>

using namespace pistachiopost;

namespace {

constexpr std::size_t max_body = 4'194'304;

/// A gateway on a VM with `memory_mb` before a service that answers every request.
struct memory_fixture : gateway_fixture
{
    explicit memory_fixture(std::uint64_t memory_mb = 160)
    {
        settings.memory_bytes = memory_mb << 20U;
        state = std::make_unique<gateway_state>(settings);
        state->backends_loaded = true;
        configure(1);
        add_backend(server, "i-1", "plain");
    }
    ~memory_fixture() { join_connections(); }

    /// Sends a request of these framing fields and this body.
    tcp_stream send(std::string_view framing, std::string_view body)
    {
        auto caller = connect();
        send_text(caller, fmt::format("POST /safe/x HTTP/1.1\r\nHost: a.test\r\n"
                                      "Request-Id: r1\r\nApi-Key: key-a\r\n"
                                      "Deadline-Ms: 9000\r\n{}\r\n",
                                      framing));
        send_text(caller, body);
        return caller;
    }
    tcp_stream send_chunked(std::string_view body)
    {
        return send("Transfer-Encoding: chunked\r\n", body);
    }

    scripted_backend server{[](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    }};
};

std::string chunks(std::size_t size, std::size_t chunk)
{
    std::string all;
    for (std::size_t n = 0; n < size; n += chunk)
    {
        const auto part = std::min(chunk, size - n);
        all += fmt::format("{:x}\r\n{}\r\n", part, std::string(part, 'b'));
    }
    return all;
}

void assert_refused(std::string_view body, int status)
{
    memory_fixture gateway;
    auto caller = gateway.send_chunked(body);
    const auto answer = gateway_fixture::read_answer(caller);
    cr_assert_eq(answer.head.status, status, "status %d", answer.head.status);
    cr_assert_eq(answer.head.value("Connection"), "close");
    gateway.join_connections();
    cr_assert(gateway.server.requests().empty());
    cr_assert_eq(gateway.state->memory.used(), 0U);
}

} // namespace

Test(gateway_memory, largest_body_is_served_on_the_smallest_vm)
{
    memory_fixture gateway;
    const std::string body(max_body, 'b');
    for (const bool in_chunks : {false, true})
    {
        auto caller =
            in_chunks
                ? gateway.send_chunked(chunks(max_body, 60'000) + "0\r\n\r\n")
                : gateway.send(fmt::format("Content-Length: {}\r\n", max_body), body);
        cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
    }
    gateway.join_connections();
    const auto requests = gateway.server.requests();
    cr_assert_eq(requests.size(), 2U);
    cr_assert(requests[0].body == body);
    cr_assert(requests[1].body == body);
    cr_assert_eq(gateway.state->memory.used(), 0U);
}

Test(gateway_memory, body_in_small_chunks_with_short_extensions_is_served)
{
    memory_fixture gateway;
    auto caller =
        gateway.send_chunked(chunks(200'000, 40) + "5;a=\"b c\";d\r\nhello\r\n" +
                             "0;last\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n");
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
    const auto requests = gateway.server.requests();
    cr_assert_eq(requests.at(0).body.size(), 200'005U);
}

/// A trailer is no field of the head; one that was taken for it could replace what the
/// gateway has checked.
Test(gateway_memory, trailers_do_not_reach_the_head)
{
    memory_fixture gateway;
    auto caller = gateway.send_chunked("2\r\nhi\r\n0\r\nX-Late: 1\r\n\r\n");
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
    cr_assert_eq(gateway.server.requests().at(0).head.find("X-Late"), nullptr);
}

Test(gateway_memory, trailers_without_end_are_refused)
{
    std::string fields;
    for (int n = 0; n < 40; ++n)
    {
        fields += "X-Trailer: " + std::string(1'000, 't') + "\r\n";
    }
    assert_refused("2\r\nhi\r\n0\r\n" + fields, 400);
}

Test(gateway_memory, trailer_line_without_end_is_refused)
{
    assert_refused("2\r\nhi\r\n0\r\nX-Trailer: " + std::string(40'000, 't'), 400);
}

Test(gateway_memory, trailer_fields_over_the_limit_of_the_settings_are_refused)
{
    constexpr std::uint32_t max_fields = 64;
    std::string fields;
    for (std::uint32_t n = 0; n < max_fields; ++n)
    {
        fields += "X: 1\r\n";
    }
    memory_fixture gateway;
    gateway.settings.framing.max_trailer_fields = max_fields;
    const std::string begin = "2\r\nhi\r\n0\r\n";
    for (const auto status : {200, 400})
    {
        auto caller = gateway.send_chunked(begin + fields + "\r\n");
        cr_assert_eq(gateway_fixture::read_answer(caller).head.status, status);
        fields += "X: 1\r\n";
    }
    gateway.join_connections();
    cr_assert_eq(gateway.server.requests().size(), 1U);
    cr_assert_eq(gateway.state->memory.used(), 0U);
}

Test(gateway_memory, chunk_extension_without_end_is_refused)
{
    assert_refused("2;" + std::string(20'000, 'e'), 400);
}

Test(gateway_memory, long_chunk_extension_is_refused)
{
    assert_refused("2;" + std::string(5'000, 'e') + "\r\nhi\r\n0\r\n\r\n", 400);
    assert_refused("2\r\nhi\r\n0;" + std::string(5'000, 'e') + "\r\n\r\n", 400);
}

Test(gateway_memory, body_that_is_mostly_extensions_is_refused)
{
    std::string body;
    for (int n = 0; n < 400; ++n)
    {
        body += "1;" + std::string(400, 'e') + "\r\nb\r\n";
    }
    assert_refused(body, 400);
}

/// A limit on all framing refused bodies over 16 kB in chunks of one byte. What such a
/// body takes of the memory is that of its content.
Test(gateway_memory, body_in_one_byte_chunks_takes_the_memory_of_its_content)
{
    constexpr std::size_t size = 40'000;
    memory_fixture gateway;
    auto caller = gateway.send_chunked(chunks(size, 1));
    constexpr auto held = connection_memory::connection_bytes +
                          connection_memory::request_bytes + size -
                          connection_memory::small_body_bytes;
    constexpr std::uint64_t receive_buffer = 16'384;
    while (gateway.state->memory.used() < held)
    {
        wait_readable(-1, -1, steady::now() + milliseconds{5});
    }
    cr_assert_leq(gateway.state->memory.used(), held + receive_buffer);
    send_text(caller, "0\r\n\r\n");
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
    gateway.join_connections();
    cr_assert_eq(gateway.server.requests().at(0).body.size(), size);
    cr_assert_eq(gateway.state->memory.used(), 0U);
}

Test(gateway_memory, chunked_body_over_the_limit_is_refused)
{
    assert_refused(chunks(max_body + 1, 60'000), 413);
}

/// A close with bytes unread resets the connection, and the answer may be lost.
Test(gateway_memory, announced_body_over_the_limit_is_refused_while_it_is_sent)
{
    memory_fixture gateway;
    auto caller = gateway.send("Content-Length: 4194305\r\n", std::string(900'000, 'b'));
    const auto answer = gateway_fixture::read_answer(caller);
    cr_assert_eq(answer.head.status, 413);
    cr_assert(answer.complete);
}

Test(gateway_memory, body_beyond_the_memory_is_refused_as_not_run)
{
    // The budget has 5 MB, of which 3.75 are for bodies.
    memory_fixture gateway(16);
    const auto length = fmt::format("Content-Length: {}\r\n", max_body);
    auto caller = gateway.send(length, std::string(max_body, 'b'));
    const auto refused = gateway_fixture::read_answer(caller);
    cr_assert_eq(refused.head.status, 503);
    cr_assert_neq(refused.head.find("Retry-After"), nullptr);
    cr_assert(gateway.server.requests().empty());
}

Test(gateway_memory, body_waits_for_the_memory_of_others)
{
    memory_fixture gateway;
    auto& memory = gateway.state->memory;
    const auto others = memory.level(memory_use::body);
    cr_assert(memory.try_take(others, memory_use::body));
    const auto length = fmt::format("Content-Length: {}\r\n", max_body);
    auto waiting = gateway.send(length, "");
    cr_assert_eq(gateway.send_request("/safe/x", {}, "small").head.status, 200);
    memory.give_back(others);
    send_text(waiting, std::string(max_body, 'b'));
    cr_assert_eq(gateway_fixture::read_answer(waiting).head.status, 200);
}

Test(gateway_memory, body_that_stalls_gives_way_to_the_next)
{
    // The budget has 7.5 MB, of which 5.6 are for bodies: one of these.
    memory_fixture gateway(24);
    const auto length = fmt::format("Content-Length: {}\r\n", max_body);
    auto first = gateway.send(length, std::string(max_body - 1, 'b'));
    while (gateway.state->memory.used() < max_body)
    {
        wait_readable(-1, -1, steady::now() + milliseconds{5});
    }
    wait_readable(-1, -1, steady::now() + memory_budget::stall_time + milliseconds{500});
    auto second = gateway.send(length, std::string(max_body, 'b'));
    cr_assert_eq(gateway_fixture::read_answer(second).head.status, 200);
    cr_assert_eq(gateway_fixture::read_answer(first).head.status, 503);
    cr_assert_eq(gateway.server.requests().size(), 1U);
}

Test(gateway_memory, body_without_memory_is_not_asked_for)
{
    // The budget has 20 MB, of which 15 are for bodies.
    memory_fixture gateway(48);
    const auto length = fmt::format("Content-Length: {}\r\n", max_body);
    cr_assert(gateway.state->memory.try_take(3 * max_body, memory_use::answer));
    auto caller = gateway.send("Expect: 100-continue\r\n" + length, "");
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 503);
}
