/// \file
/// Codec of the messages between entries and agents. Orders are encoded as HTTP/2
/// header fields, all other messages as msgpack values.
#pragma once

#include "connection/codec_error.hpp"
#include "connection/http2_session.hpp"
#include "process/load_report.hpp"
#include "request/attempt.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pistachiopost {

/// A message in the body of a stream.
using link_message = std::variant<attempt_event, load_report, crash_record>;

/// Path of a stream that carries an attempt.
inline constexpr std::string_view attempt_path = "/attempts";
/// Path of the stream on which an agent reports its load.
inline constexpr std::string_view report_path = "/reports";
/// Path of a stream that sends a crash record to an agent.
inline constexpr std::string_view crash_path = "/crashes";

/// Returns the HTTP/2 pseudo-header fields of a request for `path`.
std::vector<header_field> encode_request_headers(std::string_view path);
/// Returns the request header fields of an attempt.
std::vector<header_field> encode_order(const attempt_order& order);
/// Decodes the header fields of an attempt. Throws codec_error.
attempt_order decode_order(const header_map& headers);

std::string encode(const link_message& message);

/// Incremental decoder of a stream of messages.
class message_reader
{
public:
    message_reader();
    message_reader(message_reader&&) noexcept;
    message_reader& operator=(message_reader&&) noexcept;
    ~message_reader();
    void feed(std::string_view bytes);
    /// Returns the next message once it is complete. Throws codec_error.
    std::optional<link_message> next();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace pistachiopost
