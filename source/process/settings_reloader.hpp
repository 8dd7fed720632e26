/// \file
/// Takes over changed settings while a gateway runs.
#pragma once

#include "process/settings.hpp"

#include <filesystem>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// What differs between the settings in force and those read anew. Names are paths in the
/// settings document.
struct settings_change
{
    std::vector<std::string_view> applied; ///< Changed and in force from now on.
    std::vector<std::string_view>
        restart_required; ///< Changed, but only a restart takes them over.
};

/// Takes the limits and the log level of `read` over into `running`; addresses and names
/// stay.
settings_change apply_reloadable(gateway_settings& running, const gateway_settings& read);

/// Watches one settings file. For one task.
class settings_reloader
{
public:
    /// Called with the new settings once something changed that can be taken over.
    using apply_handler = std::function<void(const gateway_settings&)>;

    /// `running` is what was read at the start; the first look reads the file again.
    settings_reloader(std::string path, gateway_settings running, apply_handler apply);

    /// Reads the file if it has changed since the last look, or if `asked`. Settings with
    /// faults are logged and change nothing.
    void poll(bool requested);

private:
    /// What tells one state of the file from another without reading it.
    struct file_stamp
    {
        std::filesystem::file_time_type written;
        std::uintmax_t bytes = 0;

        bool operator==(const file_stamp&) const = default;
    };

    [[nodiscard]] file_stamp current_stamp() const;
    void reload(bool requested);

    std::string path_;
    gateway_settings running_;
    apply_handler apply_;
    file_stamp last_stamp_; ///< At the last look.
};

} // namespace pistachiopost
