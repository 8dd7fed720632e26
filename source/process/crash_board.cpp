#include "process/crash_board.hpp"

namespace pistachiopost {

namespace {

constexpr std::chrono::minutes suspicion_time{10};
constexpr std::chrono::hours conviction_time{24};
constexpr std::size_t max_records = 100'000; // requests

steady::duration lifetime(bool convicted)
{
    return convicted ? steady::duration(conviction_time)
                     : steady::duration(suspicion_time);
}

} // namespace

bool crash_board::add(const crash_record& record, time_point now)
{
    const std::lock_guard lock(mutex_);
    forget_old(now);
    const auto known = requests_.find(record.fingerprint);
    if (known == requests_.end())
    {
        if (requests_.size() < max_records)
        {
            requests_.emplace(record.fingerprint, evidence{record.confirmed, now});
        }
        return true;
    }
    if (known->second.convicted || !record.confirmed)
    {
        return false;
    }
    known->second = {true, now};
    return true;
}

void crash_board::clear(std::uint64_t fingerprint)
{
    const std::lock_guard lock(mutex_);
    const auto it = requests_.find(fingerprint);
    if (it != requests_.end() && !it->second.convicted)
    {
        requests_.erase(it);
    }
}

crash_verdict crash_board::judge(std::uint64_t fingerprint, time_point now) const
{
    const std::lock_guard lock(mutex_);
    const auto it = requests_.find(fingerprint);
    if (it == requests_.end() || now - it->second.added > lifetime(it->second.convicted))
    {
        return crash_verdict::innocent;
    }
    return it->second.convicted ? crash_verdict::convicted : crash_verdict::suspect;
}

std::size_t crash_board::size() const
{
    const std::lock_guard lock(mutex_);
    return requests_.size();
}

void crash_board::forget_old(time_point now)
{
    if (requests_.size() < max_records)
    {
        return;
    }
    std::erase_if(requests_, [now](const auto& it) {
        return now - it.second.added > lifetime(it.second.convicted);
    });
    if (requests_.size() >= max_records)
    {
        std::erase_if(requests_, [](const auto& it) { return !it.second.convicted; });
    }
}

} // namespace pistachiopost
