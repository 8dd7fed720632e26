#include "process/crash_registry.hpp"

namespace pistachiopost {

namespace {

constexpr std::chrono::minutes suspicion_lifetime{10};
constexpr std::chrono::hours confirmation_lifetime{24};
constexpr std::size_t max_records = 100'000; // requests

steady::duration lifetime(bool confirmed)
{
    return confirmed ? steady::duration(confirmation_lifetime)
                     : steady::duration(suspicion_lifetime);
}

} // namespace

bool crash_registry::add(const crash_record& record, time_point now)
{
    const std::lock_guard lock(mutex_);
    evict_expired(now);
    const auto known = requests_.find(record.fingerprint);
    if (known == requests_.end())
    {
        if (requests_.size() < max_records)
        {
            requests_.emplace(record.fingerprint, evidence{record.confirmed, now});
        }
        return true;
    }
    if (known->second.confirmed || !record.confirmed)
    {
        return false;
    }
    known->second = {true, now};
    return true;
}

void crash_registry::clear(std::uint64_t fingerprint)
{
    const std::lock_guard lock(mutex_);
    const auto it = requests_.find(fingerprint);
    if (it != requests_.end() && !it->second.confirmed)
    {
        requests_.erase(it);
    }
}

crash_status crash_registry::status(std::uint64_t fingerprint, time_point now) const
{
    const std::lock_guard lock(mutex_);
    const auto it = requests_.find(fingerprint);
    if (it == requests_.end() || now - it->second.added > lifetime(it->second.confirmed))
    {
        return crash_status::none;
    }
    return it->second.confirmed ? crash_status::confirmed : crash_status::suspected;
}

std::size_t crash_registry::size() const
{
    const std::lock_guard lock(mutex_);
    return requests_.size();
}

void crash_registry::evict_expired(time_point now)
{
    if (requests_.size() < max_records)
    {
        return;
    }
    std::erase_if(requests_, [now](const auto& it) {
        return now - it.second.added > lifetime(it.second.confirmed);
    });
    if (requests_.size() >= max_records)
    {
        std::erase_if(requests_, [](const auto& it) { return !it.second.confirmed; });
    }
}

} // namespace pistachiopost
