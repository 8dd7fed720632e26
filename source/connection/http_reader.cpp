#include "connection/http_reader.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <utility>

namespace pistachiopost {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t max_response_head_bytes = 65'536; // four times a caller's limit
// A request that a caller sends at the end of the idle timeout must not meet the close of
// the connection, also after a retransmission.
constexpr milliseconds idle_close_margin{1'000};

std::string to_string(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

template <typename Message>
void copy_fields(const Message& from, message_head& into)
{
    for (const auto& it : from)
    {
        into.fields.push_back({to_string(it.name_string()), to_string(it.value())});
    }
}

request_outcome to_outcome(const boost::beast::error_code& ec)
{
    if (ec == http::error::header_limit)
    {
        return request_outcome::head_too_large;
    }
    if (ec == http::error::body_limit)
    {
        return request_outcome::body_too_large;
    }
    return request_outcome::malformed;
}

bool wants_continue(const http::request<http::string_body>& message)
{
    return same_header_name(to_string(message[http::field::expect]), "100-continue");
}

/// Returns whether the end of the body is beyond doubt: RFC 9112, section 6.3. Whoever
/// wrote a request with another transfer coding would take the rest of its body for a
/// request of its own, or the body for something else than is passed on.
bool has_sound_framing(const http::request<http::string_body>& message)
{
    constexpr unsigned http_1_1 = 11;
    const auto codings = message.count(http::field::transfer_encoding);
    if (codings == 0)
    {
        return true;
    }
    return codings == 1 && message.version() == http_1_1 &&
           message.count(http::field::content_length) == 0 &&
           same_header_name(to_string(message[http::field::transfer_encoding]),
                            "chunked");
}

/// Waits for the first bytes of a request. Returns complete if there are any.
request_outcome wait_for_request(tcp_stream& stream, const limits_source& current,
                                 int stop_fd)
{
    const auto idle_since = steady::now();
    const auto close_at = [&] {
        return idle_since + current().idle_timeout + idle_close_margin;
    };
    while (stream.buffered().empty())
    {
        // A new configuration may extend the time while the connection is idle.
        const auto until = close_at();
        switch (wait_readable(stream.fd(), stop_fd, until))
        {
        case wake_cause::first:
            if (!stream.receive())
            {
                return request_outcome::closed;
            }
            break;
        case wake_cause::second:
        case wake_cause::third:
            return request_outcome::closed;
        case wake_cause::timeout:
            if (steady::now() >= close_at())
            {
                return request_outcome::idle_timeout;
            }
            break;
        }
    }
    return request_outcome::complete;
}

/// Waits for more bytes of a request that has begun. Returns complete if bytes were
/// received.
request_outcome wait_for_bytes(tcp_stream& stream, time_point until)
{
    if (wait_readable(stream.fd(), -1, until) == wake_cause::timeout)
    {
        return request_outcome::timed_out;
    }
    return stream.receive() ? request_outcome::complete : request_outcome::truncated;
}

} // namespace

request_outcome read_request(tcp_stream& stream, const caller_limits& limits, int stop_fd,
                             received_request& into)
{
    return read_request(
        stream, [&limits] { return limits; }, stop_fd, into);
}

request_outcome read_request(tcp_stream& stream, const limits_source& current,
                             int stop_fd, received_request& into)
{
    const auto begun = wait_for_request(stream, current, stop_fd);
    if (begun != request_outcome::complete)
    {
        return begun;
    }
    const auto limits = current();
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
    parser.eager(true);
    bool continued = false;
    bool framing_checked = false;
    auto until = steady::now() + limits.header_timeout;
    while (!parser.is_done())
    {
        const auto bytes = stream.buffered();
        if (!bytes.empty())
        {
            boost::beast::error_code ec;
            const auto n =
                parser.put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
            stream.consume(n);
            if (ec && ec != http::error::need_more)
            {
                return to_outcome(ec);
            }
            if (parser.is_header_done() && !framing_checked)
            {
                if (!has_sound_framing(parser.get()))
                {
                    return request_outcome::malformed;
                }
                framing_checked = true;
            }
            if (parser.is_done())
            {
                break;
            }
            if (parser.is_header_done() && !continued && wants_continue(parser.get()))
            {
                stream.send("HTTP/1.1 100 Continue\r\n\r\n", until);
                continued = true;
            }
        }
        const auto outcome = wait_for_bytes(stream, until);
        if (outcome != request_outcome::complete)
        {
            return outcome;
        }
        if (parser.is_header_done())
        {
            until = steady::now() + limits.idle_timeout;
        }
    }
    auto message = parser.release();
    into.keep_alive = message.keep_alive();
    into.head.method = to_string(message.method_string());
    into.head.target = to_string(message.target());
    copy_fields(message, into.head);
    into.body = std::move(message.body());
    return request_outcome::complete;
}

struct response_reader::parser
{
    http::response_parser<http::string_body> it;
};

response_reader::response_reader(std::string_view method,
                                 std::optional<std::uint64_t> max_body_bytes)
    : parser_(std::make_unique<parser>())
{
    parser_->it.header_limit(max_response_head_bytes);
    parser_->it.body_limit(
        max_body_bytes ? boost::optional<std::uint64_t>(*max_body_bytes) : boost::none);
    parser_->it.eager(true);
    parser_->it.skip(method == "HEAD");
}

response_reader::~response_reader() = default;

void response_reader::parse(tcp_stream& stream)
{
    while (!stream.buffered().empty() && !done())
    {
        const auto bytes = stream.buffered();
        boost::beast::error_code ec;
        const auto n =
            parser_->it.put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
        stream.consume(n);
        if (ec && ec != http::error::need_more)
        {
            throw protocol_error("response is not HTTP: " + ec.message());
        }
        if (!has_head_ && parser_->it.is_header_done())
        {
            has_head_ = true;
            head_.status = static_cast<int>(parser_->it.get().result_int());
            copy_fields(parser_->it.get(), head_);
        }
        if (ec == http::error::need_more || n == 0)
        {
            break;
        }
    }
    // A chunk header or trailer without end is not consumed before it is complete.
    if (!done() && stream.buffered().size() > max_response_head_bytes)
    {
        throw protocol_error(
            "response has a head, chunk header or trailer over the limit");
    }
}

bool response_reader::end_of_stream()
{
    if (!has_head_)
    {
        return false;
    }
    boost::beast::error_code ec;
    parser_->it.put_eof(ec);
    return !ec && parser_->it.is_done();
}

bool response_reader::done() const
{
    return parser_->it.is_done();
}

bool response_reader::keep_alive() const
{
    return parser_->it.get().keep_alive();
}

std::string response_reader::take_body()
{
    return std::exchange(parser_->it.get().body(), {});
}

} // namespace pistachiopost
