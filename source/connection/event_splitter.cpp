#include "connection/event_splitter.hpp"

#include <charconv>
#include <cstdint>

namespace pistachiopost {

namespace {

constexpr std::string_view blank_line = "\n\n";
constexpr std::string_view id_field = "id:";

/// Returns the value of the `id` field at `pos`.
std::string_view id_at(std::string_view events, std::size_t pos)
{
    auto value = events.substr(pos + id_field.size());
    value = value.substr(0, value.find('\n'));
    if (value.starts_with(' '))
    {
        value.remove_prefix(1);
    }
    return value;
}

std::optional<std::uint64_t> to_number(std::string_view text)
{
    std::uint64_t it = 0;
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, it);
    return ec == std::errc() && end == last ? std::optional(it) : std::nullopt;
}

/// Returns the value of the first `id` field in `events`, if there is one.
std::optional<std::string_view> first_event_id(std::string_view events)
{
    for (auto pos = events.find(id_field); pos != std::string_view::npos;
         pos = events.find(id_field, pos + 1))
    {
        if (pos == 0 || events[pos - 1] == '\n')
        {
            return id_at(events, pos);
        }
    }
    return std::nullopt;
}

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
        return std::string(id_at(events, pos));
    }
    return std::nullopt;
}

} // namespace

bool event_splitter::carries_data(std::string_view events)
{
    constexpr std::string_view field = "data";
    return events.starts_with(field) || events.find("\ndata") != std::string_view::npos;
}

bool event_splitter::repeats_events() const
{
    const auto end = buffer_.rfind(blank_line);
    if (end == std::string::npos || !last_id_)
    {
        return false;
    }
    const auto id = first_event_id(std::string_view(buffer_).substr(0, end));
    if (!id)
    {
        return false;
    }
    const auto next = to_number(*id);
    const auto last = to_number(*last_id_);
    return next && last ? *next <= *last : *id == *last_id_;
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
