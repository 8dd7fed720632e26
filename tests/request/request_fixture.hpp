/// \file
/// Sample requests and test doubles for the tests of the request layer.
#pragma once

#include "request/claim.hpp"
#include "request/serve_attempts.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pistachiopost::testing {

/// Fixed current time for functions that take the time as an argument.
inline const time_point start{std::chrono::hours{1}};

/// Returns a repeatable completion request whose deadline is in `left`.
inline request make_prompt_request(milliseconds left = milliseconds{10'000})
{
    return request_builder("vm-boot-1")
        .customer("optique", 1)
        .completion("lens-model", "/v1/completions", nullptr, 1'000, "note", 3)
        .deadline(start + left)
        .build();
}

/// Returns a call that may run at most once.
inline request make_notice_request(std::string_view key,
                                   std::string_view id = "vm-boot-1")
{
    return request_builder(id)
        .customer("agency", 1)
        .service("rope-registry", "POST", "/notices",
                 std::make_shared<const std::string>("rope 7"))
        .repeatable(false)
        .idempotency_key(key)
        .deadline(start + milliseconds{10'000})
        .build();
}

/// Returns the events of a complete answer in three chunks, from chunk `from` on.
inline std::vector<attempt_event> complete_answer(std::uint64_t from = 0)
{
    std::vector<attempt_event> events{attempt_started{}};
    for (auto i = from; i < 3; ++i)
    {
        events.push_back(answer_chunk{i, 1, std::string(1, static_cast<char>('a' + i))});
    }
    events.push_back(answer_end{3, 200, "text/plain"});
    return events;
}

/// Returns the event of a failed attempt.
inline attempt_event failure(refusal_reason reason, run_state state)
{
    return attempt_failed{{reason, state, "for the test", milliseconds{0}}};
}

/// Router whose attempts yield scripted events.
class scripted_router
{
public:
    struct attempt
    {
    };

    choice_result choose(const request& /*req*/, std::span<const std::string> tried,
                         time_point /*now*/)
    {
        for (const auto& vm : vms)
        {
            if (std::find(tried.begin(), tried.end(), vm) == tried.end())
            {
                return chosen_backend{vm, isolated};
            }
        }
        return refusal{refusal_reason::no_backend, run_state::not_run, "",
                       milliseconds{0}};
    }

    attempt start(const chosen_backend& chosen, attempt_order order,
                  const std::shared_ptr<const std::string>& /*body*/,
                  const std::shared_ptr<event_queue>& events)
    {
        used.push_back(chosen.vm);
        orders.push_back(std::move(order));
        if (!script.empty())
        {
            for (auto& event : script.front())
            {
                events->push(std::move(event));
            }
            script.pop_front();
        }
        return {};
    }

    void note_result(const chosen_backend& /*chosen*/, const request& /*req*/,
                     const std::optional<refusal>& why, time_point /*now*/)
    {
        failures += why ? 1 : 0;
    }

    std::vector<std::string> vms{"a", "b", "c", "d", "e", "f"};
    bool isolated = false;
    std::deque<std::vector<attempt_event>> script;
    std::vector<std::string> used;
    std::vector<attempt_order> orders;
    int failures = 0;
};

/// Caller that records the answer. Its clock advances only when a wait times out.
class recording_caller
{
public:
    time_point now() const { return now_; }
    wait_result wait(event_queue& events, time_point until)
    {
        if (gone)
        {
            return {std::nullopt, true};
        }
        auto event = events.try_pop();
        if (!event)
        {
            now_ = until;
        }
        return {std::move(event), false};
    }
    bool deliver(const answer_chunk& chunk)
    {
        text += chunk.bytes;
        return !gone_after_first;
    }
    bool pause(time_point until)
    {
        now_ = until;
        return gone;
    }
    double jitter() const { return 0.5; }

    std::string text;
    bool gone = false;
    bool gone_after_first = false;

private:
    time_point now_ = start;
};

/// Budget with a fixed number of retries.
struct counted_budget
{
    bool try_spend(time_point /*now*/) { return left > 0 && left-- > 0; }
    int left = 10;
};

/// In-memory claim table that can be unavailable or lose its answers.
class memory_table
{
public:
    std::vector<std::size_t> commit(std::span<const claim_write> writes)
    {
        ++commits;
        if (down)
        {
            throw table_error("down");
        }
        std::vector<std::size_t> failed;
        for (std::size_t i = 0; i < writes.size(); ++i)
        {
            const auto found = locate(writes[i].record);
            const bool holds =
                writes[i].action == claim_action::insert
                    ? found == rows.end()
                    : found != rows.end() && found->claim_id == writes[i].record.claim_id;
            if (!holds)
            {
                failed.push_back(i);
            }
        }
        if (failed.empty())
        {
            for (const auto& it : writes)
            {
                store(it);
            }
        }
        if (lose_answers > 0)
        {
            --lose_answers;
            throw table_error("answer lost");
        }
        return failed;
    }

    std::optional<claim_record> find(const claim_record& wanted)
    {
        if (down)
        {
            throw table_error("down");
        }
        const auto it = locate(wanted);
        return it == rows.end() ? std::nullopt : std::optional(*it);
    }

    std::vector<claim_record> rows;
    bool down = false;
    int lose_answers = 0;
    int commits = 0;

private:
    std::vector<claim_record>::iterator locate(const claim_record& wanted)
    {
        return std::find_if(rows.begin(), rows.end(), [&](const claim_record& it) {
            return it.customer == wanted.customer && it.key == wanted.key;
        });
    }

    void store(const claim_write& write)
    {
        if (const auto it = locate(write.record); it != rows.end())
        {
            rows.erase(it);
        }
        if (write.action != claim_action::remove)
        {
            rows.push_back(write.record);
        }
    }
};

/// Applies claims synchronously, on the calling thread.
struct direct_claim_writer
{
    claim_result apply(const claim_write& write, time_point /*until*/)
    {
        return apply_claims(table, std::span(&write, 1)).front();
    }
    void apply_later(const claim_write& write) { later.push_back(write); }

    memory_table& table;
    std::vector<claim_write> later;
};

} // namespace pistachiopost::testing
