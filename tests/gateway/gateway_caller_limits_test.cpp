/// Requests at each limit of the configuration exactly, whole or in pieces, with bodies
/// cut in any way. Guards against bounds of the gateway's own that refuse what the
/// operator's limits allow, and against limits that depend on how the bytes arrive.
#include "gateway_fixture.hpp"

#include <criterion/criterion.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <thread>

using namespace pistachiopost;

namespace {

constexpr std::size_t max_body = 4'194'304;
constexpr std::size_t max_head = 16'384;
// Not included in the limit on heads.
constexpr std::string_view request_line = "POST /safe/x HTTP/1.1\r\n";
constexpr std::size_t whole = 0;
constexpr std::string_view last_chunk = "0\r\n\r\n";

/// A gateway before a service that answers every request.
struct limits_fixture : gateway_fixture
{
    limits_fixture() { add_backend(server, "i-1", "plain"); }
    ~limits_fixture() { join_connections(); }

    /// Sends `text` in pieces of `piece` bytes on a connection of its own and returns the
    /// status of the answer.
    int status_of(std::string_view text, std::size_t piece = whole)
    {
        auto caller = connect();
        try
        {
            send_in_pieces(caller, text, piece);
        }
        catch (const connection_error&)
        {
            // Refused before the end of the request; the answer says why.
        }
        return read_answer(caller).head.status;
    }

    /// Returns the sizes of pieces in which a request is sent: byte by byte unless that
    /// takes too long.
    static std::array<std::size_t, 3> pieces_of(std::string_view text)
    {
        constexpr std::size_t max_single_bytes = 40'000;
        return {whole, text.size() > max_single_bytes ? std::size_t{101} : 1, 1'000};
    }

    static void send_in_pieces(tcp_stream& caller, std::string_view text,
                               std::size_t piece)
    {
        for (const auto n = piece == whole ? text.size() : piece; !text.empty();)
        {
            send_text(caller, text.substr(0, n));
            text.remove_prefix(std::min(n, text.size()));
            if (!text.empty())
            {
                wait_until_received(caller);
            }
        }
    }

    /// Waits until the gateway has taken all that was sent, so that the next piece is
    /// read by itself.
    static void wait_until_received(const tcp_stream& caller)
    {
        const auto until = steady::now() + seconds{5};
        int unread = 1;
        while (unread > 0 && steady::now() < until)
        {
            ioctl(caller.fd(), SIOCOUTQ, &unread);
            std::this_thread::yield();
        }
    }

    /// Requires that the request is served, whole and in pieces, with this body.
    void assert_served(std::string_view text, std::string_view body,
                       std::string_view name)
    {
        for (const auto piece : pieces_of(text))
        {
            const auto before = server.requests().size();
            cr_assert_eq(status_of(text, piece), 200, "%s in pieces of %zu",
                         std::string(name).c_str(), piece);
            cr_assert_eq(server.requests().size(), before + 1);
            cr_assert(server.requests().back().body == body, "%s in pieces of %zu",
                      std::string(name).c_str(), piece);
        }
    }

    /// Requires that the request is refused, whole and in pieces.
    void assert_refused(std::string_view text, int status, std::string_view name)
    {
        for (const auto piece : pieces_of(text))
        {
            cr_assert_eq(status_of(text, piece), status, "%s in pieces of %zu",
                         std::string(name).c_str(), piece);
        }
        cr_assert(server.requests().empty());
    }

    scripted_backend server{[](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    }};
};

/// Returns the head of a request with this field, filled up to `size` bytes if that is
/// not 0.
std::string head(std::string_view field, std::size_t size = 0)
{
    auto text = fmt::format("{}Host: a.test\r\nRequest-Id: r1\r\nApi-Key: key-a\r\n"
                            "Deadline-Ms: 9000\r\n{}\r\n",
                            request_line, field);
    constexpr std::string_view filler = "X-Fill: ";
    constexpr std::string_view end = "\r\n\r\n";
    while (text.size() < size)
    {
        // A field has at most 1,000 bytes, and the last one ends where the head does.
        const auto left = size - text.size();
        const auto n = left < 2'000 ? left : 1'000;
        text.replace(text.size() - 2, 2,
                     std::string(filler) +
                         std::string(n - filler.size() - end.size() + 2, 'f') +
                         std::string(end));
    }
    return text;
}

const std::string chunked_field = "Transfer-Encoding: chunked\r\n";

/// Returns `size` bytes in chunks of `chunk` bytes, without the last chunk. Each line has
/// `extension` behind the size, and the size has leading zeros up to `digits`.
std::string chunks(std::size_t size, std::size_t chunk, std::string_view extension = "",
                   std::size_t digits = 1)
{
    std::string all;
    for (std::size_t n = 0; n < size; n += chunk)
    {
        const auto part = std::min(chunk, size - n);
        all += fmt::format("{:0{}x}{}\r\n", part, digits, extension);
        all.append(part, 'b');
        all += "\r\n";
    }
    return all;
}

/// Returns trailers of `size` bytes in all.
std::string trailers(std::size_t size)
{
    std::string all;
    while (all.size() < size)
    {
        const auto left = size - all.size();
        const auto n = left < 2'000 ? left : 1'000;
        all += "X-Late: " + std::string(n - 10, 't') + "\r\n";
    }
    return all;
}

} // namespace

Test(gateway_caller_limits, body_in_one_byte_chunks_is_served)
{
    limits_fixture gateway;
    for (const std::size_t size : {1, 1'000, 16'384, 16'385, 33'000})
    {
        gateway.assert_served(head(chunked_field) + chunks(size, 1) +
                                  std::string(last_chunk),
                              std::string(size, 'b'), fmt::format("{} bytes", size));
    }
}

Test(gateway_caller_limits, largest_body_is_served_however_it_is_cut)
{
    limits_fixture gateway;
    const std::string body(max_body, 'b');
    for (const std::size_t chunk : {1, 2, 3, 4, 7, 16, 100, 16'384, 4'194'304})
    {
        cr_assert_eq(gateway.status_of(head(chunked_field) + chunks(max_body, chunk) +
                                       std::string(last_chunk)),
                     200, "chunks of %zu", chunk);
        cr_assert(gateway.server.requests().back().body == body);
    }
    cr_assert_eq(gateway.status_of(head("Content-Length: 4194304\r\n") + body), 200);
    cr_assert(gateway.server.requests().back().body == body);
}

Test(gateway_caller_limits, body_a_byte_over_the_limit_is_refused_however_it_is_cut)
{
    limits_fixture gateway;
    for (const std::size_t chunk : {1, 100, 16'384, 4'194'305})
    {
        cr_assert_eq(gateway.status_of(head(chunked_field) + chunks(max_body + 1, chunk) +
                                       std::string(last_chunk)),
                     413, "chunks of %zu", chunk);
    }
    cr_assert_eq(gateway.status_of(head("Content-Length: 4194305\r\n")), 413);
    cr_assert(gateway.server.requests().empty());
}

Test(gateway_caller_limits, body_in_one_byte_chunks_with_extensions_or_zeros_is_served)
{
    limits_fixture gateway;
    constexpr std::size_t size = 33'000;
    constexpr std::size_t max_digits = 16;
    for (const auto& text :
         {chunks(size, 1, ";n=1"), chunks(size, 1, ";name=\"a value\""),
          chunks(size, 1, "", max_digits)})
    {
        cr_assert_eq(
            gateway.status_of(head(chunked_field) + text + std::string(last_chunk)), 200);
        cr_assert_eq(gateway.server.requests().back().body.size(), size);
    }
}

Test(gateway_caller_limits, head_of_the_largest_size_is_served)
{
    limits_fixture gateway;
    gateway.assert_served(head("Content-Length: 2\r\n", max_head) + "bb", "bb",
                          "body with a length");
    gateway.assert_served(head(chunked_field, max_head) + "2\r\nbb\r\n" +
                              std::string(last_chunk),
                          "bb", "body in chunks");
}

Test(gateway_caller_limits, request_line_is_not_included_in_the_limit_on_heads)
{
    limits_fixture gateway;
    gateway.assert_served(head("Content-Length: 2\r\n", max_head + request_line.size()) +
                              "bb",
                          "bb", "body with a length");
}

Test(gateway_caller_limits, head_a_byte_over_the_limit_is_refused)
{
    constexpr auto size = max_head + request_line.size() + 1;
    limits_fixture gateway;
    gateway.assert_refused(head("Content-Length: 2\r\n", size) + "bb", 431,
                           "body with a length");
    gateway.assert_refused(head(chunked_field, size) + "2\r\nbb\r\n" +
                               std::string(last_chunk),
                           431, "body in chunks");
}

/// Guards against a limit that applies to each part of a head by itself.
Test(gateway_caller_limits, head_without_end_is_refused_wherever_it_is_cut)
{
    constexpr std::string_view field = "X-Field: 1234567\r\n";
    std::string fields;
    while (fields.size() < 10 * max_head)
    {
        fields += field;
    }
    for (const auto piece : {std::size_t{1}, field.size(), 100 * field.size(), whole})
    {
        limits_fixture gateway;
        auto caller = gateway.connect();
        try
        {
            limits_fixture::send_in_pieces(caller, request_line, whole);
            limits_fixture::wait_until_received(caller);
            limits_fixture::send_in_pieces(caller, fields, piece);
        }
        catch (const connection_error&)
        {
            // The gateway has closed the connection.
        }
        cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 431,
                     "pieces of %zu", piece);
    }
}

Test(gateway_caller_limits, request_line_over_the_limit_on_heads_is_refused)
{
    limits_fixture gateway;
    gateway.assert_refused(fmt::format("POST /safe/{} HTTP/1.1\r\nHost: a.test\r\n\r\n",
                                       std::string(max_head, 'x')),
                           431, "request line");
}

Test(gateway_caller_limits, head_of_many_fields_is_served)
{
    limits_fixture gateway;
    std::string fields;
    while (head(fields + "Content-Length: 0\r\n").size() + 5 <= max_head)
    {
        fields += "a:b\r\n";
    }
    gateway.assert_served(head(fields + "Content-Length: 0\r\n"), "", "many fields");
}

/// Trailers are within the limit on heads together with the head.
Test(gateway_caller_limits, trailers_that_fill_the_limit_on_heads_are_served)
{
    limits_fixture gateway;
    const auto begin = head(chunked_field) + "2\r\nbb\r\n0\r\n";
    const auto room = max_head - head(chunked_field).size();
    gateway.assert_served(begin + trailers(room) + "\r\n", "bb", "trailers");
}

Test(gateway_caller_limits, trailers_a_byte_over_the_limit_on_heads_are_refused)
{
    limits_fixture gateway;
    const auto begin = head(chunked_field) + "2\r\nbb\r\n0\r\n";
    const auto room = max_head - (head(chunked_field).size() - request_line.size());
    gateway.assert_refused(begin + trailers(room + 1) + "\r\n", 400, "trailers");
}

Test(gateway_caller_limits, many_trailers_within_the_limit_on_heads_are_served)
{
    limits_fixture gateway;
    std::string fields;
    for (int n = 0; n < 3'000; ++n)
    {
        fields += "a:b\r\n";
    }
    gateway.assert_served(head(chunked_field) + "2\r\nbb\r\n0\r\n" + fields + "\r\n",
                          "bb", "trailers");
}

Test(gateway_caller_limits, chunk_line_of_the_largest_size_is_served)
{
    limits_fixture gateway;
    const auto extension =
        ";" + std::string(gateway.settings.framing.max_chunk_line_bytes - 2, 'e');
    gateway.assert_served(head(chunked_field) + chunks(2, 2, extension) + "0" +
                              extension + "\r\n\r\n",
                          "bb", "extension");
}

Test(gateway_caller_limits, chunk_line_a_byte_over_the_limit_is_refused)
{
    limits_fixture gateway;
    const auto extension =
        ";" + std::string(gateway.settings.framing.max_chunk_line_bytes - 1, 'e');
    gateway.assert_refused(head(chunked_field) + chunks(2, 2, extension), 400, "chunk");
    gateway.assert_refused(head(chunked_field) + chunks(2, 2) + "0" + extension +
                               "\r\n\r\n",
                           400, "last chunk");
}

/// RFC 9112, section 7.1.1: the total length of extensions is to be limited.
Test(gateway_caller_limits, long_extensions_of_many_chunks_are_refused)
{
    limits_fixture gateway;
    const auto text = chunks(1'000, 1, ";" + std::string(1'000, 'e'));
    cr_assert_eq(gateway.status_of(head(chunked_field) + text), 400);
    cr_assert(gateway.server.requests().empty());
}

/// What is sent at the end of a timeout arrives after it.
Test(gateway_caller_limits, request_at_the_end_of_the_timeouts_is_served)
{
    constexpr milliseconds timeout{400};
    constexpr milliseconds delay{150}; // on the way
    limits_fixture gateway;
    gateway.configure(
        2, 200'000,
        {{"header-timeout-ms", timeout.count()}, {"idle-timeout-ms", timeout.count()}});
    const auto begin = head(chunked_field);
    const auto middle = begin.size() / 2;
    auto caller = gateway.connect();
    for (const auto& part : {begin.substr(0, middle), begin.substr(middle) + chunks(2, 2),
                             chunks(2, 2) + std::string(last_chunk)})
    {
        send_text(caller, part);
        std::this_thread::sleep_for(timeout + delay);
    }
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
}

Test(gateway_caller_limits, head_later_than_its_timeout_is_refused)
{
    limits_fixture gateway;
    gateway.configure(2, 200'000, {{"header-timeout-ms", 300}});
    auto caller = gateway.connect();
    send_text(caller, "POST /safe/x HTTP/1.1\r\nHost: a");
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 408);
}
