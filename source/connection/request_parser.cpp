#include "connection/request_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace pistachiopost {

namespace {

namespace http = boost::beast::http;

std::string to_string(boost::beast::string_view text)
{
    return {text.data(), text.size()};
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

constexpr std::string_view line_end = "\r\n";

/// What follows the content of a chunk.
struct chunk_framing
{
    std::string_view line;     ///< Size and extensions of the next chunk.
    std::string_view trailers; ///< Behind the last line, with the empty line at the end.
};

chunk_framing split_framing(std::string_view text)
{
    text.remove_prefix(text.starts_with(line_end) ? line_end.size() : 0);
    const auto end = text.find(line_end);
    if (end == std::string_view::npos)
    {
        text.remove_suffix(text.ends_with(line_end.front()) ? 1 : 0);
        return {text, {}};
    }
    return {text.substr(0, end), text.substr(end + line_end.size())};
}

std::size_t count_fields(const http::request<http::string_body>& message)
{
    return static_cast<std::size_t>(std::distance(message.begin(), message.end()));
}

} // namespace

struct request_parser::state
{
    state() { parser.on_chunk_header(on_chunk_line); }

    bool chunk_line_parsed = false;
    std::function<void(std::uint64_t, boost::beast::string_view,
                       boost::beast::error_code&)>
        on_chunk_line = [this](auto /*size*/, auto /*extension*/, auto& /*ec*/) {
            chunk_line_parsed = true;
        };
    http::request_parser<http::string_body> parser;
};

request_parser::request_parser(const caller_limits& limits, const framing_limits& framing)
    : limits_(limits), framing_(framing), state_(std::make_unique<state>())
{
    // Beast limits each part of a head by itself; parse() limits the whole head.
    state_->parser.header_limit(std::numeric_limits<std::uint32_t>::max());
    state_->parser.body_limit(limits.max_body_bytes);
}

request_parser::~request_parser() = default;

std::optional<request_outcome> request_parser::parse(tcp_stream& stream)
{
    auto& parser = state_->parser;
    while (!parser.is_done())
    {
        const auto bytes = stream.buffered();
        if (bytes.empty())
        {
            return std::nullopt;
        }
        if (request_line_bytes_ == 0)
        {
            const auto end = await_request_line(bytes);
            if (end || request_line_bytes_ == 0)
            {
                return end;
            }
        }
        boost::beast::error_code ec;
        state_->chunk_line_parsed = false;
        const auto n = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
        const bool needs_more = ec == http::error::need_more;
        if (ec && !needs_more)
        {
            return to_outcome(ec);
        }
        if (!has_head_)
        {
            head_bytes_ += n;
            const auto waiting = parser.is_header_done() ? 0 : bytes.size() - n;
            if (head_bytes_ + waiting > request_line_bytes_ + limits_.max_header_bytes)
            {
                return request_outcome::head_too_large;
            }
            if (parser.is_header_done() && !take_head())
            {
                return request_outcome::malformed;
            }
        }
        else if (parser.chunked())
        {
            const bool exceeded = state_->chunk_line_parsed
                                      ? count_framing(bytes.substr(0, n))
                                      : needs_more && exceeds_framing(bytes.substr(n));
            if (exceeded)
            {
                return request_outcome::framing_too_large;
            }
        }
        stream.consume(n);
        if (needs_more || (n == 0 && !parser.is_done()))
        {
            return std::nullopt;
        }
    }
    return request_outcome::complete;
}

std::optional<request_outcome> request_parser::await_request_line(std::string_view bytes)
{
    const auto end = bytes.find(line_end);
    if (std::min(end, bytes.size()) > limits_.max_header_bytes)
    {
        return request_outcome::head_too_large;
    }
    if (end == std::string_view::npos)
    {
        return std::nullopt;
    }
    request_line_bytes_ = end + line_end.size();
    return std::nullopt;
}

bool request_parser::take_head()
{
    const auto& message = state_->parser.get();
    if (!has_sound_framing(message))
    {
        return false;
    }
    has_head_ = true;
    head_bytes_ -= request_line_bytes_;
    head_fields_ = count_fields(message);
    head_.method = to_string(message.method_string());
    head_.target = to_string(message.target());
    // Trailers arrive later and are no fields of the head (RFC 9110, section 6.5.1).
    for (const auto& it : message)
    {
        head_.fields.push_back({to_string(it.name_string()), to_string(it.value())});
    }
    return true;
}

bool request_parser::exceeds_framing(std::string_view text) const
{
    const auto it = split_framing(text);
    const auto room = limits_.max_header_bytes - head_bytes_ + line_end.size();
    return it.line.size() > framing_.max_chunk_line_bytes || it.trailers.size() > room;
}

bool request_parser::count_framing(std::string_view text)
{
    const std::uint64_t line = split_framing(text).line.size();
    framing_bytes_ +=
        line - std::min<std::uint64_t>(line, framing_limits::uncounted_line_bytes);
    const auto& parser = state_->parser;
    const auto fields = framing_.max_trailer_fields;
    return exceeds_framing(text) ||
           framing_bytes_ > framing_.max_framing_bytes + body_bytes() ||
           (fields && parser.is_done() &&
            count_fields(parser.get()) > head_fields_ + *fields);
}

bool request_parser::expects_continue() const
{
    return same_header_name(head_.value("Expect"), "100-continue");
}

std::uint64_t request_parser::announced_bytes() const
{
    if (!has_head_)
    {
        return 0;
    }
    const auto n = state_->parser.content_length();
    return n ? *n : 0;
}

std::uint64_t request_parser::body_bytes() const
{
    return state_->parser.get().body().size();
}

void request_parser::reserve_body()
{
    constexpr std::uint64_t max_reserved_bytes = 16U << 20U;
    auto& body = state_->parser.get().body();
    const auto size = std::min(limits_.max_body_bytes, max_reserved_bytes);
    if (announced_bytes() == 0 && body.capacity() < size)
    {
        body.reserve(size);
    }
}

received_request request_parser::release()
{
    received_request it;
    auto message = state_->parser.release();
    it.keep_alive = message.keep_alive();
    it.head = std::move(head_);
    it.body = std::move(message.body());
    return it;
}

} // namespace pistachiopost
