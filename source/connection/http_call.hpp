/// \file
/// One HTTP call over a connection, with complete request and response bodies.
#pragma once

#include "connection/message_head.hpp"
#include "connection/tcp_stream.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// A request; one with a method other than GET always carries a body.
struct http_call
{
    std::string_view method;
    std::string target;
    std::string body;
    std::string if_none_match; ///< Sent as If-None-Match; empty for none.
    std::string content_type = "application/json"; ///< Of the body.
    std::vector<header_field> fields = {};         ///< Further header fields.
};

/// A complete response.
struct http_reply
{
    int status = 0;
    message_head head;
    std::string body;
    bool keep_alive = false; ///< Whether the connection can be reused.
};

/// Decides whether a call that waits for its answer is given up. Empty for never.
using abandon_check = std::function<bool(time_point now)>;

/// Thrown if a call was given up before its timeout.
class call_abandoned : public connection_error
{
public:
    using connection_error::connection_error;
};

/// Makes one call to `host` over `stream` before `until`. While it waits, `abandon` is
/// asked several times a second. Throws connection_error, after which the call may have
/// taken effect.
http_reply make_call(tcp_stream& stream, std::string_view host, const http_call& call,
                     time_point until, const abandon_check& abandon = {});

} // namespace pistachiopost
