/// \file
/// Follows what the platform publishes: the configuration head and the VM list.
#pragma once

#include "process/agent_links.hpp"
#include "process/entry_state.hpp"
#include "process/logging.hpp"
#include "process/stop_flag.hpp"
#include "process/subset.hpp"
#include "request/claim.hpp"
#include "version/configuration_document.hpp"
#include "version/version_error.hpp"

#include <fmt/format.h>

#include <concepts>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace pistachiopost {

/// Where configuration versions are read. Both functions throw table_error.
template <typename Source>
concept configuration_source = requires(Source& it, std::uint64_t version)
{
    {
        it.head_version()
        } -> std::same_as<std::uint64_t>;
    {
        it.configuration(version)
        } -> std::same_as<std::string>;
};

/// Reads the head and puts a newer version in force; returns whether there was
/// one. Throws table_error and version_error, after which the old version stays.
template <configuration_source Source>
bool follow_configuration(Source& source, configuration_holder& holder)
{
    const auto head = source.head_version();
    if (head <= holder.version())
    {
        return false;
    }
    return holder.advance(parse_configuration(source.configuration(head)));
}

/// Spreads polls of many processes: returns between 80% and 120% of `interval`.
inline milliseconds add_jitter(milliseconds interval, std::minstd_rand& random)
{
    const auto percent = std::uniform_int_distribution<int>(80, 120)(random);
    return interval * percent / 100;
}

/// The task that follows the configuration until `stop`.
template <configuration_source Source>
void watch_configuration(Source source, entry_state& state, stop_flag& stop)
{
    std::minstd_rand random(std::random_device{}());
    do
    {
        try
        {
            if (follow_configuration(source, state.configurations))
            {
                state.directory.set_drained(state.configurations.current()->drained());
                log(log_level::info, "configuration in force",
                    {.version = state.configurations.version()});
            }
        }
        catch (const table_error& it)
        {
            log(log_level::warn, fmt::format("configuration not read: {}", it.what()));
        }
        catch (const version_error& it)
        {
            log(log_level::error, fmt::format("configuration refused: {}", it.what()));
        }
    } while (!stop.wait_for(add_jitter(state.settings.poll_interval, random)));
}

/// The task that follows the VM list until `stop`.
template <typename Source>
void watch_vm_list(Source source, entry_state& state, agent_links& links, stop_flag& stop)
{
    std::minstd_rand random(std::random_device{}());
    const auto& self = state.settings.self;
    do
    {
        try
        {
            if (const auto list = source.fetch())
            {
                state.directory.set_list(*list);
                const auto size = links_per_target(*list, state.settings.subset_size,
                                                   state.settings.max_links);
                links.set_servers(choose_subset(*list, self.vm, self.zone, size));
            }
        }
        catch (const connection_error& it)
        {
            log(log_level::warn, fmt::format("VM list not read: {}", it.what()));
        }
    } while (!stop.wait_for(add_jitter(state.settings.poll_interval, random)));
}

} // namespace pistachiopost
