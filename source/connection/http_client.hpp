/// \file
/// HTTP client for short calls to one address.
#pragma once

#include "connection/http_call.hpp"
#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Sends one call at a time over a persistent connection. Not thread-safe.
class http_client
{
public:
    /// `timeout` bounds each call, including connection setup.
    http_client(endpoint remote, milliseconds timeout);

    /// Makes a call whose response the peer may delay by `wait` in addition to the
    /// timeout. Throws call_abandoned if `abandon` gives it up, else connection_error;
    /// the call may have taken effect.
    http_reply call(const http_call& it, milliseconds wait = milliseconds{0},
                    const abandon_check& abandon = {});
    /// Gets `path`, conditionally if `etag` is not empty. Throws connection_error.
    http_reply get(std::string_view path, std::string_view etag = {});
    /// Posts a JSON body. Throws connection_error; the call may have taken effect.
    http_reply post(std::string_view path, std::string_view body);
    /// Deletes `path`. Throws connection_error.
    http_reply remove(std::string_view path);

private:
    void connect();

    endpoint remote_;
    milliseconds timeout_;
    std::optional<tcp_stream> stream_;
};

/// Percent-encodes all characters of `text` except the unreserved ones (RFC 3986).
std::string encode_component(std::string_view text);

} // namespace pistachiopost
