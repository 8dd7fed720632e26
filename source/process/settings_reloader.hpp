/// \file
/// Reloads changed settings while a gateway runs.
#pragma once

#include "process/settings.hpp"

#include <filesystem>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Differences between the active settings and those in the file. Names are paths in the
/// settings document.
struct settings_change
{
    std::vector<std::string_view> applied;          ///< Changed and applied.
    std::vector<std::string_view> restart_required; ///< Changed, but fixed until restart.
};

/// Copies the limits and the log level of `read` to `running`; addresses and names are
/// fixed.
settings_change apply_reloadable(gateway_settings& running, const gateway_settings& read);

/// Watches one settings file. Not thread-safe.
class settings_reloader
{
public:
    /// Called with the new settings after a reloadable setting has changed.
    using apply_handler = std::function<void(const gateway_settings&)>;

    /// `running` are the settings read at startup; the first poll reads the file again.
    settings_reloader(std::string path, gateway_settings running, apply_handler apply);

    /// Reloads the file if it has changed since the last poll, or if `requested`. Invalid
    /// settings are logged and have no effect.
    void poll(bool requested);

private:
    /// Detects changes of the file without reading it.
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
    file_stamp last_stamp_; ///< As of the last poll.
};

} // namespace pistachiopost
