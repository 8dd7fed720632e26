/// \file
/// Short HTTP calls to one address.
#pragma once

#include "connection/http_call.hpp"
#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Keeps one connection and sends one call at a time. For one task.
class http_client
{
public:
    /// Each call takes at most `timeout`, the connection included.
    http_client(endpoint where, milliseconds timeout);

    /// Makes a call that the peer may hold for `wait` before it answers. Throws
    /// connection_error; the call may have taken effect.
    http_reply call(const http_call& it, milliseconds wait = milliseconds{0});
    /// Fetches `path`; `etag` makes the call conditional. Throws connection_error.
    http_reply get(std::string_view path, std::string_view etag = {});
    /// Sends a JSON body. Throws connection_error; the call may have taken effect.
    http_reply post(std::string_view path, std::string_view body);
    /// Deletes `path`. Throws connection_error.
    http_reply remove(std::string_view path);

private:
    void connect();

    endpoint where_;
    milliseconds timeout_;
    std::optional<tcp_stream> stream_;
};

/// Returns `text` with all but unreserved characters percent-encoded.
std::string encode_component(std::string_view text);

} // namespace pistachiopost
