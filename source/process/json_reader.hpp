/// \file
/// Typed reader of JSON objects that collects all errors instead of stopping at the
/// first.
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

/// Allowed range of a number, both ends included.
struct number_range
{
    double min;
    double max;
};

/// Reads the fields of one object. report_unknown_fields() reports fields that were never
/// read as unknown.
class json_reader
{
public:
    /// Reads `object`, located at the JSON pointer `path`, and appends errors to
    /// `diagnostics`.
    json_reader(const nlohmann::json& object, std::string path,
                std::vector<settings_diagnostic>& diagnostics);

    /// Returns a string. As in all getters with a `fallback`, a missing field is an error
    /// unless one is given.
    std::string string(std::string_view name,
                       const std::optional<std::string>& fallback = {});
    /// Returns an integer within `range`.
    std::uint64_t integer(std::string_view name, number_range range,
                          std::optional<std::uint64_t> fallback = {});
    /// Returns a number within `range`.
    double number(std::string_view name, number_range range,
                  std::optional<double> fallback = {});
    /// Returns a Boolean.
    bool boolean(std::string_view name, std::optional<bool> fallback = {});
    /// Returns the index of a string in `allowed`.
    std::size_t one_of(std::string_view name, std::span<const std::string_view> allowed,
                       std::optional<std::size_t> fallback = {});
    /// Returns a reader of a nested object. A missing optional object reads as empty.
    json_reader object(std::string_view name, bool required);
    /// Returns the names of all fields and marks them as read.
    std::vector<std::string> field_names();
    /// Returns whether the object has the field.
    [[nodiscard]] bool has(std::string_view name) const;
    /// Appends an error located at the field `name`.
    void add_diagnostic(std::string_view name, std::string_view message);
    /// Appends an error for each field that was never read.
    void report_unknown_fields();

private:
    const nlohmann::json* find(std::string_view name, bool required);
    [[nodiscard]] std::string path_of(std::string_view name) const;

    const nlohmann::json* object_;
    std::string path_;
    std::vector<settings_diagnostic>* diagnostics_;
    std::set<std::string, std::less<>> accessed_fields_;
};

/// Returns the member of `known` with the smallest edit distance to `word`, or an empty
/// view if none is similar.
std::string_view nearest_match(std::string_view word,
                               std::span<const std::string_view> known);

} // namespace pistachiopost
