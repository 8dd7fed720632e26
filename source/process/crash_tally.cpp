#include "process/crash_tally.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pistachiopost {

namespace {

// A request that crashed this many backend servers gets no further one: the platform
// allows three retries after that.
constexpr std::size_t max_crashes = 3;
// Longest time for which a sighting counts: callers come back within their deadline of
// seconds, and an innocent request meets few crashes in a minute.
constexpr std::chrono::minutes lifetime{1};
// Time for which peers are told: three times the pause in which gateways lose touch.
constexpr milliseconds told_for{3'000};
// Requests remembered at once; at 100 bytes each 0.1 MB.
constexpr std::size_t max_requests = 1'000;
// Sightings in one message; 32 bytes each.
constexpr std::size_t max_told = 64;

} // namespace

std::uint64_t fingerprint_of(std::string_view path, std::string_view customer,
                             std::string_view body)
{
    const auto seed = XXH3_64bits(path.data(), path.size());
    const auto with_customer =
        XXH3_64bits_withSeed(customer.data(), customer.size(), seed);
    return XXH3_64bits_withSeed(body.data(), body.size(), with_customer);
}

void crash_tally::add(const crash_sighting& sighting, time_point now)
{
    const std::lock_guard lock(mutex_);
    forget_old(now);
    if (requests_.size() >= max_requests && !requests_.contains(sighting.fingerprint))
    {
        return; // so many crashes at once are no matter of single requests
    }
    requests_[sighting.fingerprint].backends.try_emplace(sighting.backend, now);
}

void crash_tally::clear(std::uint64_t fingerprint)
{
    const std::lock_guard lock(mutex_);
    requests_.erase(fingerprint);
}

bool crash_tally::refuses(std::uint64_t fingerprint, time_point now) const
{
    const std::lock_guard lock(mutex_);
    const auto it = requests_.find(fingerprint);
    if (it == requests_.end())
    {
        return false;
    }
    const auto& backends = it->second.backends;
    const auto counts = [now](const auto& one) { return now - one.second < lifetime; };
    return std::count_if(backends.begin(), backends.end(), counts) >=
           static_cast<std::ptrdiff_t>(max_crashes);
}

std::vector<crash_sighting> crash_tally::recent(time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<crash_sighting> list;
    for (const auto& [fingerprint, crashes] : requests_)
    {
        for (const auto& [backend, seen] : crashes.backends)
        {
            if (now - seen < told_for && list.size() < max_told)
            {
                list.push_back({fingerprint, backend});
            }
        }
    }
    return list;
}

void crash_tally::forget_old(time_point now)
{
    std::erase_if(requests_, [now](const auto& it) {
        const auto& backends = it.second.backends;
        return std::all_of(backends.begin(), backends.end(), [now](const auto& one) {
            return now - one.second >= lifetime;
        });
    });
}

} // namespace pistachiopost
