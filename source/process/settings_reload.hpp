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
    std::vector<std::string_view> taken; ///< Changed and in force from now on.
    std::vector<std::string_view> fixed; ///< Changed, but only a restart takes them over.
};

/// Takes the limits and the log level of `read` over into `running`; addresses and names
/// stay.
settings_change take_over(gateway_settings& running, const gateway_settings& read);

/// Watches one settings file. For one task.
class settings_reload
{
public:
    /// Called with the new settings once something changed that can be taken over.
    using effect = std::function<void(const gateway_settings&)>;

    /// `running` is what was read at the start; the first look reads the file again.
    settings_reload(std::string path, gateway_settings running, effect apply);

    /// Reads the file if it has changed since the last look, or if `asked`. Settings with
    /// faults are logged and change nothing.
    void look(bool asked);

private:
    /// What tells one state of the file from another without reading it.
    struct file_mark
    {
        std::filesystem::file_time_type written;
        std::uintmax_t bytes = 0;

        bool operator==(const file_mark&) const = default;
    };

    [[nodiscard]] file_mark mark() const;
    void reload(bool asked);

    std::string path_;
    gateway_settings running_;
    effect apply_;
    file_mark seen_; ///< At the last look.
};

} // namespace pistachiopost
