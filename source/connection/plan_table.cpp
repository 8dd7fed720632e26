#include "connection/plan_table.hpp"

#include "version/plan_document.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace pistachiopost {

namespace {

using nlohmann::json;

constexpr std::size_t max_indexed_plans = 200; // maximum length of the index

json write_operation(std::string_view table, std::string_view key, json expect,
                     json value)
{
    return {{"table", table},
            {"key", key},
            {"expect", std::move(expect)},
            {"write", std::move(value)}};
}

json field_equals(std::string_view field, json value)
{
    return {{"equals", {{field, std::move(value)}}}};
}

std::string version_key(std::uint64_t version)
{
    return fmt::format("version/{}", version);
}

} // namespace

plan_table::plan_table(const endpoint& remote, milliseconds timeout)
    : rows_(remote, timeout)
{
}

configuration_head plan_table::head()
{
    const auto text = rows_.read("configuration", "head");
    if (!text)
    {
        return {};
    }
    const auto row = json::parse(*text, nullptr, false);
    if (!row.is_object())
    {
        throw table_error("the configuration head is malformed");
    }
    return {row.value("version", std::uint64_t{0}), row.value("plan", std::string())};
}

std::string plan_table::document(std::uint64_t version)
{
    auto text = rows_.read("configuration", version_key(version));
    if (!text)
    {
        throw table_error(fmt::format("configuration version {} is missing", version));
    }
    return std::move(*text);
}

std::optional<plan> plan_table::find(std::string_view id)
{
    const auto text = rows_.read("plans", id);
    return text ? std::optional(parse_plan(*text)) : std::nullopt;
}

bool plan_table::commit(const plan& confirmed, std::uint64_t base,
                        const std::string& document)
{
    auto operations = json::array();
    operations.push_back(
        write_operation("configuration", "head", field_equals("version", base),
                        {{"version", confirmed.version}, {"plan", confirmed.id}}));
    operations.push_back(write_operation("configuration", version_key(confirmed.version),
                                         {{"absent", true}}, json::parse(document)));
    operations.push_back(write_operation("plans", confirmed.id,
                                         field_equals("state", "open"),
                                         json::parse(format_plan(confirmed))));
    return rows_.transact(operations.dump()).empty();
}

void plan_table::add(const plan& it)
{
    for (bool listed = false; !listed;)
    {
        const auto text = rows_.read("plans", "index");
        const auto known = text ? json::parse(*text) : json(nullptr);
        auto ids = known.is_null() ? json::array() : known.at("ids");
        ids.push_back(it.id);
        if (ids.size() > max_indexed_plans)
        {
            ids.erase(ids.begin());
        }
        auto operations = json::array();
        operations.push_back(write_operation("plans", "index",
                                             known.is_null()
                                                 ? json{{"absent", true}}
                                                 : field_equals("ids", known.at("ids")),
                                             {{"ids", ids}}));
        operations.push_back(write_operation("plans", it.id, {{"absent", true}},
                                             json::parse(format_plan(it))));
        listed = rows_.transact(operations.dump()).empty();
    }
}

bool plan_table::discard(const plan& it)
{
    auto discarded = it;
    discarded.state = plan_state::discarded;
    auto operations = json::array();
    operations.push_back(write_operation("plans", it.id, field_equals("state", "open"),
                                         json::parse(format_plan(discarded))));
    return rows_.transact(operations.dump()).empty();
}

std::vector<std::string> plan_table::newest()
{
    const auto text = rows_.read("plans", "index");
    return text ? json::parse(*text).at("ids").get<std::vector<std::string>>()
                : std::vector<std::string>{};
}

} // namespace pistachiopost
