/// \file
/// Thread-safe job queue of one backend server.
#pragma once

#include "process/dispatch_window.hpp"
#include "process/load_report.hpp"
#include "process/queue_ticket.hpp"
#include "request/attempt_job.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pistachiopost {

/// Orders jobs by `Discipline` and passes them to the waiting workers.
template <queue_discipline Discipline>
class work_queue
{
public:
    explicit work_queue(const dispatch_limits& limits) : discipline_(limits) {}

    /// Returns a refusal if the attempt would not be queued.
    std::optional<refusal> check_admission(const queue_ticket& ticket,
                                           time_point now) const
    {
        const std::lock_guard lock(mutex_);
        return discipline_.check_admission(ticket, now);
    }

    /// Queues a job, or returns a refusal.
    std::optional<refusal> add(const std::shared_ptr<attempt_job>& job, time_point now)
    {
        const std::lock_guard lock(mutex_);
        const auto ticket = job->ticket();
        if (auto why = discipline_.check_admission(ticket, now))
        {
            return why;
        }
        discipline_.push(ticket, now);
        jobs_.emplace(job->id(), job);
        ready_.notify_one();
        return std::nullopt;
    }

    /// Waits for the next job that may start; returns null after stop(). Jobs that can
    /// no longer meet their deadline are refused here.
    template <typename Clock>
    std::shared_ptr<attempt_job> take(Clock&& clock)
    {
        std::unique_lock lock(mutex_);
        while (!stopped_)
        {
            const auto now = clock();
            refuse_expired(now);
            if (const auto id = discipline_.take(now))
            {
                ready_.notify_one(); // another job may fit too
                return jobs_.at(*id);
            }
            wait_for_change(lock, now);
        }
        return nullptr;
    }

    /// Records the first token of a running job.
    void on_first_token(const attempt_job& job, time_point now)
    {
        const std::lock_guard lock(mutex_);
        discipline_.on_first_token(job.id(), now);
        ready_.notify_one();
    }

    /// Records the end of a running job.
    void on_finished(const attempt_job& job, time_point now)
    {
        const std::lock_guard lock(mutex_);
        discipline_.on_finished(job.id(), now);
        jobs_.erase(job.id());
        ready_.notify_one();
        if (jobs_.empty())
        {
            empty_.notify_all();
        }
    }

    /// Cancels a waiting or running job.
    void cancel(ticket_id id)
    {
        std::shared_ptr<attempt_job> job;
        {
            const std::lock_guard lock(mutex_);
            const auto it = jobs_.find(id);
            if (it == jobs_.end())
            {
                return;
            }
            job = it->second;
            if (discipline_.erase(id))
            {
                jobs_.erase(it);
                empty_.notify_all();
            }
        }
        job->cancel();
    }

    /// Calls `visitor` with the discipline while holding the lock.
    template <typename Visitor>
    auto visit(Visitor&& visitor)
    {
        const std::lock_guard lock(mutex_);
        return visitor(discipline_);
    }

    /// Returns all waiting and running jobs.
    std::vector<std::shared_ptr<attempt_job>> jobs() const
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::shared_ptr<attempt_job>> all;
        for (const auto& [id, job] : jobs_)
        {
            all.push_back(job);
        }
        return all;
    }

    /// Waits until there are no jobs; returns false on timeout at `until`.
    bool wait_empty(time_point until)
    {
        std::unique_lock lock(mutex_);
        return empty_.wait_until(lock, until, [this] { return jobs_.empty(); });
    }

    /// Makes take() return null in all workers.
    void stop()
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        ready_.notify_all();
    }

private:
    void refuse_expired(time_point now)
    {
        for (const auto id : discipline_.expired(now))
        {
            const auto node = jobs_.extract(id);
            node.mapped()->send(attempt_failed{
                {refusal_reason::deadline_too_short, run_state::not_run,
                 "the request waited until it could no longer end in time"}});
        }
        if (jobs_.empty())
        {
            empty_.notify_all();
        }
    }

    void wait_for_change(std::unique_lock<std::mutex>& lock, time_point now)
    {
        if (const auto until = discipline_.next_expiry(now))
        {
            ready_.wait_until(lock, *until);
        }
        else
        {
            ready_.wait(lock);
        }
    }

    mutable std::mutex mutex_;
    std::condition_variable ready_;
    std::condition_variable empty_;
    Discipline discipline_;
    std::unordered_map<ticket_id, std::shared_ptr<attempt_job>> jobs_;
    bool stopped_ = false;
};

} // namespace pistachiopost
