#include "version/plan_document.hpp"

#include "version/configuration_document.hpp"
#include "version/version_error.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>

namespace pistachiopost {

namespace {

using nlohmann::json;

/// Parses the text of a field if it is a number or a boolean; otherwise keeps it as text.
json field_value(const intent_field& it)
{
    const auto value = json::parse(it.value, nullptr, false);
    return value.is_number() || value.is_boolean() ? value : json(it.value);
}

/// Stores a customer's key as its digest and any other field unchanged.
void write_field(json& item, const intent_field& it)
{
    if (it.name == "key" || it.name == "key_digest")
    {
        const auto digest = it.name == "key" ? key_digest(it.value) : it.value;
        item["keys"][digest] = json::object();
    }
    else
    {
        item[it.name] = field_value(it);
    }
}

std::uint64_t total_weight(const json& document)
{
    std::uint64_t sum = 0;
    const auto customers = document.value("customers", json::object());
    for (const auto& it : customers)
    {
        sum += it.value("weight", std::uint64_t{1});
    }
    return sum;
}

template <typename Enum, std::size_t N>
Enum parse_name(std::string_view name, const std::array<Enum, N>& all)
{
    for (const auto it : all)
    {
        if (to_string(it) == name)
        {
            return it;
        }
    }
    throw version_error(fmt::format("a plan contains the unknown value {}", name));
}

constexpr std::array all_actions{intent_action::add, intent_action::set,
                                 intent_action::remove};
constexpr std::array all_states{plan_state::open, plan_state::confirmed,
                                plan_state::discarded};

} // namespace

std::string_view to_string(intent_action action)
{
    switch (action)
    {
    case intent_action::add:
        return "add";
    case intent_action::set:
        return "set";
    case intent_action::remove:
        break;
    }
    return "remove";
}

std::string_view to_string(plan_state state)
{
    switch (state)
    {
    case plan_state::open:
        return "open";
    case plan_state::confirmed:
        return "confirmed";
    case plan_state::discarded:
        break;
    }
    return "discarded";
}

std::string apply_intent(std::string_view document, const intent& change,
                         std::uint64_t version)
{
    auto root = json::parse(document, nullptr, false);
    if (!root.is_object())
    {
        throw version_error("the configuration is not a JSON object");
    }
    auto& section = root[change.section];
    if (section.is_null())
    {
        section = json::object();
    }
    const bool exists = section.contains(change.item);
    if (change.action == intent_action::add && exists)
    {
        throw version_error(
            fmt::format("{} is already in {}; use set", change.item, change.section));
    }
    if (change.action != intent_action::add && !exists)
    {
        throw version_error(fmt::format("{} is not in {}", change.item, change.section));
    }
    if (change.action == intent_action::remove)
    {
        section.erase(change.item);
    }
    else
    {
        auto& item = section[change.item];
        item = item.is_null() ? json::object() : item;
        for (const auto& it : change.fields)
        {
            write_field(item, it);
        }
    }
    root["version"] = version;
    auto text = root.dump();
    parse_configuration(text); // throws if entries would reject the document
    return text;
}

std::string format_plan(const plan& it)
{
    auto fields = json::object();
    for (const auto& field : it.change.fields)
    {
        // Plans store the digest of a key, never its plain text.
        const bool secret = field.name == "key";
        fields[secret ? "key_digest" : field.name] =
            secret ? key_digest(field.value) : field.value;
    }
    return json{{"id", it.id},
                {"action", to_string(it.change.action)},
                {"section", it.change.section},
                {"item", it.change.item},
                {"fields", std::move(fields)},
                {"base", it.base_version},
                {"author", it.author},
                {"effects", it.effects},
                {"state", to_string(it.state)},
                {"version", it.version},
                {"confirmed_by", it.confirmed_by},
                {"reason", it.reason},
                {"confirmed_at", it.confirmed_at}}
        .dump();
}

plan parse_plan(std::string_view text)
{
    try
    {
        const auto document = json::parse(text);
        plan it;
        it.id = document.at("id").get<std::string>();
        it.change.action =
            parse_name(document.at("action").get<std::string>(), all_actions);
        it.change.section = document.at("section").get<std::string>();
        it.change.item = document.at("item").get<std::string>();
        for (const auto& field : document.at("fields").items())
        {
            it.change.fields.push_back({field.key(), field.value().get<std::string>()});
        }
        it.base_version = document.at("base").get<std::uint64_t>();
        it.author = document.at("author").get<std::string>();
        it.effects = document.at("effects").get<std::vector<std::string>>();
        it.state = parse_name(document.at("state").get<std::string>(), all_states);
        it.version = document.at("version").get<std::uint64_t>();
        it.confirmed_by = document.at("confirmed_by").get<std::string>();
        it.reason = document.at("reason").get<std::string>();
        it.confirmed_at = document.at("confirmed_at").get<std::int64_t>();
        return it;
    }
    catch (const json::exception& it)
    {
        throw version_error(std::string("invalid plan: ") + it.what());
    }
}

std::string describe_section(std::string_view document, std::string_view section,
                             std::string_view item)
{
    const auto root = json::parse(document, nullptr, false);
    const auto items = root.value(std::string(section), json::object());
    std::string text;
    for (const auto& [name, value] : items.items())
    {
        if (item.empty() || name == item)
        {
            text += fmt::format("{:24} {}\n", name, value.dump());
        }
    }
    return text;
}

std::vector<std::string> describe_shares(std::string_view document, const intent& change)
{
    if (change.section != "customers")
    {
        return {};
    }
    const auto before = json::parse(document);
    const auto after = json::parse(
        apply_intent(document, change, before.value("version", std::uint64_t{0}) + 1));
    const auto share = [&change](const json& root) {
        const auto customers = root.value("customers", json::object());
        const auto sum = static_cast<double>(total_weight(root));
        const auto it = customers.value(change.item, json(nullptr));
        return it.is_null() || sum == 0 ? 0.0 : 100.0 * it.value("weight", 1.0) / sum;
    };
    return {fmt::format("share of {}: {:.1f}% before, {:.1f}% after", change.item,
                        share(before), share(after)),
            fmt::format("customers: {} before, {} after",
                        before.value("customers", json::object()).size(),
                        after.value("customers", json::object()).size())};
}

} // namespace pistachiopost
