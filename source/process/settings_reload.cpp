#include "process/settings_reload.hpp"

#include "process/settings_document.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <utility>

namespace pistachiopost {

namespace {

/// Copies one setting and notes its name if it differs.
template <typename Value>
void take(Value& running, const Value& read, std::string_view name, settings_change& it)
{
    if (running != read)
    {
        running = read;
        it.taken.push_back(name);
    }
}

template <typename Value>
void keep(const Value& running, const Value& read, std::string_view name,
          settings_change& it)
{
    if (running != read)
    {
        it.fixed.push_back(name);
    }
}

} // namespace

settings_change take_over(gateway_settings& running, const gateway_settings& read)
{
    settings_change it;
    take(running.self.min_log_level, read.self.min_log_level, "/log_level", it);
    take(running.max_connections, read.max_connections, "/limits/max_connections", it);
    take(running.repeats.ratio, read.repeats.ratio, "/limits/repeat_ratio", it);
    take(running.repeats.slack, read.repeats.slack, "/limits/repeat_slack", it);
    take(running.repeats.window, read.repeats.window, "/limits/repeat_window_ms", it);
    take(running.stop_grace, read.stop_grace, "/limits/stop_grace_ms", it);
    keep(running.self.vm, read.self.vm, "/vm", it);
    keep(running.self.zone, read.self.zone, "/zone", it);
    keep(running.self.region, read.self.region, "/region", it);
    keep(running.listen, read.listen, "/listen", it);
    keep(running.readiness, read.readiness, "/readiness", it);
    keep(running.metrics, read.metrics, "/metrics", it);
    keep(running.peers, read.peers, "/peers", it);
    keep(running.store, read.store, "/store", it);
    return it;
}

settings_reload::settings_reload(std::string path, gateway_settings running, effect apply)
    : path_(std::move(path)), running_(std::move(running)), apply_(std::move(apply))
{
}

settings_reload::file_mark settings_reload::mark() const
{
    file_mark it;
    std::error_code ec;
    it.written = std::filesystem::last_write_time(path_, ec);
    it.bytes = std::filesystem::file_size(path_, ec); // a missing file has a mark too
    return it;
}

void settings_reload::look(bool asked)
{
    const auto now = mark();
    if (std::exchange(seen_, now) != now || asked)
    {
        reload(asked);
    }
}

void settings_reload::reload(bool asked)
{
    try
    {
        const auto read = read_settings_file(path_);
        const auto* gateway = std::get_if<gateway_settings>(&read);
        if (gateway == nullptr)
        {
            log_event(log_level::error, "changed settings are of another role; unchanged",
                      {{"file", path_}});
            return;
        }
        const auto change = take_over(running_, *gateway);
        if (!change.taken.empty())
        {
            apply_(running_);
        }
        if (change.taken.empty() && change.fixed.empty() && !asked)
        {
            return;
        }
        log_event(log_level::warn, "settings reloaded",
                  {{"taken", fmt::format("{}", fmt::join(change.taken, " "))},
                   {"need_restart", fmt::format("{}", fmt::join(change.fixed, " "))}});
    }
    catch (const settings_error& it)
    {
        log_event(log_level::error, "changed settings refused; the old ones stay",
                  {{"file", path_}, {"faults", it.what()}});
    }
}

} // namespace pistachiopost
