/// \file
/// Versions of the platform's store.
#pragma once

#include <compare>
#include <cstdint>

namespace pistachiopost {

/// A version of the store. After its return from an older copy the store gives numbers
/// out again, so a number alone names no state.
struct store_version
{
    constexpr store_version() = default;
    constexpr store_version(std::uint64_t in_era, std::uint64_t n)
        : era(in_era), number(n)
    {
    }

    /// History of the store, a later one for each return from a copy; 0 if the store
    /// names none.
    std::uint64_t era = 0;
    std::uint64_t number = 0; ///< Within the era; 0 is before all changes.

    bool operator==(const store_version&) const = default;
    /// Any version of a later era is newer.
    constexpr std::strong_ordering operator<=>(const store_version& it) const
    {
        const auto by_era = era <=> it.era;
        return std::is_eq(by_era) ? number <=> it.number : by_era;
    }
};

} // namespace pistachiopost
