/// \file
/// Reads HTTP/1.1 messages from a tcp_stream, parsed by Boost.Beast.
#pragma once

#include "connection/framing_limits.hpp"
#include "connection/message_head.hpp"
#include "connection/tcp_stream.hpp"
#include "process/memory_budget.hpp"
#include "version/route_table.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pistachiopost {

/// Thrown when received bytes are not a valid HTTP message.
class protocol_error : public connection_error
{
public:
    using connection_error::connection_error;
};

/// Result of reading a request.
enum class request_outcome
{
    complete,
    closed,            ///< The caller closed or the server stops before a request began.
    truncated,         ///< The caller closed in the middle of a request.
    idle_timeout,      ///< No request began within the idle timeout.
    timed_out,         ///< The request was not complete in time.
    head_too_large,    ///< The head exceeds the limit.
    body_too_large,    ///< The body exceeds the limit.
    malformed,         ///< Not a valid HTTP request.
    framing_too_large, ///< Chunk lines or trailers exceed a limit.
    no_memory          ///< The memory budget has too little left for it.
};

struct received_request
{
    message_head head;
    std::string body;
    bool keep_alive = true;
};

/// Returns the limits that are in force.
using limits_source = std::function<caller_limits()>;

/// What else bounds the reading of a request.
struct reading_terms
{
    framing_limits framing;
    connection_memory* memory = nullptr; ///< Of the connection; none if not bounded.
};

/// Reads one request. `stop_fd` becomes readable when the server stops; a request that
/// has begun is still read to its end. The limits are those in force when it begins. All
/// timeouts are extended by a second. Throws connection_error if the connection is reset.
request_outcome read_request(tcp_stream& stream, const limits_source& current,
                             int stop_fd, const reading_terms& terms,
                             received_request& into);

/// Reads one request under fixed limits, without a bound on memory but these.
request_outcome read_request(tcp_stream& stream, const caller_limits& limits, int stop_fd,
                             received_request& into);

/// Incremental parser of one response. Interim responses (RFC 9110, section 15.2) before
/// it are dropped.
class response_reader
{
public:
    /// Parses the response to a request with `method`. A body of more than
    /// `max_body_bytes` is an error; without that limit the caller must take the body
    /// as it arrives and bound what it keeps.
    explicit response_reader(std::string_view method,
                             std::optional<std::uint64_t> max_body_bytes = {});
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    /// Consumes and parses the bytes buffered in `stream`. Throws protocol_error, also if
    /// the status is none of a final response.
    void parse(tcp_stream& stream);
    /// Signals that the peer closed the connection; returns whether the response is
    /// complete.
    bool end_of_stream();
    [[nodiscard]] bool has_head() const { return has_head_; }
    [[nodiscard]] bool done() const;
    /// Returns whether the connection can be reused.
    [[nodiscard]] bool keep_alive() const;
    [[nodiscard]] const message_head& head() const { return head_; }
    /// Returns the body bytes received since the last call.
    std::string take_body();

private:
    struct parser;

    /// Begins with the next response on the connection.
    void start();
    /// Takes a head that was parsed, unless it is that of an interim response.
    void take_head();

    bool skips_body_;
    std::uint64_t max_body_bytes_;
    std::unique_ptr<parser> parser_;
    message_head head_;
    std::uint64_t head_bytes_ = 0; ///< Of all heads so far.
    bool has_head_ = false;
};

} // namespace pistachiopost
