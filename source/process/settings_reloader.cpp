#include "process/settings_reloader.hpp"

#include "process/settings_document.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <utility>

namespace pistachiopost {

namespace {

/// Copies one setting and records its name if it differs.
template <typename Value>
void apply_setting(Value& running, const Value& read, std::string_view name,
                   settings_change& it)
{
    if (running != read)
    {
        running = read;
        it.applied.push_back(name);
    }
}

template <typename Value>
void note_fixed_setting(const Value& running, const Value& read, std::string_view name,
                        settings_change& it)
{
    if (running != read)
    {
        it.restart_required.push_back(name);
    }
}

} // namespace

settings_change apply_reloadable(gateway_settings& running, const gateway_settings& read)
{
    settings_change it;
    apply_setting(running.self.min_log_level, read.self.min_log_level, "/log_level", it);
    apply_setting(running.max_connections, read.max_connections,
                  "/limits/max_connections", it);
    apply_setting(running.repeats.ratio, read.repeats.ratio, "/limits/repeat_ratio", it);
    apply_setting(running.repeats.slack, read.repeats.slack, "/limits/repeat_slack", it);
    apply_setting(running.repeats.window, read.repeats.window, "/limits/repeat_window_ms",
                  it);
    apply_setting(running.stop_grace, read.stop_grace, "/limits/stop_grace_ms", it);
    note_fixed_setting(running.self.vm, read.self.vm, "/vm", it);
    note_fixed_setting(running.self.zone, read.self.zone, "/zone", it);
    note_fixed_setting(running.self.region, read.self.region, "/region", it);
    note_fixed_setting(running.zone_regions, read.zone_regions, "/zones", it);
    note_fixed_setting(running.listen, read.listen, "/listen", it);
    note_fixed_setting(running.readiness, read.readiness, "/readiness", it);
    note_fixed_setting(running.metrics, read.metrics, "/metrics", it);
    note_fixed_setting(running.peers, read.peers, "/peers", it);
    note_fixed_setting(running.store, read.store, "/store", it);
    return it;
}

settings_reloader::settings_reloader(std::string path, gateway_settings running,
                                     apply_handler apply)
    : path_(std::move(path)), running_(std::move(running)), apply_(std::move(apply))
{
}

settings_reloader::file_stamp settings_reloader::current_stamp() const
{
    file_stamp it;
    std::error_code ec;
    it.written = std::filesystem::last_write_time(path_, ec);
    it.bytes = std::filesystem::file_size(path_, ec); // a missing file has a stamp, too
    return it;
}

void settings_reloader::poll(bool requested)
{
    const auto now = current_stamp();
    if (std::exchange(last_stamp_, now) != now || requested)
    {
        reload(requested);
    }
}

void settings_reloader::reload(bool requested)
{
    try
    {
        const auto read = read_settings_file(path_);
        const auto* gateway = std::get_if<gateway_settings>(&read);
        if (gateway == nullptr)
        {
            log_event(log_level::error,
                      "settings file is for another role; settings unchanged",
                      {{"file", path_}});
            return;
        }
        const auto change = apply_reloadable(running_, *gateway);
        if (!change.applied.empty())
        {
            apply_(running_);
        }
        if (change.applied.empty() && change.restart_required.empty() && !requested)
        {
            return;
        }
        log_event(log_level::warn, "settings reloaded",
                  {{"taken", fmt::format("{}", fmt::join(change.applied, " "))},
                   {"need_restart",
                    fmt::format("{}", fmt::join(change.restart_required, " "))}});
    }
    catch (const settings_error& it)
    {
        log_event(log_level::error, "invalid settings file; settings unchanged",
                  {{"file", path_}, {"faults", it.what()}});
    }
}

} // namespace pistachiopost
