#include "connection/request_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <iterator>
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

std::size_t count_fields(const http::request<http::string_body>& message)
{
    return static_cast<std::size_t>(std::distance(message.begin(), message.end()));
}

} // namespace

struct request_parser::state
{
    explicit state(std::uint32_t max_extension_bytes)
        : check_extension([this, max_extension_bytes](std::uint64_t /*size*/,
                                                      boost::beast::string_view extension,
                                                      boost::beast::error_code& ec) {
              if (extension.size() > max_extension_bytes)
              {
                  long_extension = true;
                  ec = http::error::bad_chunk_extension;
              }
          })
    {
        parser.on_chunk_header(check_extension);
    }

    std::function<void(std::uint64_t, boost::beast::string_view,
                       boost::beast::error_code&)>
        check_extension;
    bool long_extension = false;
    http::request_parser<http::string_body> parser;
};

request_parser::request_parser(const caller_limits& limits, const framing_limits& framing)
    : limits_(limits), framing_(framing),
      state_(std::make_unique<state>(framing.max_chunk_line_bytes))
{
    auto& parser = state_->parser;
    parser.header_limit(limits.max_header_bytes);
    parser.body_limit(limits.max_body_bytes);
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
        boost::beast::error_code ec;
        const auto n = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), ec);
        stream.consume(n);
        consumed_bytes_ += n;
        if (ec && ec != http::error::need_more)
        {
            return state_->long_extension ? request_outcome::framing_too_large
                                          : to_outcome(ec);
        }
        if (parser.is_header_done() && !has_head_)
        {
            const auto& message = parser.get();
            if (!has_sound_framing(message))
            {
                return request_outcome::malformed;
            }
            has_head_ = true;
            head_bytes_ = consumed_bytes_;
            head_fields_ = count_fields(message);
            head_.method = to_string(message.method_string());
            head_.target = to_string(message.target());
            // Trailers arrive later and are no fields of the head (RFC 9110, section
            // 6.5.1).
            for (const auto& it : message)
            {
                head_.fields.push_back(
                    {to_string(it.name_string()), to_string(it.value())});
            }
        }
        const bool needs_more = ec == http::error::need_more;
        if (has_head_ && (exceeds_framing() || (needs_more && exceeds_line(stream))))
        {
            return request_outcome::framing_too_large;
        }
        if (needs_more || (n == 0 && !parser.is_done()))
        {
            return std::nullopt;
        }
    }
    return request_outcome::complete;
}

bool request_parser::exceeds_framing() const
{
    const auto& parser = state_->parser;
    const auto after_head = consumed_bytes_ - head_bytes_;
    const auto body = body_bytes();
    const auto framing = after_head - std::min(after_head, body);
    return framing > framing_.max_framing_bytes + body ||
           (parser.is_done() &&
            count_fields(parser.get()) > head_fields_ + framing_.max_trailer_fields);
}

bool request_parser::exceeds_line(const tcp_stream& stream) const
{
    if (!state_->parser.chunked())
    {
        return false;
    }
    // What is left is a chunk line without its end, or the last one and the trailers.
    constexpr std::string_view line_end = "\r\n";
    auto left = stream.buffered();
    left.remove_prefix(left.starts_with(line_end) ? line_end.size() : 0);
    const auto line = left.find(line_end);
    if (line == std::string_view::npos)
    {
        return left.size() > framing_.max_chunk_line_bytes;
    }
    const std::uint64_t limit = limits_.max_header_bytes;
    return left.size() - line > limit - std::min(head_bytes_, limit);
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
