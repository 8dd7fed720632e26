/// \file
/// Batches the claim writes of all requests of a process into table service
/// transactions.
#pragma once

#include "request/claim.hpp"
#include "request/time_types.hpp"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace pistachiopost {

/// Group commit of claim writes by a single task. Writes that arrive during a
/// transaction are batched into the next one.
template <claim_table Table>
class claim_batcher
{
public:
    explicit claim_batcher(Table& table) : table_(table) {}

    /// Applies one write and waits for the result until `until`. On timeout, an
    /// insert that is applied later is removed again.
    claim_result apply(claim_write write, time_point until)
    {
        const auto pending =
            std::make_shared<pending_write>(pending_write{std::move(write)});
        std::unique_lock lock(mutex_);
        if (stopped_)
        {
            return {};
        }
        pending_.push_back(pending);
        changed_.notify_all();
        if (!changed_.wait_until(lock, until, [&] { return pending->done; }))
        {
            pending->abandoned = true;
            return {};
        }
        remove_unowned_claim(*pending);
        return pending->result;
    }

    /// Queues one write without waiting and retries it while the table service is
    /// unavailable.
    void apply_later(claim_write write)
    {
        const std::lock_guard lock(mutex_);
        auto pending = std::make_shared<pending_write>(pending_write{std::move(write)});
        pending->retained = true;
        pending_.push_back(std::move(pending));
        changed_.notify_all();
    }

    /// Commits writes until stop(), then commits the remaining ones until the queue is
    /// empty or the table service is unavailable.
    void run()
    {
        std::unique_lock lock(mutex_);
        while (true)
        {
            changed_.wait(lock, [this] { return stopped_ || !pending_.empty(); });
            if (pending_.empty())
            {
                return;
            }
            const auto batch = next_batch();
            lock.unlock();
            const auto results = apply_batch(batch);
            lock.lock();
            const bool reachable = complete(batch, results);
            if (stopped_ && !reachable)
            {
                return;
            }
            if (!reachable)
            {
                changed_.wait_for(lock, retry_interval, [this] { return stopped_; });
            }
        }
    }

    /// Ends run().
    void stop()
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        changed_.notify_all();
    }

private:
    struct pending_write
    {
        claim_write write;
        claim_result result{};
        bool done = false;
        bool abandoned = false;
        bool retained = false;
    };
    using batch_type = std::vector<std::shared_ptr<pending_write>>;

    static constexpr std::size_t max_batch = 64;        // writes per transaction
    static constexpr std::size_t max_retained = 10'000; // writes, in an outage
    static constexpr milliseconds retry_interval{200};

    batch_type next_batch()
    {
        const auto n = std::min(pending_.size(), max_batch);
        const auto end = pending_.begin() + static_cast<std::ptrdiff_t>(n);
        batch_type batch(pending_.begin(), end);
        pending_.erase(pending_.begin(), end);
        return batch;
    }

    std::vector<claim_result> apply_batch(const batch_type& batch)
    {
        std::vector<claim_write> writes;
        writes.reserve(batch.size());
        for (const auto& it : batch)
        {
            writes.push_back(it->write);
        }
        return apply_claims(table_, writes);
    }

    /// Stores the results and wakes the waiting requests; returns whether the table
    /// service answered.
    bool complete(const batch_type& batch, const std::vector<claim_result>& results)
    {
        bool reachable = true;
        for (std::size_t i = 0; i < batch.size(); ++i)
        {
            auto& it = *batch[i];
            it.result = results[i];
            it.done = true;
            const bool unavailable = results[i].outcome == write_outcome::unavailable;
            reachable = reachable && !unavailable;
            if (it.abandoned)
            {
                remove_unowned_claim(it, true);
            }
            else if (it.retained && unavailable && pending_.size() < max_retained)
            {
                pending_.push_back(batch[i]);
            }
        }
        changed_.notify_all();
        return reachable;
    }

    /// Queues the removal of an insert with an unknown outcome, or of one that was
    /// applied after its request gave up.
    void remove_unowned_claim(const pending_write& it, bool abandoned = false)
    {
        const bool uncertain = it.result.outcome == write_outcome::unavailable;
        const bool applied = it.result.outcome == write_outcome::applied;
        if (it.write.action != claim_action::insert ||
            !(uncertain || (abandoned && applied)))
        {
            return;
        }
        auto removal = std::make_shared<pending_write>(
            pending_write{{claim_action::remove, it.write.record}});
        removal->retained = true;
        pending_.push_back(std::move(removal));
        changed_.notify_all();
    }

    Table& table_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::shared_ptr<pending_write>> pending_;
    bool stopped_ = false;
};

} // namespace pistachiopost
