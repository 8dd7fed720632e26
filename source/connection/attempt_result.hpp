/// \file
/// State and result of the attempts of one forwarded request.
#pragma once

#include "connection/caller_response.hpp"
#include "connection/event_splitter.hpp"
#include "connection/http_reader.hpp"
#include "process/byte_budget.hpp"
#include "request/forwarded_request.hpp"
#include "version/route_table.hpp"

#include <optional>
#include <string>

namespace pistachiopost {

/// How an attempt ended.
enum class attempt_end
{
    answered,    ///< The answer is complete; a stream was forwarded to its end.
    not_run,     ///< The request was certainly not run.
    unknown,     ///< The request may have run; the answer is incomplete.
    caller_gone, ///< The caller disconnected.
    out_of_time  ///< The deadline of the request passed.
};

/// Result of an attempt.
struct attempt_result
{
    attempt_end end = attempt_end::unknown;
    answer_kind kind = answer_kind::untrusted;
    message_head head;       ///< Of an answer that was not streamed.
    std::string body;        ///< Likewise.
    std::string fault;       ///< Reason for the failure, for the log.
    std::string blamed;      ///< Address of the failed backend, if not the one called.
    int status = 0;          ///< Status of the answer, 0 if no head was received.
    bool silent = false;     ///< The backend server stopped sending.
    milliseconds silence{0}; ///< Time without received bytes at the end of the attempt.
    bool oversized = false;  ///< The answer exceeded a limit on its bytes.
    bool broken_off = false; ///< The backend server closed or reset the connection.
    bool withdrawn = false;  ///< Not sent, for a reason outside the backend server.
    bool backoff = false;    ///< The backend server may be tried again after some time.
    std::optional<time_point> first_event;
    milliseconds longest_pause{0}; ///< Longest gap between events.

    /// Returns whether part of the answer itself has arrived.
    [[nodiscard]] bool delivered() const { return first_event || !body.empty(); }
};

/// State that lives as long as the request and is shared by all its attempts.
struct exchange
{
    const received_request& received;
    const forwarded_request& request;
    const route& matched_route;
    tcp_stream& caller;
    caller_response& response;
    event_splitter events;
    message_head stream_head; ///< From the backend server that began the stream.
    time_point until;         ///< Deadline for the final answer.
    int ending_fd = -1;       ///< Readable once a caller can only just be answered.
};

/// Timeouts of an attempt.
struct attempt_timeouts
{
    milliseconds connect;     ///< For establishing the connection.
    milliseconds first_event; ///< Until the first event of the answer.
    milliseconds event_gap;   ///< Between events.
};

/// Limits on the bytes of an answer that are held in memory.
struct answer_limits
{
    std::uint64_t body_bytes;  ///< A complete answer to a plain call.
    std::uint64_t event_bytes; ///< One event of a stream.
    byte_budget& all_answers;  ///< Held by all requests together.
};

} // namespace pistachiopost
