/// \file
/// Short HTTP calls to one address.
#pragma once

#include "connection/connection_error.hpp"
#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Answer of a short call.
struct http_answer
{
    int status = 0;
    std::string body;
    std::string etag;
};

/// Keeps one connection and sends one call at a time.
class http_client
{
public:
    http_client(endpoint where, milliseconds timeout);
    ~http_client();
    http_client(http_client&&) noexcept;
    http_client& operator=(http_client&&) noexcept;

    /// Fetches `path`; `etag` makes the call conditional. Throws connection_error.
    http_answer get(std::string_view path, std::string_view etag = {});
    /// Sends a JSON body. Throws connection_error; the call may have taken effect.
    http_answer post(std::string_view path, std::string_view body);
    /// Deletes `path`. Throws connection_error.
    http_answer remove(std::string_view path);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Returns `text` with all but unreserved characters percent-encoded.
std::string encode_component(std::string_view text);

} // namespace pistachiopost
