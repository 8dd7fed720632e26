/// \file
/// What a gateway does with the rows of the store.
#pragma once

#include "process/gateway_state.hpp"
#include "process/logging.hpp"
#include "process/stored_row.hpp"

#include <exception>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace pistachiopost {

/// Follows the operator's table: puts newer configurations in force.
template <typename Codec>
class configuration_follower
{
public:
    explicit configuration_follower(gateway_state& state) : state_(state) {}

    void take_table(const row_batch& batch, time_point now) { take_changes(batch, now); }
    void take_changes(const row_batch& batch, time_point)
    {
        for (const auto& it : batch.rows)
        {
            if (it.key == Codec::configuration_key && !it.removed)
            {
                take(it);
            }
        }
    }
    void store_out(time_point) {}
    void store_back(time_point) {}

private:
    void take(const stored_row& row)
    {
        try
        {
            auto next = std::make_shared<const route_table>(
                Codec::decode_configuration(row.value));
            const auto version = next->version();
            if (state_.routes.advance(std::move(next)))
            {
                log_event(log_level::warn, "configuration in force",
                          {{"version", version}, {"row_version", row.version}});
            }
        }
        catch (const std::runtime_error& it)
        {
            state_.metrics.count("unreadable_configurations");
            log_event(log_level::error, "configuration ignored",
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

    void take_table(const row_batch& batch, time_point now)
    {
        std::vector<backend_record> records;
        for (const auto& it : batch.rows)
        {
            if (auto record = decode(it))
            {
                records.push_back(std::move(*record));
            }
        }
        state_.work.update_registry(now, [&](auto& it) { it.replace_all(records, now); });
        state_.knows_backends = true;
        log_event(log_level::info, "list of backend servers read",
                  {{"count", static_cast<std::uint64_t>(records.size())},
                   {"row_version", batch.version}});
    }

    void take_changes(const row_batch& batch, time_point now)
    {
        for (const auto& row : batch.rows)
        {
            const auto record = row.removed ? std::nullopt : decode(row);
            log_event(
                log_level::info, "backend server changed",
                {{"backend", row.key},
                 {"state", record ? (record->leaving ? "leaving" : "ready") : "gone"},
                 {"row_version", row.version}});
            state_.work.update_registry(now, [&](auto& it) {
                record ? it.upsert(*record, now) : it.remove(row.key, now);
            });
        }
    }

    void store_out(time_point now)
    {
        state_.work.update_registry(now,
                                    [now](auto& it) { it.mark_source_unavailable(now); });
    }
    void store_back(time_point now)
    {
        state_.work.update_registry(now,
                                    [now](auto& it) { it.mark_source_available(now); });
    }

private:
    std::optional<backend_record> decode(const stored_row& row)
    {
        std::string fault;
        auto record = Codec::decode_backend(row.key, row.value, fault);
        if (!record)
        {
            state_.metrics.count("unreadable_backends");
            log_event(log_level::warn, "entry of a backend server ignored",
                      {{"backend", row.key}, {"fault", fault}});
        }
        return record;
    }

    gateway_state& state_;
};

/// Follows the gateways' own table: where the others are reached.
class peer_follower
{
public:
    /// `set_peers` gets the addresses of all other gateways.
    peer_follower(std::string own,
                  std::function<void(const std::vector<endpoint>&)> set_peers)
        : own_(std::move(own)), set_peers_(std::move(set_peers))
    {
    }

    void take_table(const row_batch& batch, time_point now);
    void take_changes(const row_batch& batch, time_point now);
    void store_out(time_point) {}
    void store_back(time_point) {}

private:
    std::string own_;
    std::function<void(const std::vector<endpoint>&)> set_peers_;
    std::map<std::string, endpoint> peers_;
};

} // namespace pistachiopost
