#include "process/membership/row_order.hpp"

#include <algorithm>

namespace pistachiopost {

const stored_row* find_row(std::span<const stored_row> rows, std::string_view key)
{
    const auto it = std::find_if(rows.begin(), rows.end(), [&](const stored_row& row) {
        return row.key == key && !row.removed;
    });
    return it == rows.end() ? nullptr : &*it;
}

std::optional<std::vector<std::string>>
find_preceding_rows(std::span<const stored_row> rows, std::string_view key)
{
    const auto* own = find_row(rows, key);
    if (own == nullptr)
    {
        return std::nullopt;
    }
    std::vector<std::string> preceding;
    for (const auto& it : rows)
    {
        // Rows of the same version may have been written in either order.
        if (!it.removed && it.key != key && it.version <= own->version)
        {
            preceding.push_back(it.key);
        }
    }
    return preceding;
}

} // namespace pistachiopost
