/// \file
/// Polls the platform for configuration versions and the VM list.
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

/// A source of configuration versions. Both functions throw table_error.
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

/// Reads the head version and applies it if it is newer; returns whether it was.
/// Throws table_error or version_error and keeps the old version then.
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

/// Returns 80% to 120% of `interval`, so that the processes do not poll in step.
inline milliseconds add_jitter(milliseconds interval, std::minstd_rand& random)
{
    const auto percent = std::uniform_int_distribution<int>(80, 120)(random);
    return interval * percent / 100;
}

/// Polls the configuration until `stop`.
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
            log(log_level::warn,
                fmt::format("cannot read the configuration: {}", it.what()));
        }
        catch (const version_error& it)
        {
            log(log_level::error, fmt::format("configuration rejected: {}", it.what()));
        }
    } while (!stop.wait_for(add_jitter(state.settings.poll_interval, random)));
}

/// Polls the VM list until `stop`.
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
            log(log_level::warn, fmt::format("cannot read the VM list: {}", it.what()));
        }
    } while (!stop.wait_for(add_jitter(state.settings.poll_interval, random)));
}

} // namespace pistachiopost
