#include "process/json_reader.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pistachiopost {

namespace {

const nlohmann::json empty_object = nlohmann::json::object();

constexpr std::size_t max_edit_distance = 3; // insertions, deletions and replacements

std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i)
    {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t k = 1; k <= b.size(); ++k)
        {
            const auto replaced = diagonal + (a[i - 1] == b[k - 1] ? 0 : 1);
            diagonal = row[k];
            row[k] = std::min({row[k] + 1, row[k - 1] + 1, replaced});
        }
    }
    return row.back();
}

} // namespace

std::string_view nearest_match(std::string_view word,
                               std::span<const std::string_view> known)
{
    std::string_view best;
    auto best_distance = max_edit_distance + 1;
    for (const auto it : known)
    {
        const auto distance = edit_distance(word, it);
        if (distance < best_distance)
        {
            best = it;
            best_distance = distance;
        }
    }
    return best;
}

json_reader::json_reader(const nlohmann::json& object, std::string path,
                         std::vector<settings_diagnostic>& diagnostics)
    : object_(&object), path_(std::move(path)), diagnostics_(&diagnostics)
{
    if (!object.is_object())
    {
        diagnostics_->push_back({path_.empty() ? "/" : path_, "must be an object"});
        object_ = &empty_object;
    }
}

std::string json_reader::string(std::string_view name,
                                const std::optional<std::string>& fallback)
{
    const auto* it = find(name, !fallback);
    if (it == nullptr)
    {
        return fallback.value_or("");
    }
    if (!it->is_string() || it->get_ref<const std::string&>().empty())
    {
        add_diagnostic(name, "must be a non-empty string");
        return {};
    }
    return it->get<std::string>();
}

std::uint64_t json_reader::integer(std::string_view name, number_range range,
                                   std::optional<std::uint64_t> fallback)
{
    std::optional<double> number_fallback;
    if (fallback)
    {
        number_fallback = static_cast<double>(*fallback);
    }
    const auto value = number(name, range, number_fallback);
    if (value != std::floor(value))
    {
        add_diagnostic(name, "must be a whole number");
    }
    return static_cast<std::uint64_t>(value);
}

double json_reader::number(std::string_view name, number_range range,
                           std::optional<double> fallback)
{
    const auto* it = find(name, !fallback);
    if (it == nullptr)
    {
        return fallback.value_or(range.min);
    }
    if (!it->is_number())
    {
        add_diagnostic(
            name, fmt::format("must be a number from {} to {}", range.min, range.max));
        return range.min;
    }
    const auto value = it->get<double>();
    if (value < range.min || value > range.max)
    {
        add_diagnostic(name, fmt::format("is {}, must be from {} to {}", value, range.min,
                                         range.max));
        return range.min;
    }
    return value;
}

bool json_reader::boolean(std::string_view name, std::optional<bool> fallback)
{
    const auto* it = find(name, !fallback);
    if (it == nullptr)
    {
        return fallback.value_or(false);
    }
    if (!it->is_boolean())
    {
        add_diagnostic(name, "must be true or false");
        return false;
    }
    return it->get<bool>();
}

std::size_t json_reader::one_of(std::string_view name,
                                std::span<const std::string_view> allowed,
                                std::optional<std::size_t> fallback)
{
    const auto* it = find(name, !fallback);
    if (it == nullptr)
    {
        return fallback.value_or(0);
    }
    const auto value = it->is_string() ? it->get<std::string>() : std::string();
    const auto found = std::find(allowed.begin(), allowed.end(), value);
    if (found == allowed.end())
    {
        add_diagnostic(name, fmt::format("must be one of: {}", fmt::join(allowed, ", ")));
        return 0;
    }
    return static_cast<std::size_t>(found - allowed.begin());
}

json_reader json_reader::object(std::string_view name, bool required)
{
    const auto* it = find(name, required);
    return {it == nullptr ? empty_object : *it, path_of(name), *diagnostics_};
}

std::vector<std::string> json_reader::field_names()
{
    std::vector<std::string> all;
    for (const auto& it : object_->items())
    {
        all.push_back(it.key());
        accessed_fields_.insert(it.key());
    }
    return all;
}

bool json_reader::has(std::string_view name) const
{
    return object_->find(name) != object_->end();
}

void json_reader::add_diagnostic(std::string_view name, std::string_view message)
{
    diagnostics_->push_back({path_of(name), std::string(message)});
}

void json_reader::report_unknown_fields()
{
    const std::vector<std::string_view> known(accessed_fields_.begin(),
                                              accessed_fields_.end());
    for (const auto& it : object_->items())
    {
        if (accessed_fields_.contains(it.key()))
        {
            continue;
        }
        const auto suggestion = nearest_match(it.key(), known);
        add_diagnostic(
            it.key(),
            suggestion.empty()
                ? fmt::format("is unknown; allowed here: {}", fmt::join(known, ", "))
                : fmt::format("is unknown; did you mean {}?", suggestion));
    }
}

const nlohmann::json* json_reader::find(std::string_view name, bool required)
{
    accessed_fields_.emplace(name);
    const auto it = object_->find(name);
    if (it != object_->end())
    {
        return &*it;
    }
    if (required)
    {
        add_diagnostic(name, "is missing");
    }
    return nullptr;
}

std::string json_reader::path_of(std::string_view name) const
{
    return fmt::format("{}/{}", path_, name);
}

} // namespace pistachiopost
