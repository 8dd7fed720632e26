/// \file
/// State shared by the tasks of one agent process.
#pragma once

#include "process/crash_registry.hpp"
#include "process/load_report.hpp"
#include "process/work_queue.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Called with each new crash record; must be thread-safe.
using crash_listener = std::function<void(const crash_record&)>;

/// The queue, drain and health state, and crash registry of one agent.
template <queue_discipline Discipline>
class agent_state
{
public:
    agent_state(std::string_view boot, std::string_view target,
                const dispatch_limits& limits, std::int64_t max_body_bytes)
        : queue(limits), boot_(boot), target_(target), max_body_bytes_(max_body_bytes)
    {
    }

    /// Returns a refusal if the attempt cannot be admitted. Called when the order's
    /// headers arrive, before its body is read.
    std::optional<refusal> check_admission(const attempt_order& order,
                                           time_point now) const
    {
        if (draining_)
        {
            return refusal{refusal_reason::draining, run_state::not_run,
                           "this backend server is leaving; use another",
                           milliseconds{0}};
        }
        if (!healthy_)
        {
            return refusal{refusal_reason::no_backend, run_state::not_run,
                           "the backend server does not answer its agent", seconds{1}};
        }
        if (order.target != target_)
        {
            return refusal{refusal_reason::not_found, run_state::not_run,
                           "this backend server serves " + target_, milliseconds{0}};
        }
        if (auto why = check_crash_status(order, now))
        {
            return why;
        }
        if (body_bytes_ > max_body_bytes_)
        {
            return refusal{refusal_reason::queue_full, run_state::not_run,
                           "the agent holds too many unread bodies; retry later",
                           seconds{1}};
        }
        return queue.check_admission(make_ticket(0, order, now), now);
    }

    /// Returns the load report for entries.
    load_report report(time_point now)
    {
        load_report it;
        it.boot = boot_;
        it.draining = draining_;
        it.healthy = healthy_;
        queue.visit([&it, now](const auto& discipline) {
            fill_load_report(it, discipline, now);
        });
        return it;
    }

    /// Adds a crash record and notifies the listeners if it was new.
    void add_crash_record(const crash_record& record, time_point now)
    {
        if (!crashes.add(record, now))
        {
            return;
        }
        const std::lock_guard lock(mutex_);
        for (const auto& [id, listener] : listeners_)
        {
            listener(record);
        }
    }

    /// Registers a listener for crash records; returns its identifier.
    std::uint64_t add_crash_listener(crash_listener listener)
    {
        const std::lock_guard lock(mutex_);
        listeners_.emplace(++next_listener_, std::move(listener));
        return next_listener_;
    }

    void remove_crash_listener(std::uint64_t id)
    {
        const std::lock_guard lock(mutex_);
        listeners_.erase(id);
    }

    /// Refuses all new attempts from now on.
    void start_draining() { draining_ = true; }
    /// Records whether the backend server responds.
    void set_healthy(bool healthy) { healthy_ = healthy; }
    /// Adds `change` to the bytes of request bodies held in memory.
    void count_body_bytes(std::int64_t change) { body_bytes_ += change; }
    /// Returns a new ticket identifier.
    ticket_id next_ticket() { return ++last_ticket_; }
    /// Returns the identifier of this process start.
    [[nodiscard]] const std::string& boot() const { return boot_; }

    work_queue<Discipline> queue;
    crash_registry crashes;

private:
    static void fill_load_report(load_report& it, const Discipline& discipline,
                                 time_point now)
    {
        const auto& window = discipline.window();
        it.running = window.running();
        it.queued = static_cast<std::uint32_t>(discipline.queued());
        it.memory_used = window.memory_used();
        it.memory_total = window.limits().memory_tokens;
        it.prefill_rate = window.prefill_rate();
        for (std::size_t class_index = 0; class_index < length_class_count; ++class_index)
        {
            const auto ahead = discipline.ahead_of_new_customer(
                static_cast<length_class>(class_index), now);
            it.backlog[class_index] = ahead.prefill_tokens;
        }
    }

    std::optional<refusal> check_crash_status(const attempt_order& order,
                                              time_point now) const
    {
        const auto status = crashes.status(order.fingerprint, now);
        if (status == crash_status::confirmed)
        {
            return refusal{refusal_reason::poisonous, run_state::not_run,
                           "this request crashed two backend servers; change it",
                           milliseconds{0}};
        }
        if (status == crash_status::suspected && !order.isolated)
        {
            return refusal{refusal_reason::queue_full, run_state::not_run,
                           "this request is being tested in isolation; retry later",
                           milliseconds{200}};
        }
        return std::nullopt;
    }

    std::string boot_;
    std::string target_;
    std::int64_t max_body_bytes_;
    std::atomic<bool> draining_{false};
    std::atomic<bool> healthy_{true};
    std::atomic<std::int64_t> body_bytes_{0};
    std::atomic<ticket_id> last_ticket_{0};
    std::mutex mutex_;
    std::map<std::uint64_t, crash_listener> listeners_;
    std::uint64_t next_listener_ = 0;
};

} // namespace pistachiopost
