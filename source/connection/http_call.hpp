/// \file
/// One call over a connection: the request goes out whole, the answer comes in whole.
#pragma once

#include "connection/message_head.hpp"
#include "connection/tcp_stream.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

/// A call with a JSON body; GET has none.
struct http_call
{
    std::string_view method;
    std::string target;
    std::string body;
    std::string known_etag; ///< The answer is wanted only if it has another tag.
};

/// A whole answer.
struct http_reply
{
    int status = 0;
    std::string body;
    std::string etag;
    bool keep_alive = false; ///< The connection can carry another call.
};

/// Makes one call over `stream` to `host` before `until`. Throws connection_error; the
/// call may then have been carried out.
http_reply make_call(tcp_stream& stream, std::string_view host, const http_call& call,
                     time_point until);

} // namespace pistachiopost
