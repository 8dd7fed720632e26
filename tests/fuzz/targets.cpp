#include "fuzz/targets.hpp"

#include "connection/codec_error.hpp"
#include "connection/event_cutter.hpp"
#include "connection/http_reader.hpp"
#include "connection/load_report_codec.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/message_codec.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace pistachiopost {

namespace {

void require(bool holds, const char* promise)
{
    if (!holds)
    {
        throw fuzz_failure(promise);
    }
}

/// A connection whose peer has sent the given bytes and closed its end.
class sent_connection
{
public:
    explicit sent_connection(std::string_view bytes)
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

caller_limits short_limits()
{
    caller_limits it;
    it.header_timeout = milliseconds{200};
    it.idle_timeout = milliseconds{200};
    return it;
}

/// Encodes a request for forwarding and requires that parsing it yields the same request.
void check_forwarded(const received_request& request)
{
    forward_terms terms;
    terms.backend = "backend-1";
    terms.customer = "ann";
    terms.time_left = milliseconds{1'000};
    const auto text =
        platform::encode_forward(request.head, terms, request.body.size()) + request.body;
    sent_connection again(text);
    received_request seen;
    auto limits = short_limits();
    limits.max_header_bytes *= 2; // room for the fields that the gateway adds
    require(read_request(*again.stream, limits, -1, seen) == request_outcome::complete,
            "a forwarded request is complete");
    require(seen.head.method == request.head.method, "the method is unchanged");
    require(seen.head.target == request.head.target, "the target is unchanged");
    require(seen.body == request.body, "the body is unchanged");
    require(seen.head.value("Api-Key").empty(), "the API key is not forwarded");
    require(again.stream->buffered().empty(),
            "one request is forwarded as exactly one request");
}

} // namespace

void feed_caller(std::string_view bytes, mutator& /*choices*/)
{
    sent_connection caller(bytes);
    try
    {
        for (;;)
        {
            received_request request;
            const auto outcome =
                read_request(*caller.stream, short_limits(), -1, request);
            if (outcome != request_outcome::complete)
            {
                return;
            }
            platform::decode_request(request.head);
            check_forwarded(request);
        }
    }
    catch (const connection_error&)
    {
        // Malformed input: the gateway closes the connection.
    }
}

void feed_backend(std::string_view bytes, mutator& choices)
{
    response_reader answer("POST");
    event_cutter events;
    std::string body;
    std::string passed_on;
    try
    {
        while (!bytes.empty() && !answer.done())
        {
            const auto n = std::min(1 + choices.below(300), bytes.size());
            sent_connection piece(bytes.substr(0, n));
            bytes.remove_prefix(n);
            piece.stream->receive();
            answer.parse(*piece.stream);
            const auto part = answer.take_body();
            body += part;
            events.feed(part);
            passed_on += events.take_whole_events();
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
        platform::decode_blamed(answer.head());
    }
    require(body.compare(0, passed_on.size(), passed_on) == 0,
            "events are forwarded unchanged");
}

void feed_configuration(std::string_view bytes, mutator& /*choices*/)
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

void feed_backend_row(std::string_view bytes, mutator& /*choices*/)
{
    std::string fault;
    const auto record = platform::decode_backend("b1", bytes, fault);
    require(record.has_value() || !fault.empty(), "a rejected row has an error message");
    require(!record || (record->slots >= 1 && record->slots <= 10'000),
            "the number of slots is from 1 to 10,000");
}

void feed_load_report(std::string_view bytes, mutator& /*choices*/)
{
    try
    {
        const auto first = decode_load_report(bytes);
        const auto again = decode_load_report(encode_load_report(first));
        require(first.gateway == again.gateway,
                "the sender is unchanged by a round trip");
        require(first.loads == again.loads, "the loads are unchanged by a round trip");
    }
    catch (const codec_error& it)
    {
        require(*it.what() != '\0', "a rejected report has an error message");
    }
}

} // namespace pistachiopost
