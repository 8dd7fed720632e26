/// \file
/// Reads HTTP/1.1 messages from a tcp_stream, parsed by Boost.Beast.
#pragma once

#include "connection/message_head.hpp"
#include "connection/tcp_stream.hpp"
#include "version/route_table.hpp"

#include <memory>
#include <string>

namespace pistachiopost {

/// A peer sent bytes that are no HTTP message.
class protocol_error : public connection_error
{
public:
    using connection_error::connection_error;
};

/// How the reading of a request ended.
enum class request_outcome
{
    complete,
    closed,     ///< The caller closed, or the server stops, before a request began.
    cut,        ///< The caller closed inside a request.
    idle,       ///< No request began in time.
    late,       ///< The request was not whole in time.
    head_large, ///< The head is over the limit.
    body_large, ///< The body is over the limit.
    malformed   ///< Not HTTP.
};

/// A whole request.
struct received_request
{
    message_head head;
    std::string body;
    bool keep_alive = true;
};

/// Reads one request. `stop_fd` becomes readable when no further request is wanted;
/// a request that has begun is read on. Throws connection_error on a reset.
request_outcome read_request(tcp_stream& stream, const caller_limits& limits, int stop_fd,
                             received_request& into);

/// Parses one response as its bytes arrive.
class response_reader
{
public:
    /// A response to `method`.
    explicit response_reader(std::string_view method);
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Parses what `stream` has buffered. Throws protocol_error.
    void parse(tcp_stream& stream);
    /// Says that the peer closed in order; returns whether the response is whole.
    bool end_of_stream();
    [[nodiscard]] bool has_head() const { return has_head_; }
    [[nodiscard]] bool done() const;
    /// Returns whether the connection can carry another exchange.
    [[nodiscard]] bool keep_alive() const;
    [[nodiscard]] const message_head& head() const { return head_; }
    /// Returns the bytes of the body that arrived since the last call.
    std::string take_body();

private:
    struct parser;

    std::unique_ptr<parser> parser_;
    message_head head_;
    bool has_head_ = false;
};

} // namespace pistachiopost
