#include "process/load_tracker.hpp"

#include <algorithm>

namespace pistachiopost {

namespace {

using float_ms = std::chrono::duration<double, std::milli>;

// Time for which a peer's report is valid: twice the longest interval between reports.
constexpr milliseconds peer_timeout{1'000};

// Minimum share of the unconfirmed prefill that counts as remaining: on average half of
// it is done.
constexpr double min_unconfirmed_share = 0.5;

double remaining_prefill_ms(const backend_load& load, steady::duration elapsed)
{
    return std::max(0.0, load.prefill_ms - float_ms(elapsed).count());
}

/// Returns the remaining prefill. Until the first event confirms it, the estimate does
/// not drop below a share, because engines may be slower than estimated.
double conservative_prefill_ms(const backend_load& load, steady::duration elapsed)
{
    return std::max(remaining_prefill_ms(load, elapsed),
                    load.unconfirmed_prefill_ms * min_unconfirmed_share);
}

backend_load max_load(const backend_load& a, const backend_load& b)
{
    return {
        std::max(a.requests, b.requests), std::max(a.short_requests, b.short_requests),
        std::max(a.memory_tokens, b.memory_tokens), std::max(a.prefill_ms, b.prefill_ms),
        std::max(a.unconfirmed_prefill_ms, b.unconfirmed_prefill_ms)};
}

} // namespace

backend_load& backend_load::operator+=(const backend_load& other)
{
    requests += other.requests;
    short_requests += other.short_requests;
    memory_tokens += other.memory_tokens;
    prefill_ms += other.prefill_ms;
    unconfirmed_prefill_ms += other.unconfirmed_prefill_ms;
    return *this;
}

void load_tracker::add(std::string_view backend, const backend_load& work, time_point now)
{
    auto it = local_.find(backend);
    if (it == local_.end())
    {
        it = local_.emplace(std::string(backend), timed_load{{}, now}).first;
    }
    auto& [load, updated] = it->second;
    load.prefill_ms = remaining_prefill_ms(load, now - updated);
    load += work;
    load.unconfirmed_prefill_ms += work.prefill_ms;
    updated = now;
}

void load_tracker::remove(std::string_view backend, const backend_load& work,
                          time_point now)
{
    const auto it = local_.find(backend);
    if (it == local_.end())
    {
        return;
    }
    auto& [load, updated] = it->second;
    load.requests -= std::min(load.requests, work.requests);
    load.short_requests -= std::min(load.short_requests, work.short_requests);
    load.memory_tokens -= std::min(load.memory_tokens, work.memory_tokens);
    load.prefill_ms = remaining_prefill_ms(load, now - updated);
    updated = now;
    if (load.requests == 0 && load.memory_tokens == 0 && load.prefill_ms == 0)
    {
        local_.erase(it);
    }
}

void load_tracker::prefill_done(std::string_view backend, const backend_load& work)
{
    if (const auto it = local_.find(backend); it != local_.end())
    {
        auto& unconfirmed = it->second.load.unconfirmed_prefill_ms;
        unconfirmed = std::max(0.0, unconfirmed - work.prefill_ms);
    }
}

void load_tracker::remove_parts(const report_state& report)
{
    for (const auto& backend : report.backends)
    {
        const auto it = reported_.find(backend);
        if (it == reported_.end())
        {
            continue; // listed twice in the report
        }
        std::erase_if(it->second,
                      [&](const reported_part& part) { return part.report == &report; });
        if (it->second.empty())
        {
            reported_.erase(it);
        }
    }
}

void load_tracker::apply_report(const load_report_message& message, time_point now)
{
    auto& it = message.is_digest ? digests_[message.zone] : peers_[message.gateway];
    if (it.sender == message.gateway && it.boot == message.boot &&
        message.sequence <= it.sequence)
    {
        return;
    }
    remove_parts(it);
    it.sender = message.gateway;
    it.boot = message.boot;
    it.sequence = message.sequence;
    it.received_at = now;
    it.is_digest = message.is_digest;
    it.backends.clear();
    for (const auto& [backend, load] : message.loads)
    {
        it.backends.push_back(backend);
        reported_[backend].push_back({&it, load});
    }
}

backend_load load_tracker::total_load(std::string_view backend, time_point now) const
{
    backend_load sum;
    if (const auto it = local_.find(backend); it != local_.end())
    {
        sum = it->second.load;
        sum.prefill_ms = conservative_prefill_ms(sum, now - it->second.updated);
    }
    const auto parts = reported_.find(backend);
    if (parts == reported_.end())
    {
        return sum;
    }
    backend_load digest;
    for (const auto& [report, reported] : parts->second)
    {
        const auto age = now - report->received_at;
        if (age < peer_timeout)
        {
            auto load = reported;
            load.prefill_ms = conservative_prefill_ms(load, age);
            (report->is_digest ? digest : sum) += load;
        }
    }
    // A digest repeats what this gateway and its peers put on the backend server.
    return max_load(sum, digest);
}

std::size_t load_tracker::live_gateways(time_point now) const
{
    const auto is_live = [now](const auto& it) {
        return now - it.second.received_at < peer_timeout;
    };
    return 1 +
           static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), is_live));
}

bool load_tracker::has_digest(std::string_view zone, time_point now) const
{
    const auto it = digests_.find(zone);
    return it != digests_.end() && now - it->second.received_at < peer_timeout;
}

std::vector<reported_load> load_tracker::local_loads(time_point now) const
{
    std::vector<reported_load> loads;
    loads.reserve(local_.size());
    for (const auto& [backend, timed] : local_)
    {
        auto load = timed.load;
        load.prefill_ms = remaining_prefill_ms(load, now - timed.updated);
        loads.push_back({backend, load});
    }
    return loads;
}

} // namespace pistachiopost
