#include "connection/message_head.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace pistachiopost {

bool same_header_name(std::string_view a, std::string_view b)
{
    const auto lower = [](char c) { return std::tolower(static_cast<unsigned char>(c)); };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return lower(x) == lower(y); });
}

const std::string* message_head::find(std::string_view name) const
{
    for (const auto& it : fields)
    {
        if (same_header_name(it.name, name))
        {
            return &it.value;
        }
    }
    return nullptr;
}

std::string_view message_head::value(std::string_view name) const
{
    const auto* it = find(name);
    return it == nullptr ? std::string_view() : std::string_view(*it);
}

bool is_connection_field(std::string_view name)
{
    constexpr std::array<std::string_view, 9> names{
        "Connection", "Keep-Alive",        "Proxy-Connection", "TE", "Trailer", "Upgrade",
        "Expect",     "Transfer-Encoding", "Content-Length"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view it) { return same_header_name(it, name); });
}

} // namespace pistachiopost
