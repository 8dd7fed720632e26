#include "connection/event_splitter.hpp"

namespace pistachiopost {

namespace {

constexpr std::string_view blank_line = "\n\n";
constexpr std::string_view id_field = "id:";

/// Returns the value of the last `id` field in `events`, if there is one.
std::optional<std::string> last_event_id(std::string_view events)
{
    for (auto pos = events.rfind(id_field); pos != std::string_view::npos;
         pos = pos == 0 ? std::string_view::npos : events.rfind(id_field, pos - 1))
    {
        if (pos != 0 && events[pos - 1] != '\n')
        {
            continue;
        }
        auto value = events.substr(pos + id_field.size());
        value = value.substr(0, value.find('\n'));
        if (value.starts_with(' '))
        {
            value.remove_prefix(1);
        }
        return std::string(value);
    }
    return std::nullopt;
}

} // namespace

bool event_splitter::carries_data(std::string_view events)
{
    constexpr std::string_view field = "data";
    return events.starts_with(field) || events.find("\ndata") != std::string_view::npos;
}

std::string event_splitter::take_complete_events()
{
    const auto end = buffer_.rfind(blank_line);
    if (end == std::string::npos)
    {
        return {};
    }
    auto events = buffer_.substr(0, end + blank_line.size());
    buffer_.erase(0, events.size());
    if (auto id = last_event_id(events))
    {
        last_id_ = std::move(id);
    }
    return events;
}

} // namespace pistachiopost
