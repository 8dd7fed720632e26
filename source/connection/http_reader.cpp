#include "connection/http_reader.hpp"

#include "connection/request_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace pistachiopost {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t max_response_head_bytes = 65'536; // four times a caller's limit
// What a caller sends at the end of a timeout arrives later, also after a retransmission.
constexpr milliseconds timeout_margin{1'000};

std::string to_string(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// A body that grows as bytes arrive. The one of Beast reserves the announced length, for
/// which a peer can name any number.
struct growing_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields>& /*head*/, value_type& body) : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& /*length*/,
                  boost::beast::error_code& ec)
        {
            ec = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& ec)
        {
            const auto before = body_.size();
            for (const auto it : boost::beast::buffers_range_ref(buffers))
            {
                body_.append(static_cast<const char*>(it.data()), it.size());
            }
            ec = {};
            return body_.size() - before;
        }

        void finish(boost::beast::error_code& ec) { ec = {}; }

    private:
        value_type& body_;
    };
};

template <typename Message>
void copy_fields(const Message& from, message_head& into)
{
    for (const auto& it : from)
    {
        into.fields.push_back({to_string(it.name_string()), to_string(it.value())});
    }
}

/// Waits for the first bytes of a request. Returns complete if there are any.
request_outcome wait_for_request(tcp_stream& stream, const limits_source& current,
                                 int stop_fd)
{
    const auto idle_since = steady::now();
    const auto close_at = [&] {
        return idle_since + current().idle_timeout + timeout_margin;
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

/// Takes memory for the bytes of the body that are to be parsed next.
bool cover_body(request_parser& parser, std::uint64_t size, const reading_terms& terms,
                time_point now)
{
    if (terms.memory == nullptr || !parser.has_head())
    {
        return true;
    }
    if (size > connection_memory::small_body_bytes)
    {
        parser.reserve_body();
    }
    return terms.memory->cover_body(size, now);
}

} // namespace

request_outcome read_request(tcp_stream& stream, const caller_limits& limits, int stop_fd,
                             received_request& into)
{
    return read_request(
        stream, [&limits] { return limits; }, stop_fd, {}, into);
}

request_outcome read_request(tcp_stream& stream, const limits_source& current,
                             int stop_fd, const reading_terms& terms,
                             received_request& into)
{
    const auto begun = wait_for_request(stream, current, stop_fd);
    if (begun != request_outcome::complete)
    {
        return begun;
    }
    const auto limits = current();
    request_parser parser(limits, terms.framing);
    auto now = steady::now();
    auto until = now + limits.header_timeout + timeout_margin;
    if (terms.memory != nullptr && !terms.memory->begin_request(now))
    {
        return request_outcome::no_memory;
    }
    for (bool head_seen = false;;)
    {
        const auto announced = parser.announced_bytes();
        // Chunk lines in the buffer must not make the largest body cost more than it has.
        const auto arrived = std::min(parser.body_bytes() + stream.buffered().size(),
                                      limits.max_body_bytes);
        if (!cover_body(parser, announced > 0 ? announced : arrived, terms, now))
        {
            return request_outcome::no_memory;
        }
        if (const auto end = parser.parse(stream))
        {
            if (*end == request_outcome::complete)
            {
                into = parser.release();
            }
            return *end;
        }
        if (parser.has_head() && !head_seen)
        {
            head_seen = true;
            // A body that would find no memory is refused before it is sent.
            if (!cover_body(parser, parser.announced_bytes(), terms, now))
            {
                return request_outcome::no_memory;
            }
            if (parser.expects_continue())
            {
                stream.send("HTTP/1.1 100 Continue\r\n\r\n",
                            steady::now() + limits.header_timeout);
            }
            until = steady::now() + limits.idle_timeout + timeout_margin;
        }
        const auto buffered = stream.buffered().size();
        const auto outcome = wait_for_bytes(stream, until);
        if (terms.memory != nullptr && terms.memory->closed_for_memory())
        {
            return request_outcome::no_memory;
        }
        if (outcome != request_outcome::complete)
        {
            return outcome;
        }
        now = steady::now();
        if (terms.memory != nullptr)
        {
            terms.memory->record_progress(stream.buffered().size() - buffered, now);
        }
        if (parser.has_head())
        {
            until = now + limits.idle_timeout + timeout_margin;
        }
    }
}

struct response_reader::parser
{
    http::response_parser<growing_body> it;
};

response_reader::response_reader(std::string_view method,
                                 std::optional<std::uint64_t> max_body_bytes)
    : skips_body_(method == "HEAD"),
      // Without a limit Beast rejects each announced length (up to 1.74, at least).
      max_body_bytes_(max_body_bytes.value_or(std::numeric_limits<std::uint64_t>::max()))
{
    start();
}

response_reader::~response_reader() = default;

void response_reader::start()
{
    parser_ = std::make_unique<parser>();
    parser_->it.header_limit(max_response_head_bytes);
    parser_->it.body_limit(max_body_bytes_);
    parser_->it.skip(skips_body_);
}

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
        if (!has_head_)
        {
            head_bytes_ += n;
            if (head_bytes_ > max_response_head_bytes)
            {
                throw protocol_error("response has heads over the limit");
            }
        }
        if (!has_head_ && parser_->it.is_header_done())
        {
            take_head();
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

void response_reader::take_head()
{
    const auto status = static_cast<int>(parser_->it.get().result_int());
    if (is_interim_status(status))
    {
        start();
        return;
    }
    if (!is_final_status(status))
    {
        throw protocol_error(fmt::format("response has the invalid status {}", status));
    }
    has_head_ = true;
    head_.status = status;
    copy_fields(parser_->it.get(), head_);
    // Not before: a parser that goes on behind the head drops the error of an announced
    // length over the limit.
    parser_->it.eager(true);
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
