/// \file
/// Reads a JSON object field by field and collects every fault on the way.
#pragma once

#include "process/settings_error.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Allowed range of a number.
struct number_range
{
    double least;
    double most;
};

/// Reader of one object. Fields that nobody asked for are faults of their own,
/// found by finish().
class json_reader
{
public:
    /// Reads `object`, which stands at `path`, and adds faults to `faults`.
    json_reader(const nlohmann::json& object, std::string path,
                std::vector<settings_fault>& faults);

    /// Returns a text; a missing one is a fault unless `fallback` is given.
    std::string text(std::string_view name,
                     const std::optional<std::string>& fallback = {});
    /// Returns a whole number within `range`.
    std::uint64_t integer(std::string_view name, number_range range,
                          std::optional<std::uint64_t> fallback = {});
    /// Returns a number within `range`.
    double number(std::string_view name, number_range range,
                  std::optional<double> fallback = {});
    /// Returns a truth value.
    bool flag(std::string_view name, std::optional<bool> fallback = {});
    /// Returns the position of a text among `allowed`.
    std::size_t one_of(std::string_view name, std::span<const std::string_view> allowed,
                       std::optional<std::size_t> fallback = {});
    /// Returns a reader for a nested object. A missing optional one reads as empty.
    json_reader object(std::string_view name, bool required);
    /// Returns the names of all fields; counts them as asked for.
    std::vector<std::string> names();
    /// Returns whether the field is there.
    [[nodiscard]] bool has(std::string_view name) const;
    /// Adds a fault at the field `name`.
    void fault(std::string_view name, std::string_view problem);
    /// Reports the fields that nobody asked for.
    void finish();

private:
    const nlohmann::json* find(std::string_view name, bool required);
    [[nodiscard]] std::string path_of(std::string_view name) const;

    const nlohmann::json* object_;
    std::string path_;
    std::vector<settings_fault>* faults_;
    std::set<std::string, std::less<>> asked_;
};

/// Returns the member of `known` that is nearest to `word`, or an empty view if
/// none is near.
std::string_view nearest_match(std::string_view word,
                               std::span<const std::string_view> known);

} // namespace pistachiopost
