#include "soak/checks.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace pistachiopost::soak {

namespace {

// A draining backend server may get new work for at most this long after the store lists
// it as draining.
constexpr milliseconds drain_limit{2'000};
// After a disturbance a gateway's view of the store may be stale for this long.
constexpr milliseconds stable_window{3'000};
// Backend servers that one request may reach, as configured in the routes.
constexpr std::size_t max_attempts = 3;

bool overlaps(const disturbance& it, time_point from, time_point to)
{
    return it.from < to && from < it.to;
}

/// Disturbances that overlap one call.
struct call_context
{
    bool gateway_hit = false;  ///< Its gateway was killed, paused or disconnected.
    bool stopping = false;     ///< Its gateway was stopped or reconfigured as planned.
    bool anything_hit = false; ///< Any unplanned disturbance, on any process.
};

call_context context_of(const call_record& it, const disturbances& all)
{
    call_context result;
    for (const auto& one : all)
    {
        if (!overlaps(one, it.sent, it.ended))
        {
            continue;
        }
        const bool mine = one.gateway == it.gateway;
        result.stopping = result.stopping || (mine && one.planned);
        result.gateway_hit = result.gateway_hit || (mine && !one.planned);
        result.anything_hit = result.anything_hit || !one.planned;
    }
    return result;
}

bool is_plain(call_sort sort)
{
    return sort == call_sort::look_up || sort == call_sort::booking;
}

bool promises_not_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

std::string whole_stream(const std::string& id)
{
    std::string all;
    for (int n = 1; n <= stream_events; ++n)
    {
        all += event_of(id, n);
    }
    return all;
}

class checker
{
public:
    checker(const runs_by_request& runs, const disturbances& all)
        : runs_(runs), disturbed_(all)
    {
    }

    void check(const call_record& it)
    {
        check_answer(it);
        check_runs(it);
        check_loss(it);
    }

    void check_leaving()
    {
        for (const auto& gone : disturbed_)
        {
            if (gone.leaves)
            {
                check_leaving(gone);
            }
        }
    }

    std::vector<std::string> broken;

private:
    void fail(const call_record& it, std::string_view promise)
    {
        broken.push_back(fmt::format(
            "{} {} at gateway {}: {} (status {}, {} bytes, {} ms, disturbances:{})",
            it.id, it.target, it.gateway, promise, it.status, it.body.size(),
            ceil_milliseconds(it.ended - it.sent).count(), around(it)));
    }

    /// Lists the disturbances near a call, with the time from each to the end of the
    /// call.
    [[nodiscard]] std::string around(const call_record& it) const
    {
        std::string text;
        for (const auto& one : disturbed_)
        {
            if (overlaps(one, it.sent - stable_window, it.ended + stable_window))
            {
                text += fmt::format(" {} {} ms,", one.name,
                                    ceil_milliseconds(it.ended - one.from).count());
            }
        }
        return text;
    }

    [[nodiscard]] std::vector<run_record::run> runs_of(const call_record& it) const
    {
        const auto found = runs_.find(it.id);
        return found == runs_.end() ? std::vector<run_record::run>() : found->second;
    }

    void check_answer(const call_record& it)
    {
        const bool denied = it.status >= 400 && it.status < 500 && it.status != 408 &&
                            it.status != 421 && it.status != 429;
        if (denied)
        {
            fail(it, "a valid request was rejected");
        }
        if (it.status != 200)
        {
            return;
        }
        if (it.proof.empty())
        {
            fail(it, "a successful answer has no Response-Stamp");
        }
        const auto due = is_plain(it.sort) ? answer_of(it.id) : whole_stream(it.id);
        if (due.compare(0, it.body.size(), it.body) != 0)
        {
            fail(it, "the answer differs from what the backend server sent");
        }
        if (it.whole && !it.left && it.body.size() != due.size())
        {
            fail(it, "a truncated answer was framed as complete");
        }
    }

    void check_runs(const call_record& it)
    {
        const auto runs = runs_of(it);
        if (it.sort == call_sort::booking && runs.size() > 1)
        {
            fail(it, "ran more than once");
        }
        if (it.sort == call_sort::booking && promises_not_run(it.status) && !runs.empty())
        {
            fail(it, "ran although the answer says that it did not run");
        }
        std::set<std::string_view> reached;
        for (const auto& one : runs)
        {
            reached.insert(one.worker);
            if (one.customer != customer_name || one.has_key)
            {
                fail(it, "the backend server received a wrong customer or the API key");
            }
            if (one.target != it.target || one.body_bytes != it.body_bytes)
            {
                fail(it, "the backend server received a different request");
            }
        }
        if (reached.size() > max_attempts)
        {
            fail(it, "reached more backend servers than max-attempts of its route");
        }
    }

    void check_loss(const call_record& it)
    {
        const auto around = context_of(it, disturbed_);
        if (it.left || around.gateway_hit)
        {
            return;
        }
        if (it.ended - it.sent >= caller_patience)
        {
            fail(it, "the call did not end before the caller's timeout");
        }
        const bool ran = !runs_of(it).empty();
        if (it.status == 0 && (ran || !around.stopping))
        {
            fail(it, "no answer");
        }
        if (it.status == 200 && !it.whole && !around.anything_hit)
        {
            fail(it, "the answer was cut short without a disturbance");
        }
    }

    void check_leaving(const disturbance& gone)
    {
        const auto from = gone.from + drain_limit;
        for (const auto& one : disturbed_)
        {
            // Disturbances that delay the update at a gateway excuse late requests.
            const bool deaf = one.gateway.has_value() || one.name.starts_with("store");
            if (deaf && overlaps(one, gone.from - stable_window, gone.to))
            {
                return;
            }
        }
        for (const auto& [id, runs] : runs_)
        {
            for (const auto& it : runs)
            {
                const auto back = gone.to - stable_window; // when listed as ready again
                if (it.worker == gone.row && it.at > from && it.at < back)
                {
                    broken.push_back(
                        fmt::format("{} reached {}, which was draining", id, gone.row));
                }
            }
        }
    }

    const runs_by_request& runs_;
    const disturbances& disturbed_;
};

} // namespace

std::vector<std::string> check_promises(const std::vector<call_record>& calls,
                                        const runs_by_request& runs,
                                        const disturbances& disturbed)
{
    checker it(runs, disturbed);
    std::set<std::string_view> asked;
    for (const auto& call : calls)
    {
        it.check(call);
        asked.insert(call.id);
    }
    for (const auto& [id, list] : runs)
    {
        if (!asked.contains(id))
        {
            it.broken.push_back(id + " ran, but no caller sent it");
        }
    }
    it.check_leaving();
    return std::move(it.broken);
}

} // namespace pistachiopost::soak
