/// \file
/// Followers that apply rows of the store to the state of a gateway.
#pragma once

#include "process/gateway_state.hpp"
#include "process/logging.hpp"
#include "process/stored_row.hpp"

#include <algorithm>
#include <exception>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Returns the services of a configuration whose backend servers have a cold start.
inline std::map<std::string, cold_service, std::less<>>
cold_services_of(const route_table& table)
{
    std::map<std::string, cold_service, std::less<>> services;
    for (const auto& [name, it] : table.services())
    {
        if (it.cold_start.count() > 0 && it.cold_per_second > 0)
        {
            services.emplace(name, cold_service{it.cold_start, it.cold_per_second});
        }
    }
    return services;
}

/// Logs that a zone was evacuated or returned to service.
inline void log_zone_change(std::string_view zone, bool evacuated,
                            const store_version& version)
{
    log_event(log_level::warn, evacuated ? "zone evacuated" : "zone returned to service",
              {{"evacuated_zone", zone}, {"row_version", version.number}});
}

/// Returns zones to service whose rows an older copy lacked and that were not written
/// again.
inline void end_held_evacuations(gateway_state& state, time_point now)
{
    std::vector<std::string> ended;
    state.dispatch.update_registry(
        now, [&](auto& it) { ended = it.end_held_evacuations(now); });
    for (const auto& it : ended)
    {
        log_zone_change(it, false, {});
    }
}

/// Follows the operator's table and evacuates availability zones or returns them to
/// service.
template <typename Codec>
class evacuation_follower
{
public:
    explicit evacuation_follower(gateway_state& state) : state_(state) {}

    /// Zones without a row return to service: their rows may have been removed unseen.
    void on_snapshot(const row_batch& batch, time_point now)
    {
        const auto unlisted = apply_listed(batch, now);
        state_.dispatch.update_registry(now, [&](auto& registry) {
            for (const auto& it : unlisted)
            {
                registry.restore(it, now);
            }
        });
        for (const auto& it : unlisted)
        {
            log_zone_change(it, false, batch.version);
        }
    }
    /// Zones without a row stay evacuated for a while: their rows may be lost.
    void on_older_copy(const row_batch& batch, time_point now)
    {
        const auto unlisted = apply_listed(batch, now);
        state_.dispatch.update_registry(
            now, [&](auto& registry) { registry.hold_evacuations(unlisted, now); });
        for (const auto& it : unlisted)
        {
            log_event(log_level::warn,
                      "zone stays evacuated; an older copy lacks its row",
                      {{"evacuated_zone", it}, {"row_version", batch.version.number}});
        }
    }

    void on_changes(const row_batch& batch, time_point now)
    {
        for (const auto& it : batch.rows)
        {
            const auto zone = evacuated_zone(it);
            if (!zone)
            {
                continue;
            }
            bool changed = false;
            state_.dispatch.update_registry(now, [&](auto& registry) {
                changed =
                    it.removed ? registry.restore(*zone, now) : registry.evacuate(*zone);
            });
            if (changed)
            {
                log_zone_change(*zone, !it.removed, it.version);
            }
        }
    }

private:
    /// Evacuates the zones that a complete table lists; returns the evacuated ones that
    /// it does not list.
    std::vector<std::string> apply_listed(const row_batch& batch, time_point now)
    {
        std::set<std::string, std::less<>> listed;
        for (const auto& it : batch.rows)
        {
            const auto zone = it.removed ? std::nullopt : evacuated_zone(it);
            if (zone)
            {
                listed.emplace(*zone);
            }
        }
        std::vector<std::string> unlisted;
        state_.dispatch.update_registry(now, [&](auto& registry) {
            const auto& known = registry.evacuated_zones();
            std::set_difference(known.begin(), known.end(), listed.begin(), listed.end(),
                                std::back_inserter(unlisted));
            std::erase_if(listed, [&](const auto& it) { return !registry.evacuate(it); });
        });
        for (const auto& it : listed)
        {
            log_zone_change(it, true, batch.version);
        }
        return unlisted;
    }

    /// Returns the zone that a row is about; nothing if it is about something else.
    std::optional<std::string_view> evacuated_zone(const stored_row& row)
    {
        const auto decoded = Codec::decode_evacuation(row.key, row.value);
        if (!decoded)
        {
            return std::nullopt;
        }
        if (decoded->zone.empty())
        {
            state_.metrics.increment("unreadable_evacuations");
            log_event(log_level::warn, "evacuation without a zone ignored",
                      {{"row_version", row.version.number}});
            return std::nullopt;
        }
        if (!row.removed && !decoded->valid_document)
        {
            state_.metrics.increment("unreadable_evacuations");
            log_event(
                log_level::warn, "evacuation with an invalid value takes effect",
                {{"evacuated_zone", decoded->zone}, {"row_version", row.version.number}});
        }
        return decoded->zone;
    }

    gateway_state& state_;
};

/// Follows the operator's table: evacuates availability zones and activates newer
/// configurations. Evacuations come first, since a gateway is ready once it has a
/// configuration.
template <typename Codec>
class configuration_follower
{
public:
    explicit configuration_follower(gateway_state& state)
        : state_(state), evacuations_(state)
    {
    }

    void on_snapshot(const row_batch& batch, time_point now)
    {
        evacuations_.on_snapshot(batch, now);
        apply_configuration(batch, now);
    }
    /// The configuration in force stays if it is newer.
    void on_older_copy(const row_batch& batch, time_point now)
    {
        evacuations_.on_older_copy(batch, now);
        apply_configuration(batch, now);
    }
    void on_changes(const row_batch& batch, time_point now)
    {
        evacuations_.on_changes(batch, now);
        apply_configuration(batch, now);
    }
    void on_store_unavailable(time_point) {}
    void on_store_available(time_point) {}

private:
    void apply_configuration(const row_batch& batch, time_point now)
    {
        for (const auto& it : batch.rows)
        {
            if (it.key == Codec::configuration_key && !it.removed)
            {
                apply(it, now);
            }
        }
    }
    void apply(const stored_row& row, time_point now)
    {
        try
        {
            auto next = std::make_shared<const route_table>(
                Codec::decode_configuration(row.value));
            const auto version = next->version();
            auto cold = cold_services_of(*next);
            if (state_.routes.advance(std::move(next)))
            {
                state_.dispatch.update_registry(now, [&](backend_registry& it) {
                    it.set_cold_services(std::move(cold));
                });
                log_event(log_level::warn, "configuration in force",
                          {{"version", version}, {"row_version", row.version.number}});
            }
        }
        catch (const std::runtime_error& it)
        {
            state_.metrics.increment("unreadable_configurations");
            log_event(log_level::error, "invalid configuration ignored",
                      {{"row_version", row.version.number}, {"fault", it.what()}});
        }
    }

    gateway_state& state_;
    evacuation_follower<Codec> evacuations_;
};

/// Follows the list of backend servers.
template <typename Codec>
class backend_follower
{
public:
    explicit backend_follower(gateway_state& state) : state_(state) {}

    void on_snapshot(const row_batch& batch, time_point now)
    {
        const auto records = decode_all(batch);
        state_.dispatch.update_registry(now,
                                        [&](auto& it) { it.replace_all(records, now); });
        state_.backends_loaded = true;
        log_list("list of backend servers read", records, batch.version);
    }

    void on_older_copy(const row_batch& batch, time_point now)
    {
        const auto records = decode_all(batch);
        state_.dispatch.update_registry(now,
                                        [&](auto& it) { it.reconcile(records, now); });
        log_list("list of backend servers read from an older copy", records,
                 batch.version);
    }

    void on_changes(const row_batch& batch, time_point now)
    {
        for (const auto& row : batch.rows)
        {
            const auto record = row.removed ? std::nullopt : decode(row);
            log_event(
                log_level::info, "backend server changed",
                {{"backend", row.key},
                 {"state", record ? (record->leaving ? "leaving" : "ready") : "gone"},
                 {"row_version", row.version.number}});
            state_.dispatch.update_registry(now, [&](auto& it) {
                record ? it.upsert(*record, now) : it.remove(row.key, now);
            });
        }
    }

    void on_store_unavailable(time_point now)
    {
        state_.dispatch.update_registry(
            now, [now](auto& it) { it.mark_source_unavailable(now); });
    }
    void on_store_available(time_point now)
    {
        state_.dispatch.update_registry(
            now, [now](auto& it) { it.mark_source_available(now); });
    }

private:
    std::vector<backend_record> decode_all(const row_batch& batch)
    {
        std::vector<backend_record> records;
        for (const auto& it : batch.rows)
        {
            if (auto record = decode(it))
            {
                records.push_back(std::move(*record));
            }
        }
        return records;
    }

    static void log_list(std::string_view text, std::span<const backend_record> records,
                         const store_version& version)
    {
        log_event(log_level::info, text,
                  {{"count", static_cast<std::uint64_t>(records.size())},
                   {"row_version", version.number}});
    }

    std::optional<backend_record> decode(const stored_row& row)
    {
        std::string fault;
        auto record = Codec::decode_backend(row.key, row.value, fault);
        if (!record)
        {
            state_.metrics.increment("unreadable_backends");
            log_event(log_level::warn, "invalid entry of a backend server ignored",
                      {{"backend", row.key}, {"fault", fault}});
            return record;
        }
        record->row_version = row.version;
        return record;
    }

    gateway_state& state_;
};

} // namespace pistachiopost
