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

void load_tracker::apply_report(const load_report_message& message, time_point now)
{
    auto& it = peers_[message.gateway];
    if (it.boot == message.boot && message.sequence <= it.sequence)
    {
        return;
    }
    it.boot = message.boot;
    it.sequence = message.sequence;
    it.received_at = now;
    it.loads.clear();
    for (const auto& [backend, load] : message.loads)
    {
        it.loads.emplace(backend, load);
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
    for (const auto& [name, other] : peers_)
    {
        const auto it = other.loads.find(backend);
        if (now - other.received_at < peer_timeout && it != other.loads.end())
        {
            auto load = it->second;
            load.prefill_ms = conservative_prefill_ms(load, now - other.received_at);
            sum += load;
        }
    }
    return sum;
}

std::size_t load_tracker::live_gateways(time_point now) const
{
    const auto is_live = [now](const auto& it) {
        return now - it.second.received_at < peer_timeout;
    };
    return 1 +
           static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), is_live));
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
