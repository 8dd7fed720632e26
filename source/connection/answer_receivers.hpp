/// \file
/// Receivers that deliver an answer to a caller, either as a stream of server-sent
/// events or as one complete body.
#pragma once

#include "connection/http_connection.hpp"
#include "request/serve_attempts.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

/// Common base of the receivers: waits while monitoring the caller's connection.
class receiver_base
{
public:
    explicit receiver_base(http_connection& connection) : connection_(connection) {}

    time_point now() const { return steady::now(); }
    /// Waits for an event of an attempt or for the caller to disconnect.
    wait_result wait(event_queue& events, time_point until);
    /// Waits until `until`; returns true if the caller disconnected.
    bool pause(time_point until);
    /// Returns a random number in [0, 1).
    double jitter();
    /// Returns when the first chunk of the answer was delivered, if any was.
    [[nodiscard]] std::optional<time_point> first_chunk_at() const
    {
        return first_chunk_at_;
    }

protected:
    void record_first_chunk();
    http_connection& connection_;

private:
    std::optional<time_point> first_chunk_at_;
};

/// Identifier, model name and format of a completion response.
struct stream_labels
{
    std::string id;
    std::string model;
    bool chat = false;
};

/// Streams an answer as server-sent events.
class stream_receiver : public receiver_base
{
public:
    stream_receiver(http_connection& connection, stream_labels labels);

    /// Sends one event with the text of `chunk`; returns false if the caller has
    /// disconnected.
    bool deliver(const answer_chunk& chunk);
    /// Sends the last event, with the token count, and the `[DONE]` marker.
    void finish(std::uint64_t total);
    /// Sends an error event and closes the connection without `[DONE]`.
    void fail(std::string_view error_json);

private:
    bool send_event(std::string_view json);

    stream_labels labels_;
};

/// Buffers an answer until it is complete.
class buffered_receiver : public receiver_base
{
public:
    using receiver_base::receiver_base;

    bool deliver(const answer_chunk& chunk);
    /// Returns the bytes received so far.
    [[nodiscard]] const std::string& collected() const { return collected_; }

private:
    std::string collected_;
};

static_assert(answer_receiver<stream_receiver>);
static_assert(answer_receiver<buffered_receiver>);

/// Returns the JSON body of a non-streamed completion response.
std::string completion_json(const stream_labels& labels, std::string_view text,
                            std::uint64_t prompt_tokens, std::uint64_t output_tokens);

} // namespace pistachiopost
