/// \file
/// Incremental parser of one request within limits on its head, body and framing.
#pragma once

#include "connection/framing_limits.hpp"
#include "connection/http_reader.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace pistachiopost {

/// Parses one request with Boost.Beast, which leaves a chunk line or the trailers in the
/// read buffer until they are whole.
class request_parser
{
public:
    request_parser(const caller_limits& limits, const framing_limits& framing);
    ~request_parser();
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    /// Consumes and parses the bytes buffered in `stream`. Returns nothing while the
    /// request needs more bytes.
    std::optional<request_outcome> parse(tcp_stream& stream);
    [[nodiscard]] bool has_head() const { return has_head_; }
    /// Returns whether the caller waits for 100 Continue before it sends the body.
    [[nodiscard]] bool expects_continue() const;
    /// Returns the length that the head announces, 0 if it announces none.
    [[nodiscard]] std::uint64_t announced_bytes() const;
    /// Returns how many bytes of the body were parsed.
    [[nodiscard]] std::uint64_t body_bytes() const;
    /// Makes room for a body of unknown length, so that it is not copied while it grows.
    /// Its memory is not touched before bytes arrive.
    void reserve_body();
    /// Returns the request, which must be complete.
    received_request release();

private:
    struct state;

    /// Waits until the request line is complete. The limit on heads is one on the line
    /// and another on the fields, so that it does not depend on how the head arrives.
    std::optional<request_outcome> await_request_line(std::string_view bytes);
    /// Takes the head that was parsed; returns false if the end of the body is in doubt.
    bool take_head();
    /// Returns whether the framing between two chunks exceeds the limits. `text` begins
    /// behind the content of a chunk and may be incomplete.
    [[nodiscard]] bool exceeds_framing(std::string_view text) const;
    /// Counts the framing between two chunks, which is complete; returns whether that of
    /// the whole body exceeds the limits.
    bool count_framing(std::string_view text);

    caller_limits limits_;
    framing_limits framing_;
    std::unique_ptr<state> state_;
    bool has_head_ = false;
    std::uint64_t request_line_bytes_ = 0; ///< 0 until the line is complete.
    std::uint64_t head_bytes_ = 0;         ///< Without the request line once complete.
    std::uint64_t framing_bytes_ = 0;      ///< Counted bytes of chunk lines.
    std::size_t head_fields_ = 0;
    message_head head_;
};

} // namespace pistachiopost
