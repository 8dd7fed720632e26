// What a registry keeps when the source of its list returns from an older copy.
#include "process/membership/backend_registry.hpp"

namespace pistachiopost {

namespace {

// Time after the source's return from an older copy for which a removal stands against a
// row that the copy still has, and an evacuation without a row is kept. The platform
// removes the row of a silent backend server within four seconds.
constexpr milliseconds older_copy_grace{6'000};
// Copies are some seconds old.
constexpr milliseconds removal_record_time{60'000};

} // namespace

void backend_registry::record_removal(const backend_record& backend, time_point now)
{
    std::erase_if(removed_, [now](const auto& it) {
        return now - it.second.removed_at >= removal_record_time;
    });
    removed_[backend.id] = {backend.start_time_ms, backend.row_version, now};
}

bool backend_registry::precedes_removal(const backend_record& record) const
{
    const auto it = removed_.find(record.id);
    if (it == removed_.end() || record.start_time_ms > it->second.start_time_ms)
    {
        return false;
    }
    return record.start_time_ms < it->second.start_time_ms ||
           record.row_version.number <= it->second.row_version.number;
}

void backend_registry::reconcile(const std::vector<backend_record>& records,
                                 time_point now)
{
    mark_source_unavailable(now);
    mark_source_available(now);
    std::set<std::string, std::less<>> listed;
    for (const auto& record : records)
    {
        listed.insert(record.id);
        const auto known = backends_.find(record.id);
        if (known == backends_.end())
        {
            const bool is_behind = precedes_removal(record);
            upsert(record, now);
            backends_[record.id].withheld_until =
                is_behind ? now + older_copy_grace : time_point();
            continue;
        }
        const auto former = known->second;
        if (record.start_time_ms < former.record.start_time_ms)
        {
            known->second.removal_due.reset();
            continue;
        }
        upsert(record, now);
        if (record.start_time_ms == former.record.start_time_ms)
        {
            known->second.announced_leaving |= former.record.leaving;
            known->second.withheld_until = former.withheld_until;
        }
    }
    remove_unlisted(listed, now);
}

void backend_registry::hold_evacuations(std::span<const std::string> zones,
                                        time_point now)
{
    for (const auto& it : zones)
    {
        held_evacuations_[it] = now + older_copy_grace;
    }
}

std::vector<std::string> backend_registry::end_held_evacuations(time_point now)
{
    std::vector<std::string> ended;
    for (const auto& [zone, until] : held_evacuations_)
    {
        if (now >= until)
        {
            ended.push_back(zone);
        }
    }
    for (const auto& it : ended)
    {
        restore(it, now);
    }
    return ended;
}

} // namespace pistachiopost
