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
// The same for the backend servers of an evacuated zone.
constexpr milliseconds evacuation_limit{5'000};
// After this time each gateway knows from the store or from an answer that a backend
// server is cold.
constexpr milliseconds cold_notice_limit{2'000};
// Backend servers that one request may reach, as configured in the routes.
constexpr std::size_t max_attempts = 3;

bool overlaps(const disturbance& it, time_point from, time_point to)
{
    return it.from < to && from < it.to;
}

/// Disturbances that overlap one call.
struct call_context
{
    bool gateway_disturbed = false; ///< Its gateway was killed, paused or disconnected.
    bool planned_change = false; ///< Its gateway was stopped or reconfigured as planned.
    bool any_disturbed = false;  ///< Any unplanned disturbance, on any process.
};

call_context find_context(const call_record& it, const disturbances& all)
{
    call_context result;
    for (const auto& one : all)
    {
        if (!overlaps(one, it.sent, it.ended))
        {
            continue;
        }
        const bool same_gateway = one.gateway == it.gateway;
        result.planned_change = result.planned_change || (same_gateway && one.planned);
        result.gateway_disturbed =
            result.gateway_disturbed || (same_gateway && !one.planned);
        result.any_disturbed = result.any_disturbed || !one.planned;
    }
    return result;
}

bool is_plain(call_type type)
{
    return type == call_type::lookup || type == call_type::booking;
}

bool reports_not_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

std::string expected_stream(const std::string& id)
{
    std::string all;
    for (int n = 1; n <= stream_events; ++n)
    {
        all += event_text(id, n);
    }
    return all;
}

class guarantee_checker
{
public:
    guarantee_checker(const runs_by_request& runs, const disturbances& all)
        : runs_(runs), disturbed_(all)
    {
    }

    void check(const call_record& it)
    {
        check_answer(it);
        check_runs(it);
        check_completion(it);
    }

    void check_draining()
    {
        for (const auto& drain : disturbed_)
        {
            if (drain.draining)
            {
                check_draining(drain);
            }
        }
    }

    std::vector<std::string> violations;

private:
    void fail(const call_record& it, std::string_view violation)
    {
        violations.push_back(fmt::format(
            "{} {} at gateway {}: {} (status {}, {} bytes, {} ms, disturbances:{})",
            it.id, it.target, it.gateway, violation, it.status, it.body.size(),
            ceil_milliseconds(it.ended - it.sent).count(), nearby_disturbances(it)));
    }

    /// Lists the disturbances near a call, with the time from each to the end of the
    /// call.
    [[nodiscard]] std::string nearby_disturbances(const call_record& it) const
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
        const bool rejected = it.status >= 400 && it.status < 500 && it.status != 408 &&
                              it.status != 421 && it.status != 429;
        if (rejected)
        {
            fail(it, "a valid request was rejected");
        }
        if (it.status != 200)
        {
            return;
        }
        if (it.response_stamp.empty())
        {
            fail(it, "a successful answer has no Response-Stamp");
        }
        const auto expected =
            is_plain(it.type) ? answer_text(it.id) : expected_stream(it.id);
        if (expected.compare(0, it.body.size(), it.body) != 0)
        {
            fail(it, "the answer differs from what the backend server sent");
        }
        if (it.complete && !it.abandoned && it.body.size() != expected.size())
        {
            fail(it, "a truncated answer was framed as complete");
        }
    }

    void check_runs(const call_record& it)
    {
        const auto runs = runs_of(it);
        if (it.type == call_type::booking && runs.size() > 1)
        {
            fail(it, "ran more than once");
        }
        if (it.type == call_type::booking && reports_not_run(it.status) && !runs.empty())
        {
            fail(it, "ran although the answer says that it did not run");
        }
        std::set<std::string_view> servers;
        for (const auto& one : runs)
        {
            servers.insert(one.backend);
            if (one.customer != customer_name || one.key_forwarded)
            {
                fail(it, "the backend server received a wrong customer or the API key");
            }
            if (one.target != it.target || one.body_bytes != it.body_bytes)
            {
                fail(it, "the backend server received a different request");
            }
        }
        if (servers.size() > max_attempts)
        {
            fail(it, "reached more backend servers than max-attempts of its route");
        }
    }

    void check_completion(const call_record& it)
    {
        const auto context = find_context(it, disturbed_);
        if (it.abandoned || context.gateway_disturbed)
        {
            return;
        }
        if (it.ended - it.sent >= caller_timeout)
        {
            fail(it, "the call did not end before the caller's timeout");
        }
        const bool ran = !runs_of(it).empty();
        if (it.status == 0 && (ran || !context.planned_change))
        {
            fail(it, "no answer");
        }
        if (it.status == 200 && !it.complete && !context.any_disturbed)
        {
            fail(it, "the answer was cut short without a disturbance");
        }
    }

    void check_draining(const disturbance& drain)
    {
        const auto from = drain.from + drain_limit;
        for (const auto& one : disturbed_)
        {
            // Disturbances that delay the update at a gateway excuse late requests. One
            // of the store that begins later does not: each gateway knows the row then.
            const bool delays_update = one.gateway.has_value() ||
                                       (one.name.starts_with("store") && one.from < from);
            if (delays_update && overlaps(one, drain.from - stable_window, drain.to))
            {
                return;
            }
        }
        for (const auto& [id, runs] : runs_)
        {
            for (const auto& it : runs)
            {
                const auto ready_again = drain.to - stable_window;
                if (it.backend == drain.backend && it.started > from &&
                    it.started < ready_again)
                {
                    violations.push_back(fmt::format("{} reached {}, which was draining",
                                                     id, drain.backend));
                }
            }
        }
    }

    const runs_by_request& runs_;
    const disturbances& disturbed_;
};

} // namespace

std::size_t count_cold_requests(const runs_by_request& runs,
                                const disturbances& disturbed)
{
    std::map<std::string_view, std::vector<time_point>> started;
    for (const auto& [id, list] : runs)
    {
        for (const auto& it : list)
        {
            started[it.backend].push_back(it.started);
        }
    }
    std::size_t most = 0;
    for (const auto& cold : disturbed)
    {
        if (!cold.cold)
        {
            continue;
        }
        auto& times = started[cold.backend];
        std::sort(times.begin(), times.end());
        const auto begin =
            std::lower_bound(times.begin(), times.end(), cold.from + cold_notice_limit);
        const auto end = std::lower_bound(begin, times.end(), cold.from + cold_time);
        for (auto it = begin; it != end; ++it)
        {
            const auto second_over = std::lower_bound(it, end, *it + seconds{1});
            most = std::max(most, static_cast<std::size_t>(second_over - it));
        }
    }
    return most;
}

std::vector<std::string> find_violations(const std::vector<call_record>& calls,
                                         const runs_by_request& runs,
                                         const disturbances& disturbed)
{
    guarantee_checker it(runs, disturbed);
    std::set<std::string_view> known_ids;
    for (const auto& call : calls)
    {
        it.check(call);
        known_ids.insert(call.id);
    }
    for (const auto& [id, list] : runs)
    {
        if (!known_ids.contains(id))
        {
            it.violations.push_back(id + " ran, but no caller sent it");
        }
    }
    it.check_draining();
    if (const auto most = count_cold_requests(runs, disturbed); most > cold_bound)
    {
        it.violations.push_back(
            fmt::format("a cold server got {} requests in one second", most));
    }
    return std::move(it.violations);
}

std::vector<std::string>
find_evacuation_violations(const runs_by_request& runs,
                           const std::vector<run_record::reservation>& reservations,
                           const disturbances& disturbed)
{
    std::vector<std::string> violations;
    const auto check = [&](std::string_view what, std::string_view id,
                           const std::string& backend, time_point at) {
        for (const auto& one : disturbed)
        {
            const auto& zone = one.evacuated;
            if (std::find(zone.begin(), zone.end(), backend) != zone.end() &&
                at > one.from + evacuation_limit &&
                at < one.restored_at.value_or(time_point::max()))
            {
                violations.push_back(
                    fmt::format("{} {} reached {} {} ms after the {}", what, id, backend,
                                ceil_milliseconds(at - one.from).count(), one.name));
            }
        }
    };
    for (const auto& [id, list] : runs)
    {
        for (const auto& it : list)
        {
            check("request", id, it.backend, it.started);
        }
    }
    for (const auto& it : reservations)
    {
        check("reservation", it.name, it.backend, it.made_at);
    }
    return violations;
}

} // namespace pistachiopost::soak
