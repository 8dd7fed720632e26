/// \file
/// Chooses backend servers for an entry's requests and sends attempts to them.
#pragma once

#include "process/agent_links.hpp"
#include "process/backend_choice.hpp"
#include "process/backend_directory.hpp"
#include "process/crash_registry.hpp"
#include "process/group_choice.hpp"
#include "process/prefix_affinity.hpp"
#include "request/serve_attempts.hpp"

#include <algorithm>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <utility>
#include <variant>

namespace pistachiopost {

/// An attempt in progress. The destructor cancels it unless it has ended.
class sent_attempt
{
public:
    sent_attempt(std::shared_ptr<agent_link> link, std::shared_ptr<event_queue> events)
        : link_(std::move(link)), events_(std::move(events))
    {
    }
    sent_attempt(sent_attempt&&) noexcept = default;
    sent_attempt& operator=(sent_attempt&&) noexcept = default;
    sent_attempt(const sent_attempt&) = delete;
    sent_attempt& operator=(const sent_attempt&) = delete;
    ~sent_attempt()
    {
        if (link_)
        {
            link_->cancel(events_);
        }
    }

private:
    std::shared_ptr<agent_link> link_;
    std::shared_ptr<event_queue> events_;
};

/// Routes attempts to backend servers; models attempt_router.
template <backend_choice Choice>
class entry_router
{
public:
    using attempt = sent_attempt;

    entry_router(backend_directory& directory, agent_links& links,
                 crash_registry& crashes)
        : directory_(directory), links_(links), crashes_(crashes),
          random_(std::random_device{}())
    {
    }

    /// Returns the backend server for the next attempt, or a refusal.
    choice_result choose(const request& req, std::span<const std::string> tried,
                         time_point now)
    {
        const auto status = crashes_.status(req.fingerprint, now);
        if (status == crash_status::confirmed)
        {
            return refusal{refusal_reason::poisonous, run_state::not_run,
                           "this request crashed two backend servers; change it",
                           milliseconds{0}};
        }
        const auto list = directory_.candidates(req, tried, now);
        if (list.empty())
        {
            return refusal{refusal_reason::no_backend, run_state::not_run,
                           "no backend server for " + req.target + " is available",
                           seconds{1}};
        }
        const auto cached_vm = affinity_.find(req.prefix_hash);
        const auto& best = choice_.choose(list, cached_vm, next_random(),
                                          is_long(classify(req.prompt_tokens)));
        if (auto why = refuse_if_all_late(list, req, now))
        {
            return std::move(*why);
        }
        const bool suspect = status == crash_status::suspected;
        if (req.kind == work_kind::completion && needed_memory(req) > best.memory_tokens)
        {
            return choose_group(req, list, suspect);
        }
        return chosen_backend{best.vm, suspect, {}};
    }

    /// Starts an attempt on the chosen backend server.
    attempt start(const chosen_backend& chosen, attempt_order order,
                  std::shared_ptr<const std::string> body,
                  std::shared_ptr<event_queue> events)
    {
        auto link = links_.find(chosen.vm);
        if (!link)
        {
            events->push(
                attempt_failed{{refusal_reason::link_lost, run_state::not_run,
                                "the backend server has left", milliseconds{0}}});
            return {nullptr, std::move(events)};
        }
        link->submit(std::move(order), std::move(body), events);
        return {std::move(link), std::move(events)};
    }

    /// Updates server and crash state after an attempt; `why` is empty on success.
    void note_result(const chosen_backend& chosen, const request& req,
                     const std::optional<refusal>& why, time_point now)
    {
        if (!why)
        {
            directory_.count_success(chosen.vm);
            affinity_.remember(req.prefix_hash, chosen.vm);
            if (chosen.isolated)
            {
                crashes_.clear(req.fingerprint);
            }
            return;
        }
        const bool failed = why->reason == refusal_reason::backend_failed ||
                            why->reason == refusal_reason::backend_crashed ||
                            why->reason == refusal_reason::link_lost;
        if (failed)
        {
            directory_.count_failure(chosen.vm, now);
        }
        if (why->reason == refusal_reason::backend_crashed)
        {
            links_.add_crash_record({req.fingerprint, false});
        }
    }

private:
    /// Returns a refusal if even the shortest expected wait exceeds the deadline, before
    /// any body is sent.
    static std::optional<refusal> refuse_if_all_late(std::span<const candidate> list,
                                                     const request& req, time_point now)
    {
        const auto least = std::min_element(list.begin(), list.end(),
                                            [](const candidate& a, const candidate& b) {
                                                return a.expected_wait < b.expected_wait;
                                            });
        const auto left = ceil_milliseconds(req.deadline - now);
        if (least->expected_wait < left)
        {
            return std::nullopt;
        }
        return refusal{refusal_reason::deadline_too_short, run_state::not_run,
                       "every backend server is busy past the deadline; retry later",
                       std::max(least->expected_wait - left, milliseconds{100})};
    }

    std::uint64_t next_random()
    {
        const std::lock_guard lock(mutex_);
        return random_();
    }

    backend_directory& directory_;
    agent_links& links_;
    crash_registry& crashes_;
    prefix_affinity affinity_;
    Choice choice_;
    std::mutex mutex_;
    std::mt19937_64 random_;
};

} // namespace pistachiopost
