#include "fuzz/targets.hpp"

#include "connection/codec_error.hpp"
#include "connection/event_splitter.hpp"
#include "connection/gateway_record_codec.hpp"
#include "connection/http_reader.hpp"
#include "connection/load_report_codec.hpp"
#include "connection/relay_codec.hpp"
#include "connection/request_parser.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/message_codec.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace pistachiopost {

namespace {

void require(bool condition, const char* property)
{
    if (!condition)
    {
        throw fuzz_failure(property);
    }
}

/// A connection whose peer has sent the given bytes and closed its end.
class preloaded_connection
{
public:
    explicit preloaded_connection(std::string_view bytes)
    {
        std::array<int, 2> pair{-1, -1};
        if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()) != 0)
        {
            throw std::runtime_error("socketpair failed");
        }
        stream.emplace(unique_fd(pair[0]));
        const unique_fd peer(pair[1]);
        for (std::size_t sent = 0; sent < bytes.size();)
        {
            const auto n = write(peer.get(), bytes.data() + sent, bytes.size() - sent);
            require(n > 0, "the input fits into the socket buffer");
            sent += static_cast<std::size_t>(n);
        }
    }

    std::optional<tcp_stream> stream;
};

caller_limits short_timeout_limits()
{
    caller_limits it;
    it.header_timeout = milliseconds{200};
    it.idle_timeout = milliseconds{200};
    return it;
}

/// Encodes a request for forwarding and requires that parsing it yields the same request.
void check_forwarding(const received_request& request)
{
    forward_options terms;
    terms.backend = "backend-1";
    terms.customer = "ann";
    terms.time_left = milliseconds{1'000};
    const auto text =
        platform::encode_forward(request.head, terms, request.body.size()) + request.body;
    preloaded_connection connection(text);
    received_request reparsed;
    auto limits = short_timeout_limits();
    limits.max_header_bytes *= 2; // room for the fields that the gateway adds
    require(read_request(*connection.stream, limits, -1, reparsed) ==
                request_outcome::complete,
            "a forwarded request is complete");
    require(reparsed.head.method == request.head.method, "the method is unchanged");
    require(reparsed.head.target == request.head.target, "the target is unchanged");
    require(reparsed.body == request.body, "the body is unchanged");
    require(reparsed.head.value("Api-Key").empty(), "the API key is not forwarded");
    require(connection.stream->buffered().empty(),
            "one request is forwarded as exactly one request");
}

} // namespace

void fuzz_caller(std::string_view bytes, mutator& /*choices*/)
{
    preloaded_connection caller(bytes);
    try
    {
        for (;;)
        {
            received_request request;
            const auto outcome =
                read_request(*caller.stream, short_timeout_limits(), -1, request);
            if (outcome != request_outcome::complete)
            {
                return;
            }
            platform::decode_request(request.head);
            check_forwarding(request);
        }
    }
    catch (const connection_error&)
    {
        // Malformed input: the gateway closes the connection.
    }
}

void fuzz_framing(std::string_view bytes, mutator& choices)
{
    constexpr std::size_t max_part_bytes = 300;
    constexpr std::uint64_t budget_bytes = 262'144;
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    auto limits = short_timeout_limits();
    limits.max_header_bytes = 1'024;
    limits.max_body_bytes = 4'096;
    const framing_limits framing{128, 8, 512};

    std::array<int, 2> pair{-1, -1};
    require(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()) == 0,
            "a connection");
    tcp_stream stream{unique_fd(pair[0])};
    const unique_fd peer(pair[1]);
    request_parser parser(limits, framing);
    const auto text = head + std::string(bytes);
    std::size_t sent = 0;
    std::optional<request_outcome> outcome;
    while (sent < text.size() && !outcome)
    {
        const auto n =
            std::min(1 + choices.random_below(max_part_bytes), text.size() - sent);
        require(write(peer.get(), text.data() + sent, n) == static_cast<ssize_t>(n),
                "a part fits into the socket buffer");
        sent += n;
        stream.receive();
        outcome = parser.parse(stream);
        require(stream.buffered().size() <= limits.max_header_bytes + max_part_bytes,
                "what waits for its end is bounded");
        require(!parser.has_head() || parser.body_bytes() <= limits.max_body_bytes,
                "the body is bounded");
    }
    if (outcome == request_outcome::complete)
    {
        const auto taken = sent - stream.buffered().size() - head.size();
        // Each chunk has a byte of content at least, but for the last one.
        const auto body = parser.body_bytes();
        constexpr std::uint64_t line_ends = 4;
        const auto lines =
            (body + 1) * (framing_limits::uncounted_line_bytes + line_ends);
        require(taken <= 2 * body + lines + framing.max_framing_bytes +
                             limits.max_header_bytes,
                "the framing of an accepted body is bounded");
        require(parser.release().head.fields.size() == 1, "no trailer enters the head");
    }

    memory_budget budget(budget_bytes);
    {
        preloaded_connection caller(text);
        connection_memory memory(budget, caller.stream->fd());
        received_request request;
        require(memory.admit(), "there is memory for one connection");
        try
        {
            read_request(
                *caller.stream, [&] { return limits; }, -1, {framing, &memory}, request);
        }
        catch (const connection_error&)
        {
            // Malformed input: the gateway closes the connection.
        }
        require(budget.used() <= budget_bytes, "the budget is kept");
    }
    require(budget.used() == 0, "all memory is given back");
}

void fuzz_backend(std::string_view bytes, mutator& choices)
{
    response_reader answer("POST");
    event_splitter events;
    std::string body;
    std::string forwarded;
    try
    {
        while (!bytes.empty() && !answer.done())
        {
            const auto n = std::min(1 + choices.random_below(300), bytes.size());
            preloaded_connection chunk(bytes.substr(0, n));
            bytes.remove_prefix(n);
            chunk.stream->receive();
            answer.parse(*chunk.stream);
            const auto decoded = answer.take_body();
            body += decoded;
            events.feed(decoded);
            forwarded += events.take_complete_events();
        }
        answer.end_of_stream();
    }
    catch (const connection_error&)
    {
        // Malformed answer: the attempt fails; events already forwarded must still be
        // valid.
    }
    if (answer.has_head())
    {
        platform::decode_answer(answer.head(), "r1");
        platform::decode_faulty_backend(answer.head());
        require(platform::decode_notice(answer.head(), "r1").backoff.count() >= 0,
                "a backoff is not negative");
    }
    require(body.compare(0, forwarded.size(), forwarded) == 0,
            "events are forwarded unchanged");
}

void fuzz_configuration(std::string_view bytes, mutator& /*choices*/)
{
    try
    {
        const auto table = platform::decode_configuration(bytes);
        // The results are irrelevant; the sanitizers check the lookups.
        static_cast<void>(table.find_route("a.test", "/stream/x"));
        static_cast<void>(table.find_customer("key-a"));
    }
    catch (const codec_error& it)
    {
        require(*it.what() != '\0', "a rejected configuration has an error message");
    }
}

void fuzz_backend_row(std::string_view bytes, mutator& /*choices*/)
{
    std::string fault;
    const auto record = platform::decode_backend("b1", bytes, fault);
    require(record.has_value() || !fault.empty(), "a rejected row has an error message");
    require(!record || (record->slots >= 1 && record->slots <= 10'000),
            "the number of slots is from 1 to 10,000");
}

void fuzz_load_report(std::string_view bytes, mutator& /*choices*/)
{
    try
    {
        const auto first = decode_load_report(bytes);
        const auto reparsed = decode_load_report(encode_load_report(first));
        require(first.gateway == reparsed.gateway,
                "the sender is unchanged by a round trip");
        require(first.loads == reparsed.loads, "the loads are unchanged by a round trip");
    }
    catch (const codec_error& it)
    {
        require(*it.what() != '\0', "a rejected report has an error message");
    }
}

void fuzz_relay(std::string_view bytes, mutator& /*choices*/)
{
    try
    {
        const auto first = decode_row_batch(bytes);
        const auto reparsed = decode_row_batch(encode_row_batch(first));
        require(first.version == reparsed.version,
                "the version is unchanged by a round trip");
        require(first.rows.size() == reparsed.rows.size(),
                "the number of rows is unchanged by a round trip");
    }
    catch (const codec_error& it)
    {
        require(*it.what() != '\0', "a rejected answer has an error message");
    }
    try
    {
        decode_relay_request(bytes);
    }
    catch (const codec_error& it)
    {
        require(*it.what() != '\0', "a rejected request has an error message");
    }
}

void fuzz_gateway_row(std::string_view bytes, mutator& /*choices*/)
{
    try
    {
        const auto record = decode_gateway_record("g-1", bytes);
        require(record.address.port != 0, "the port is not 0");
    }
    catch (const codec_error& it)
    {
        require(*it.what() != '\0', "a rejected row has an error message");
    }
}

} // namespace pistachiopost
