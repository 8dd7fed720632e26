#include "process/placement/load_tracker.hpp"

#include "process/placement/slot_contention.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace pistachiopost {

namespace {

using float_ms = std::chrono::duration<double, std::milli>;

// Time for which a peer's report is valid: twice the longest interval between reports.
constexpr milliseconds peer_timeout{1'000};

// Minimum share of the unconfirmed prefill that counts as remaining: on average half of
// it is done.
constexpr double min_unconfirmed_share = 0.5;

// Entries of backend servers that are gone are discarded beyond this number: several
// times the servers of the largest fleet.
constexpr std::size_t max_tracked_backends = 4'096;

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

/// Returns a hash by which a change of the reported load is recognized. The remaining
/// prefill is left out, since it changes by itself.
std::uint64_t load_hash(std::uint64_t sender, const backend_load& load)
{
    const std::array<std::uint64_t, 3> key{sender, load.requests, load.memory_tokens};
    return XXH3_64bits(key.data(), sizeof key);
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

/// Replaces the loads `before` of a sender by `after`. `report` is null for the loads of
/// this gateway itself, which are not added to those of the others.
void load_tracker::replace_parts(const report_state* report, std::uint64_t sender,
                                 std::span<const reported_load> before,
                                 std::span<const reported_load> after, time_point now)
{
    std::map<std::string_view, std::uint64_t> changes;
    for (const auto& [backend, load] : before)
    {
        changes[backend] ^= load_hash(sender, load);
        auto& parts = reported_[backend].parts;
        std::erase_if(parts,
                      [&](const reported_part& part) { return part.report == report; });
    }
    for (const auto& [backend, load] : after)
    {
        changes[backend] ^= load_hash(sender, load);
        if (report != nullptr)
        {
            reported_[backend].parts.push_back({report, load});
        }
    }
    for (const auto& [backend, change] : changes)
    {
        if (change != 0)
        {
            reported_[std::string(backend)].changed_at = now;
        }
    }
    if (reported_.size() > max_tracked_backends)
    {
        std::erase_if(reported_,
                      [](const auto& entry) { return entry.second.parts.empty(); });
    }
}

void load_tracker::mark_reported(std::uint64_t self, time_point now)
{
    auto loads = local_loads(now);
    replace_parts(nullptr, self, own_report_, loads, now);
    own_report_ = std::move(loads);
}

std::uint64_t load_tracker::turn(std::string_view backend, time_point now) const
{
    const auto it = reported_.find(backend);
    if (it == reported_.end())
    {
        return 0;
    }
    return static_cast<std::uint64_t>((now - it->second.changed_at) / turn_duration);
}

void load_tracker::apply_report(const load_report_message& message, time_point now)
{
    auto& it = message.is_digest ? digests_[message.zone] : peers_[message.gateway];
    if (it.sender == message.gateway && it.boot == message.boot &&
        message.sequence <= it.sequence)
    {
        return;
    }
    replace_parts(&it, contention_hash(message.gateway), it.loads, message.loads, now);
    it.sender = message.gateway;
    it.boot = message.boot;
    it.sequence = message.sequence;
    it.received_at = now;
    it.is_digest = message.is_digest;
    it.waiting = message.waiting;
    it.loads = message.loads;
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
    for (const auto& [report, reported] : parts->second.parts)
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

std::vector<std::uint64_t> load_tracker::rivals(const waiting_work& work,
                                                time_point now) const
{
    std::vector<std::uint64_t> list;
    for (const auto& [gateway, it] : peers_)
    {
        const bool waits =
            std::any_of(it.waiting.begin(), it.waiting.end(),
                        [&](const waiting_work& one) { return one.same_kind(work); });
        if (waits && now - it.received_at < peer_timeout)
        {
            list.push_back(contention_hash(gateway));
        }
    }
    return list;
}

double load_tracker::waiting_prefill_ms(std::string_view service, std::uint32_t priority,
                                        time_point now) const
{
    constexpr double equal_share = 0.5; // gateways take turns
    double sum = 0;
    for (const auto& [gateway, it] : peers_)
    {
        for (const auto& one : it.waiting)
        {
            if (one.service == service && one.long_prefill && one.priority <= priority &&
                now - it.received_at < peer_timeout)
            {
                sum += one.prefill_ms * (one.priority < priority ? 1 : equal_share);
            }
        }
    }
    return sum;
}

std::optional<time_point> load_tracker::next_expiry(time_point now) const
{
    std::optional<time_point> first;
    for (const auto* reports : {&peers_, &digests_})
    {
        for (const auto& [name, it] : *reports)
        {
            const auto end = it.received_at + peer_timeout;
            if (end > now && (!first || end < *first))
            {
                first = end;
            }
        }
    }
    return first;
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
