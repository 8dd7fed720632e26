#include "process/crash_tracker.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pistachiopost {

namespace {

// A request that crashed this many backend servers is blocked: the platform allows three
// retries after that.
constexpr std::size_t crashes_to_block = 3;
// Time for which a report counts: callers retry within deadlines of seconds, and a
// harmless request meets few crashes in a minute.
constexpr std::chrono::minutes report_lifetime{1};
// Time for which a report is sent to peers: three times the peer timeout, so that short
// losses of connectivity are covered.
constexpr milliseconds share_period{3'000};
// Bounds memory to 0.1 MB at 100 bytes per request.
constexpr std::size_t max_tracked_requests = 1'000;
// Reports per message; 32 bytes each.
constexpr std::size_t max_shared_reports = 64;

} // namespace

std::uint64_t request_fingerprint(std::string_view path, std::string_view customer,
                                  std::string_view body)
{
    const auto seed = XXH3_64bits(path.data(), path.size());
    const auto with_customer =
        XXH3_64bits_withSeed(customer.data(), customer.size(), seed);
    return XXH3_64bits_withSeed(body.data(), body.size(), with_customer);
}

void crash_tracker::add(const crash_report& report, time_point now)
{
    const std::lock_guard lock(mutex_);
    remove_expired(now);
    if (requests_.size() >= max_tracked_requests &&
        !requests_.contains(report.fingerprint))
    {
        return; // so many crashes at once are not caused by individual requests
    }
    requests_[report.fingerprint].backends.try_emplace(report.backend, now);
}

void crash_tracker::clear(std::uint64_t fingerprint)
{
    const std::lock_guard lock(mutex_);
    requests_.erase(fingerprint);
}

bool crash_tracker::is_blocked(std::uint64_t fingerprint, time_point now) const
{
    const std::lock_guard lock(mutex_);
    const auto it = requests_.find(fingerprint);
    if (it == requests_.end())
    {
        return false;
    }
    const auto& backends = it->second.backends;
    const auto is_current = [now](const auto& one) {
        return now - one.second < report_lifetime;
    };
    return std::count_if(backends.begin(), backends.end(), is_current) >=
           static_cast<std::ptrdiff_t>(crashes_to_block);
}

std::vector<crash_report> crash_tracker::recent(time_point now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<crash_report> list;
    for (const auto& [fingerprint, crashes] : requests_)
    {
        for (const auto& [backend, reported_at] : crashes.backends)
        {
            if (now - reported_at < share_period && list.size() < max_shared_reports)
            {
                list.push_back({fingerprint, backend});
            }
        }
    }
    return list;
}

void crash_tracker::remove_expired(time_point now)
{
    std::erase_if(requests_, [now](const auto& it) {
        const auto& backends = it.second.backends;
        return std::all_of(backends.begin(), backends.end(), [now](const auto& one) {
            return now - one.second >= report_lifetime;
        });
    });
}

} // namespace pistachiopost
