/// \file
/// Followers that apply rows of the store to the state of a gateway.
#pragma once

#include "process/gateway_state.hpp"
#include "process/logging.hpp"
#include "process/stored_row.hpp"

#include <exception>
#include <map>
#include <optional>
#include <string>
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

/// Follows the operator's table and activates newer configurations.
template <typename Codec>
class configuration_follower
{
public:
    explicit configuration_follower(gateway_state& state) : state_(state) {}

    void on_snapshot(const row_batch& batch, time_point now) { on_changes(batch, now); }
    void on_changes(const row_batch& batch, time_point now)
    {
        for (const auto& it : batch.rows)
        {
            if (it.key == Codec::configuration_key && !it.removed)
            {
                apply(it, now);
            }
        }
    }
    void on_store_unavailable(time_point) {}
    void on_store_available(time_point) {}

private:
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
                          {{"version", version}, {"row_version", row.version}});
            }
        }
        catch (const std::runtime_error& it)
        {
            state_.metrics.increment("unreadable_configurations");
            log_event(log_level::error, "invalid configuration ignored",
                      {{"row_version", row.version}, {"fault", it.what()}});
        }
    }

    gateway_state& state_;
};

/// Follows the list of backend servers.
template <typename Codec>
class backend_follower
{
public:
    explicit backend_follower(gateway_state& state) : state_(state) {}

    void on_snapshot(const row_batch& batch, time_point now)
    {
        std::vector<backend_record> records;
        for (const auto& it : batch.rows)
        {
            if (auto record = decode(it))
            {
                records.push_back(std::move(*record));
            }
        }
        state_.dispatch.update_registry(now,
                                        [&](auto& it) { it.replace_all(records, now); });
        state_.backends_loaded = true;
        log_event(log_level::info, "list of backend servers read",
                  {{"count", static_cast<std::uint64_t>(records.size())},
                   {"row_version", batch.version}});
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
                 {"row_version", row.version}});
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
