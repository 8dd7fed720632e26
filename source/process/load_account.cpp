#include "process/load_account.hpp"

#include <algorithm>

namespace pistachiopost {

namespace {

using float_ms = std::chrono::duration<double, std::milli>;

// A peer's word counts this long: twice the longest pause between its messages.
constexpr milliseconds peer_lifetime{1'000};

// Share of the reading whose first event was not seen that counts as left at least: on
// average half of it is done.
constexpr double unseen_share = 0.5;

double read_left(const backend_load& load, steady::duration passed)
{
    return std::max(0.0, load.read_ms - float_ms(passed).count());
}

/// Returns the reading left, which engines that are slower than estimated show by their
/// first events.
double trusted_left(const backend_load& load, steady::duration passed)
{
    return std::max(read_left(load, passed), load.unseen_ms * unseen_share);
}

} // namespace

backend_load& backend_load::operator+=(const backend_load& other)
{
    requests += other.requests;
    short_requests += other.short_requests;
    memory_tokens += other.memory_tokens;
    read_ms += other.read_ms;
    unseen_ms += other.unseen_ms;
    return *this;
}

void load_account::add(std::string_view backend, const backend_load& work, time_point now)
{
    auto it = own_.find(backend);
    if (it == own_.end())
    {
        it = own_.emplace(std::string(backend), timed_load{{}, now}).first;
    }
    auto& [load, updated] = it->second;
    load.read_ms = read_left(load, now - updated);
    load += work;
    load.unseen_ms += work.read_ms;
    updated = now;
}

void load_account::remove(std::string_view backend, const backend_load& work,
                          time_point now)
{
    const auto it = own_.find(backend);
    if (it == own_.end())
    {
        return;
    }
    auto& [load, updated] = it->second;
    load.requests -= std::min(load.requests, work.requests);
    load.short_requests -= std::min(load.short_requests, work.short_requests);
    load.memory_tokens -= std::min(load.memory_tokens, work.memory_tokens);
    load.read_ms = read_left(load, now - updated);
    updated = now;
    if (load.requests == 0 && load.memory_tokens == 0 && load.read_ms == 0)
    {
        own_.erase(it);
    }
}

void load_account::reading_done(std::string_view backend, const backend_load& work)
{
    if (const auto it = own_.find(backend); it != own_.end())
    {
        auto& left = it->second.load.unseen_ms;
        left = std::max(0.0, left - work.read_ms);
    }
}

void load_account::hear(const load_report_message& message, time_point now)
{
    auto& it = peers_[message.gateway];
    if (it.boot == message.boot && message.count <= it.count)
    {
        return;
    }
    it.boot = message.boot;
    it.count = message.count;
    it.heard = now;
    it.loads.clear();
    for (const auto& [backend, load] : message.loads)
    {
        it.loads.emplace(backend, load);
    }
}

backend_load load_account::at(std::string_view backend, time_point now) const
{
    backend_load sum;
    if (const auto it = own_.find(backend); it != own_.end())
    {
        sum = it->second.load;
        sum.read_ms = trusted_left(sum, now - it->second.updated);
    }
    for (const auto& [name, other] : peers_)
    {
        const auto it = other.loads.find(backend);
        if (now - other.heard < peer_lifetime && it != other.loads.end())
        {
            auto load = it->second;
            load.read_ms = trusted_left(load, now - other.heard);
            sum += load;
        }
    }
    return sum;
}

std::size_t load_account::gateways(time_point now) const
{
    const auto heard = [now](const auto& it) {
        return now - it.second.heard < peer_lifetime;
    };
    return 1 +
           static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), heard));
}

std::vector<reported_load> load_account::own(time_point now) const
{
    std::vector<reported_load> loads;
    loads.reserve(own_.size());
    for (const auto& [backend, timed] : own_)
    {
        auto load = timed.load;
        load.read_ms = read_left(load, now - timed.updated);
        loads.push_back({backend, load});
    }
    return loads;
}

} // namespace pistachiopost
