/// \file
/// Serves a call that may run at most once: claims its idempotency key, runs it and
/// stores the answer under the key.
#pragma once

#include "request/claim.hpp"
#include "request/serve_attempts.hpp"

#include <concepts>
#include <string>
#include <utility>

namespace pistachiopost {

/// Writes claims; see claim_batcher.
template <typename Writer>
concept claim_writer = requires(Writer& it, claim_write write, time_point until)
{
    {
        it.apply(write, until)
        } -> std::same_as<claim_result>;
    it.apply_later(write);
};

/// Forwards to another receiver and records the answer.
template <answer_receiver Caller>
class recording_receiver
{
public:
    explicit recording_receiver(Caller& caller) : caller_(caller) {}

    time_point now() { return caller_.now(); }
    wait_result wait(event_queue& events, time_point until)
    {
        return caller_.wait(events, until);
    }
    bool pause(time_point until) { return caller_.pause(until); }
    double jitter() { return caller_.jitter(); }
    bool deliver(const answer_chunk& chunk)
    {
        recorded_ += chunk.bytes;
        return caller_.deliver(chunk);
    }
    /// Returns the recorded answer and clears it.
    std::string take() { return std::move(recorded_); }

private:
    Caller& caller_;
    std::string recorded_;
};

/// Timeout for writing a claim or an answer to the table service.
inline constexpr milliseconds claim_timeout{2'000};

/// Largest answer that is stored for repeats of a call, in bytes.
inline constexpr std::size_t max_stored_answer = 65'536;

namespace detail {

inline claim_record make_claim(const request& req)
{
    claim_record it;
    it.customer = req.customer;
    it.key = req.idempotency_key;
    it.claim_id = req.id;
    it.fingerprint = req.fingerprint;
    return it;
}

inline claim_record make_final_record(claim_record it, const serve_result& result,
                                      std::string answer)
{
    const bool storable = result.end && answer.size() <= max_stored_answer;
    it.state = storable ? claim_state::done : claim_state::unknown;
    if (storable)
    {
        it.status = result.end->status;
        it.content_type = result.end->content_type;
        it.body = std::move(answer);
    }
    return it;
}

template <answer_receiver Caller>
serve_result replay_stored_answer(const claim_record& stored, Caller& caller)
{
    serve_result result;
    const auto size = stored.body.size();
    if (!caller.deliver({0, size, stored.body}))
    {
        result.cause = caller_gone(true);
        return result;
    }
    result.delivered = size;
    result.end = answer_end{size, stored.status, stored.content_type};
    return result;
}

} // namespace detail

/// Runs `req` at most once across all entries. Its idempotency key must be set.
template <attempt_router Router, answer_receiver Caller, retry_budget_like Budget,
          claim_writer Writer>
serve_result serve_claimed(const request& req, Router& router, Caller& caller,
                           Budget& budget, const retry_limits& limits, Writer& writer)
{
    const auto claim = detail::make_claim(req);
    const auto until = std::min(req.deadline, caller.now() + claim_timeout);
    const auto claimed = writer.apply({claim_action::insert, claim}, until);
    if (claimed.outcome == write_outcome::rejected)
    {
        const bool repeat = claimed.found->state == claim_state::done &&
                            claimed.found->fingerprint == claim.fingerprint;
        if (repeat)
        {
            return detail::replay_stored_answer(*claimed.found, caller);
        }
        return {.end = {}, .cause = conflict_refusal(claim, *claimed.found)};
    }
    if (claimed.outcome == write_outcome::unavailable)
    {
        return {.end = {},
                .cause = {refusal_reason::store_unavailable, run_state::not_run,
                          "the table service does not answer, so this call was not run; "
                          "repeat it with the same key",
                          seconds{1}}};
    }
    recording_receiver recorder(caller);
    auto result = serve_attempts(req, router, recorder, budget, limits);
    if (!result.end && result.cause.state == run_state::not_run)
    {
        writer.apply_later({claim_action::remove, claim});
        return result;
    }
    auto final_record = detail::make_final_record(claim, result, recorder.take());
    const auto stored =
        writer.apply({claim_action::replace, final_record}, caller.now() + claim_timeout);
    if (stored.outcome == write_outcome::unavailable)
    {
        writer.apply_later({claim_action::replace, std::move(final_record)});
    }
    return result;
}

} // namespace pistachiopost
