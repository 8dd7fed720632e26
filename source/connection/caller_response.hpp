/// \file
/// The response to one request of a caller, written in pieces.
#pragma once

#include "connection/message_head.hpp"
#include "connection/tcp_stream.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Writes one response. Its functions throw connection_error if the caller is gone.
class caller_response
{
public:
    /// Responds over `stream`, at the latest at `until`. `close` tells the caller that
    /// the connection ends after this response.
    caller_response(tcp_stream& stream, time_point until, bool close)
        : stream_(stream), until_(until), close_(close)
    {
    }

    /// Sends a backend server's whole answer unchanged.
    void send_whole(const message_head& head, std::string_view body);
    /// Sends whole events; the first ones go with `head`.
    void send_events(const message_head& head, std::string_view events);
    /// Ends a response that was sent in events.
    void finish_events(const message_head& head);
    /// Sends an answer of the gateway's own. `retry_after` says when to come back.
    void send_own(int status, std::string_view reason,
                  std::optional<milliseconds> retry_after = {});

    /// Returns whether part of a response was sent.
    [[nodiscard]] bool begun() const { return begun_; }
    /// Returns whether the connection must be closed after this response.
    [[nodiscard]] bool closes() const { return close_; }

private:
    [[nodiscard]] std::string status_line(int status) const;
    void add_fields(std::string& out, const message_head& head) const;
    [[nodiscard]] std::string event_head(const message_head& head);

    tcp_stream& stream_;
    time_point until_;
    bool close_;
    bool begun_ = false;
};

} // namespace pistachiopost
