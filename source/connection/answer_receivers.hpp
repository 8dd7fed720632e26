/// \file
/// The two ways an answer reaches a caller: streamed as server-sent events, or
/// whole.
#pragma once

#include "connection/http_connection.hpp"
#include "request/serve_attempts.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

/// What both ways share: waiting on the caller's connection.
class waiting_receiver
{
public:
    explicit waiting_receiver(http_connection& connection) : connection_(connection) {}

    /// Returns the present time.
    time_point now() const { return steady::now(); }
    /// Waits for an event of an attempt or for the caller to leave.
    wait_result wait(event_queue& events, time_point until);
    /// Waits until `until`; returns whether the caller left.
    bool pause(time_point until);
    /// Returns a random number in [0, 1).
    double jitter();
    /// Returns when the first piece of the answer was delivered, if any was.
    [[nodiscard]] std::optional<time_point> first_piece() const { return first_piece_; }

protected:
    void note_piece();
    http_connection& connection_;

private:
    std::optional<time_point> first_piece_;
};

/// Names used in the events of a streamed answer.
struct stream_labels
{
    std::string id;
    std::string model;
    bool chat = false;
};

/// Streams an answer as it arrives.
class stream_receiver : public waiting_receiver
{
public:
    stream_receiver(http_connection& connection, stream_labels labels);

    /// Sends one event with the text of `chunk`.
    bool deliver(const answer_chunk& chunk);
    /// Sends the last event and the end mark.
    void finish(std::uint64_t total);
    /// Sends an error event and closes the connection without an end mark.
    void fail(std::string_view error_json);

private:
    bool send_event(std::string_view json);

    stream_labels labels_;
};

/// Collects an answer.
class whole_receiver : public waiting_receiver
{
public:
    using waiting_receiver::waiting_receiver;

    /// Adds the bytes of `chunk`.
    bool deliver(const answer_chunk& chunk);
    /// Returns everything collected.
    [[nodiscard]] const std::string& collected() const { return collected_; }

private:
    std::string collected_;
};

static_assert(answer_receiver<stream_receiver>);
static_assert(answer_receiver<whole_receiver>);

/// Returns the JSON of a whole completion.
std::string completion_json(const stream_labels& labels, std::string_view text,
                            std::uint64_t prompt_tokens, std::uint64_t output_tokens);

} // namespace pistachiopost
