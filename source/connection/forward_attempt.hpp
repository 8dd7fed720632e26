/// \file
/// One attempt: sends a request to one backend server over a dedicated connection.
#pragma once

#include "connection/attempt_result.hpp"
#include "connection/http_reader.hpp"
#include "connection/memory_lease.hpp"
#include "process/backend_notice.hpp"
#include "request/forward_options.hpp"

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <utility>

namespace pistachiopost {

/// Observes an attempt and decides whether it goes on while its backend server is silent.
template <typename Observer>
concept attempt_observer = requires(Observer it, time_point now)
{
    it.first_event();
    // Returns whether the request may be sent now that the connection is open.
    {
        it.may_send()
        } -> std::same_as<bool>;
    // Returns whether another backend server takes over.
    {
        it.take_over(now)
        } -> std::same_as<bool>;
};

/// Runs one attempt on the calling task. `Codec` encodes and decodes message heads.
template <typename Codec, attempt_observer Observer>
class forward_attempt
{
public:
    forward_attempt(exchange& it, const attempt_timeouts& timeouts,
                    const answer_limits& limits, memory_lease<Codec>& memory,
                    Observer& observer)
        : exchange_(it), timeouts_(timeouts), limits_(limits),
          held_bytes_(limits.all_answers), memory_(memory), observer_(observer),
          resumes_(it.response.begun())
    {
    }

    attempt_result run(const backend_record& backend, const forward_options& terms)
    {
        std::optional<tcp_stream> stream;
        try
        {
            const auto left = ceil_milliseconds(exchange_.until - steady::now());
            const auto limit = std::min(left, timeouts_.connect);
            stream.emplace(connect_tcp(
                backend.address,
                static_cast<int>(std::max(limit.count(), milliseconds::rep{1}))));
            if (!memory_.empty())
            {
                stream->set_peer_timeout(lost_peer_timeout);
            }
        }
        catch (const connection_error& it)
        {
            return finish(attempt_end::not_run, it.what());
        }
        if (!observer_.may_send())
        {
            result_.withdrawn = true;
            return finish(attempt_end::not_run, "the placement was withdrawn");
        }
        try
        {
            stream->send_until_response(
                Codec::encode_forward(exchange_.received.head, terms,
                                      exchange_.received.body.size()) +
                    exchange_.received.body,
                exchange_.until);
            return read_answer(*stream);
        }
        catch (const caller_disconnected& it)
        {
            return finish(attempt_end::caller_gone, it.what());
        }
        catch (const protocol_error& it)
        {
            return finish(attempt_end::unknown, it.what());
        }
        catch (const connection_error& it)
        {
            if (steady::now() >= exchange_.until) // sending has timed out
            {
                return finish(attempt_end::out_of_time, it.what());
            }
            result_.broken_off = true;
            return finish(attempt_end::unknown, it.what());
        }
    }

private:
    // An engine that lost power or its link is silent like one that prefills for long.
    // The memory that others hold for the attempt must be free 4 s later; two probes in a
    // row may be lost.
    static constexpr milliseconds lost_peer_timeout{3'000};
    // Bytes without an event after which a backend server is faulty, not only slow.
    static constexpr std::size_t max_bytes_without_event = 16'384;
    // Interval of looking for another backend server while one is silent.
    static constexpr milliseconds take_over_interval{250};
    // Interval of looking at the caller's connection while an answer arrives.
    static constexpr milliseconds caller_check_interval{50};

    /// Thrown when writing to the caller's connection fails.
    class caller_disconnected : public connection_error
    {
    public:
        using connection_error::connection_error;
    };

    attempt_result finish(attempt_end end, std::string_view fault)
    {
        result_.end = end;
        result_.fault = fault;
        return std::move(result_);
    }

    attempt_result read_answer(tcp_stream& stream)
    {
        response_reader answer(exchange_.received.head.method);
        int caller = exchange_.caller.fd();
        int ending = exchange_.ending_fd;
        auto event_deadline = steady::now() + timeouts_.first_event;
        auto renew_at = memory_.empty()
                            ? time_point::max()
                            : steady::now() + memory_lease<Codec>::renewal_interval;
        auto caller_checked_at = steady::now();
        last_bytes_at_ = caller_checked_at;
        for (;;)
        {
            const auto until = std::min({event_deadline, exchange_.until, renew_at});
            const auto woken = wait_readable(stream.fd(), caller, ending, until);
            // A backend server that always has bytes ready ends neither the deadlines nor
            // the attention to the caller.
            if (woken == wake_cause::first)
            {
                const auto now = steady::now();
                if (now >= exchange_.until ||
                    (now >= event_deadline && gives_up(event_deadline, now)))
                {
                    return on_timeout(now);
                }
                if (now - caller_checked_at >= caller_check_interval)
                {
                    caller_checked_at = now;
                    if (peer_closed(exchange_.caller.fd()))
                    {
                        return finish(attempt_end::caller_gone,
                                      "the caller closed the connection");
                    }
                }
            }
            if (const auto now = steady::now(); now >= renew_at)
            {
                memory_.renew();
                renew_at = now + memory_lease<Codec>::renewal_interval;
                if (woken == wake_cause::timeout &&
                    now < std::min(event_deadline, exchange_.until))
                {
                    continue;
                }
            }
            if (woken == wake_cause::second)
            {
                if (peer_closed(caller))
                {
                    return finish(attempt_end::caller_gone,
                                  "the caller closed the connection");
                }
                caller = -1; // a pipelined request is waiting; it is read after this one
                continue;
            }
            if (woken == wake_cause::third)
            {
                if (!exchange_.response.begun())
                {
                    return finish(attempt_end::out_of_time, "the gateway stops");
                }
                ending = -1; // what has begun cannot be replaced by an error response
                continue;
            }
            if (woken == wake_cause::timeout)
            {
                const auto now = steady::now();
                if (now >= exchange_.until || gives_up(event_deadline, now))
                {
                    return on_timeout(now);
                }
                continue;
            }
            const auto buffered = stream.buffered().size();
            const bool open = stream.receive();
            bytes_without_event_ += stream.buffered().size() - buffered;
            last_bytes_at_ = steady::now();
            answer.parse(stream);
            if (answer.has_head() && !has_head_)
            {
                has_head_ = true;
                result_.status = answer.head().status;
                result_.kind = Codec::decode_answer(answer.head(), exchange_.request.id);
                handle_notice(answer.head());
                if (const auto early = early_end(answer.head()))
                {
                    return finish(*early, "the backend server refused the request");
                }
            }
            if (has_head_ && forward_body(answer))
            {
                event_deadline = steady::now() + timeouts_.event_gap;
                bytes_without_event_ = 0;
            }
            if (exceeds_limits())
            {
                result_.oversized = true;
                return finish(attempt_end::unknown,
                              "the answer exceeds the limit on bytes held in memory");
            }
            if (const bool framed = answer.done();
                framed || (!open && answer.end_of_stream()))
            {
                return complete(answer, framed);
            }
            if (!open)
            {
                result_.broken_off = true;
                return finish(
                    attempt_end::unknown,
                    "the backend server closed the connection before the answer "
                    "was complete");
            }
        }
    }

    /// Handles an event that is overdue: returns whether the attempt ends, else extends
    /// the deadline.
    bool gives_up(time_point& event_deadline, time_point now)
    {
        if (bytes_without_event_ > max_bytes_without_event || observer_.take_over(now))
        {
            return true;
        }
        event_deadline = now + take_over_interval;
        return false;
    }

    attempt_result on_timeout(time_point now)
    {
        result_.silence = ceil_milliseconds(now - last_bytes_at_);
        if (now >= exchange_.until)
        {
            return finish(attempt_end::out_of_time, "the deadline of the request passed");
        }
        result_.silent = true;
        return finish(attempt_end::unknown, "timed out waiting for the backend server");
    }

    /// Returns whether an answer with this head cannot continue the stream that another
    /// backend server began.
    [[nodiscard]] bool differs_from_stream(const message_head& head) const
    {
        constexpr std::string_view media_type = "Content-Type";
        return exchange_.response.begun() &&
               !same_header_name(head.value(media_type),
                                 exchange_.stream_head.value(media_type));
    }

    /// A stream may run for long after its head, so the announcement is not left to the
    /// result.
    void handle_notice(const message_head& head)
    {
        const auto notice = Codec::decode_notice(head, exchange_.request.id);
        result_.backoff = notice.backoff.count() > 0;
        if (!notice.empty())
        {
            observer_.notice(notice, steady::now());
        }
    }

    /// Returns the end of the attempt if the head of the answer already determines it.
    std::optional<attempt_end> early_end(const message_head& head)
    {
        switch (result_.kind)
        {
        case answer_kind::not_run:
        case answer_kind::misdirected:
            result_.blamed = Codec::decode_faulty_backend(head);
            return attempt_end::not_run;
        case answer_kind::mismatched:
        case answer_kind::untrusted:
            return attempt_end::unknown;
        case answer_kind::success:
            if (differs_from_stream(head))
            {
                return attempt_end::unknown;
            }
            break;
        case answer_kind::failure:
            break;
        }
        return std::nullopt;
    }

    [[nodiscard]] bool is_stream() const
    {
        return result_.kind == answer_kind::success &&
               exchange_.matched_route.kind == call_kind::stream;
    }

    /// Buffers or forwards received body bytes; returns whether events with data were
    /// forwarded. Others do not extend the time for the next one.
    bool forward_body(response_reader& answer)
    {
        if (!is_stream())
        {
            result_.body += answer.take_body();
            return false;
        }
        exchange_.events.feed(answer.take_body());
        if (resumes_ && exchange_.events.repeats_events())
        {
            exchange_.events.discard_partial();
            throw protocol_error("the resumed stream repeats events");
        }
        const auto events = exchange_.events.take_complete_events();
        if (events.empty())
        {
            return false;
        }
        const bool has_data = event_splitter::carries_data(events);
        if (has_data)
        {
            record_event(steady::now());
        }
        if (!exchange_.response.begun())
        {
            exchange_.stream_head = answer.head();
        }
        write_to_caller(
            [&] { exchange_.response.send_events(exchange_.stream_head, events); });
        return has_data;
    }

    /// Returns whether the answer must not grow further.
    bool exceeds_limits()
    {
        const auto body = result_.body.size();
        const auto event = exchange_.events.partial_bytes();
        return body > limits_.body_bytes || event > limits_.event_bytes ||
               !held_bytes_.resize(body + event);
    }

    void record_event(time_point now)
    {
        if (!result_.first_event)
        {
            result_.first_event = now;
            observer_.first_event();
        }
        else
        {
            const auto pause = ceil_milliseconds(now - last_event_);
            result_.longest_pause = std::max(result_.longest_pause, pause);
        }
        last_event_ = now;
    }

    template <typename Write>
    void write_to_caller(const Write& write)
    {
        try
        {
            write();
        }
        catch (const connection_error& it)
        {
            throw caller_disconnected(it.what());
        }
    }

    /// Handles the end of the answer. Without framing it is the close of the connection,
    /// which a crash causes as well.
    attempt_result complete(response_reader& answer, bool framed)
    {
        if (!is_stream())
        {
            result_.head = answer.head();
            result_.end = attempt_end::answered;
            return std::move(result_);
        }
        if (exchange_.events.has_partial())
        {
            result_.broken_off = !framed;
            return finish(attempt_end::unknown,
                          "the stream ended in the middle of an event");
        }
        if (!framed && !exchange_.response.begun() && !exchange_.request.last_event_id)
        {
            result_.broken_off = true;
            return finish(attempt_end::unknown,
                          "the stream was closed before its first event");
        }
        if (!exchange_.response.begun())
        {
            exchange_.stream_head = answer.head();
        }
        write_to_caller([&] { exchange_.response.finish_stream(exchange_.stream_head); });
        result_.end = attempt_end::answered;
        return std::move(result_);
    }

    exchange& exchange_;
    attempt_timeouts timeouts_;
    answer_limits limits_;
    budgeted_bytes held_bytes_;
    memory_lease<Codec>& memory_;
    Observer& observer_;
    time_point last_event_;
    time_point last_bytes_at_;
    std::size_t bytes_without_event_ = 0;
    attempt_result result_;
    bool has_head_ = false;
    bool resumes_; ///< Whether another attempt has begun the caller's stream.
};

} // namespace pistachiopost
