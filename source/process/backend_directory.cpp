#include "process/backend_directory.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pistachiopost {

namespace {

constexpr seconds ramp_duration{5};          // from link-up to full load
constexpr double ramp_start = 0.1;           // share of load right after link-up
constexpr milliseconds initial_backoff{100}; // after the first failure
constexpr seconds max_backoff{10};
constexpr milliseconds other_zone_penalty{5};
constexpr milliseconds short_on_unreserved_penalty{100};
constexpr milliseconds medium_on_reserved_penalty{2'000};
constexpr milliseconds long_on_reserved_penalty{8'000};
constexpr double default_prefill_rate = 100'000; // tokens per second, until reported

double ramp_factor(time_point linked_since, time_point now)
{
    const std::chrono::duration<double> up = now - linked_since;
    const std::chrono::duration<double> full = ramp_duration;
    return std::clamp(up / full, ramp_start, 1.0);
}

double prefill_rate_of(const std::optional<load_report>& report)
{
    return report && report->prefill_rate > 0 ? report->prefill_rate
                                              : default_prefill_rate;
}

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

steady::duration failure_backoff(std::uint32_t failures)
{
    const auto doublings = std::min(failures - 1, 10U);
    return std::min<steady::duration>(initial_backoff * (1U << doublings), max_backoff);
}

} // namespace

void backend_directory::set_list(std::span<const backend_server> list)
{
    const std::lock_guard lock(mutex_);
    for (auto& [vm, state] : servers_)
    {
        state.listed = false;
    }
    for (const auto& server : list)
    {
        auto& state = servers_[server.vm];
        state.server = server;
        state.listed = true;
    }
    std::erase_if(servers_,
                  [](const auto& it) { return !it.second.listed && !it.second.linked; });
    reserve_servers_for_short();
}

void backend_directory::set_drained(const std::set<std::string, std::less<>>& drained)
{
    const std::lock_guard lock(mutex_);
    drained_ = drained;
}

void backend_directory::set_linked(std::string_view vm, bool up, time_point now)
{
    const std::lock_guard lock(mutex_);
    auto* state = find(vm);
    if (state == nullptr)
    {
        return;
    }
    if (up && !state->linked)
    {
        state->linked_since = now;
    }
    state->linked = up;
    if (!up)
    {
        state->report.reset();
        state->unreported_tokens = 0;
        state->unreported_attempts = 0;
    }
}

void backend_directory::set_report(std::string_view vm, const load_report& report,
                                   time_point now)
{
    const std::lock_guard lock(mutex_);
    auto* state = find(vm);
    if (state == nullptr)
    {
        return;
    }
    const bool recovered = state->report && !state->report->healthy && report.healthy;
    if (recovered)
    {
        state->linked_since = now;
    }
    state->report = report;

    state->unreported_tokens = 0;
    state->unreported_attempts = 0;
}

void backend_directory::count_sent(std::string_view vm, std::uint64_t tokens,
                                   time_point now)
{
    const std::lock_guard lock(mutex_);
    if (auto* state = find(vm))
    {
        state->unreported_tokens =
            pending_tokens(*state, now) + static_cast<double>(tokens);
        state->last_sent_at = now;
        ++state->unreported_attempts;
    }
}

void backend_directory::count_failure(std::string_view vm, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (auto* state = find(vm))
    {
        ++state->failures;
        state->backoff_until = now + failure_backoff(state->failures);
    }
}

void backend_directory::count_success(std::string_view vm)
{
    const std::lock_guard lock(mutex_);
    if (auto* state = find(vm))
    {
        state->failures = 0;
    }
}

std::vector<candidate> backend_directory::candidates(const request& req,
                                                     std::span<const std::string> avoid,
                                                     time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<candidate> found;
    std::vector<candidate> backing_off;
    for (const auto& [vm, state] : servers_)
    {
        if (!may_serve(state, req, now) ||
            std::find(avoid.begin(), avoid.end(), vm) != avoid.end())
        {
            continue;
        }
        auto& list = state.backoff_until > now ? backing_off : found;
        list.push_back(make_candidate(state, req, now));
    }
    return found.empty() ? backing_off : found;
}

std::vector<backend_server> backend_directory::listed() const
{
    const std::lock_guard lock(mutex_);
    std::vector<backend_server> all;
    for (const auto& [vm, state] : servers_)
    {
        if (state.listed)
        {
            all.push_back(state.server);
        }
    }
    return all;
}

std::size_t backend_directory::linked() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(),
                      [](const auto& it) { return it.second.linked; }));
}

bool backend_directory::may_serve(const server_state& it, const request& req,
                                  time_point /*now*/) const
{
    return it.linked && it.report && !it.report->draining && it.report->healthy &&
           !it.server.leaving && !drained_.contains(it.server.vm) &&
           it.server.kind == req.kind && it.server.serves == req.target;
}

milliseconds backend_directory::wait_penalty_for(const server_state& it,
                                                 const request& req) const
{
    auto wait_penalty = it.server.zone == zone_ ? milliseconds{0} : other_zone_penalty;
    if (short_share_ > 0 && req.kind == work_kind::completion)
    {
        const bool is_short = classify(req.prompt_tokens) == length_class::brief;
        if (is_short && !it.reserved_for_short)
        {
            wait_penalty += short_on_unreserved_penalty;
        }
        if (!is_short && it.reserved_for_short)
        {
            wait_penalty += is_long(classify(req.prompt_tokens))
                                ? long_on_reserved_penalty
                                : medium_on_reserved_penalty;
        }
    }
    return wait_penalty;
}

double backend_directory::pending_tokens(const server_state& it, time_point now)
{
    const auto done = prefill_rate_of(it.report) * seconds_between(it.last_sent_at, now);
    return std::max(it.unreported_tokens - done, 0.0);
}

candidate backend_directory::make_candidate(const server_state& it, const request& req,
                                            time_point now) const
{
    const auto class_index = static_cast<std::size_t>(classify(req.prompt_tokens));
    const auto reported = static_cast<double>(it.report->backlog[class_index]);
    const auto ahead = reported + pending_tokens(it, now);
    const auto wait = 1'000.0 * ahead / prefill_rate_of(it.report);
    return {it.server.vm,
            it.server.zone == zone_,
            milliseconds{static_cast<milliseconds::rep>(wait)},
            it.report->running + it.report->queued + it.unreported_attempts,
            ramp_factor(it.linked_since, now),
            wait_penalty_for(it, req),
            it.report->memory_total};
}

/// Reserves the servers with the highest name hashes for short prompts, so that all
/// entries reserve the same ones.
void backend_directory::reserve_servers_for_short()
{
    std::map<std::string_view, std::vector<std::pair<std::uint64_t, server_state*>>>
        targets;
    for (auto& [vm, state] : servers_)
    {
        state.reserved_for_short = false;
        if (state.server.kind == work_kind::completion)
        {
            targets[state.server.serves].emplace_back(XXH3_64bits(vm.data(), vm.size()),
                                                      &state);
        }
    }
    for (auto& [target, ranked] : targets)
    {
        std::sort(ranked.rbegin(), ranked.rend());
        const auto n =
            static_cast<std::size_t>(short_share_ * static_cast<double>(ranked.size()));
        for (std::size_t i = 0; i < n; ++i)
        {
            ranked[i].second->reserved_for_short = true;
        }
    }
}

backend_directory::server_state* backend_directory::find(std::string_view vm)
{
    const auto it = servers_.find(vm);
    return it == servers_.end() ? nullptr : &it->second;
}

} // namespace pistachiopost
