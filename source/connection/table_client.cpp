#include "connection/table_client.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace pistachiopost {

namespace {

using nlohmann::json;

constexpr std::string_view claims_table = "claims";
constexpr std::string_view configuration_table = "configuration";

std::string_view name_of(claim_state state)
{
    switch (state)
    {
    case claim_state::claimed:
        return "claimed";
    case claim_state::done:
        return "done";
    case claim_state::unknown:
        break;
    }
    return "unknown";
}

claim_state state_of(std::string_view name)
{
    if (name == "claimed")
    {
        return claim_state::claimed;
    }
    return name == "done" ? claim_state::done : claim_state::unknown;
}

/// Returns the row key of a claim. The length prefix keeps keys of different customers
/// distinct.
std::string row_key(const claim_record& it)
{
    return fmt::format("{}:{}:{}", it.customer.size(), it.customer, it.key);
}

/// Encodes each byte as a code point below 256, because bodies may contain bytes that are
/// not valid in JSON strings.
std::string to_code_points(std::string_view bytes)
{
    std::string text;
    for (const char c : bytes)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x80)
        {
            text += c;
        }
        else
        {
            text += static_cast<char>(0xC0U | (byte >> 6U));
            text += static_cast<char>(0x80U | (byte & 0x3FU));
        }
    }
    return text;
}

std::string from_code_points(std::string_view text)
{
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const auto lead = static_cast<unsigned char>(text[i]);
        if (lead < 0x80 || i + 1 == text.size())
        {
            bytes += text[i];
            continue;
        }
        const auto next = static_cast<unsigned char>(text[++i]);
        bytes += static_cast<char>(((lead & 0x03U) << 6U) | (next & 0x3FU));
    }
    return bytes;
}

json to_json(const claim_record& it)
{
    return {{"customer", it.customer},
            {"key", it.key},
            {"claim", it.claim_id},
            {"fingerprint", it.fingerprint},
            {"state", name_of(it.state)},
            {"status", it.status},
            {"content_type", it.content_type},
            {"body", to_code_points(it.body)}};
}

claim_record from_json(const json& it)
{
    claim_record record;
    record.customer = it.at("customer").get<std::string>();
    record.key = it.at("key").get<std::string>();
    record.claim_id = it.at("claim").get<std::string>();
    record.fingerprint = it.at("fingerprint").get<std::uint64_t>();
    record.state = state_of(it.at("state").get<std::string>());
    record.status = it.at("status").get<int>();
    record.content_type = it.at("content_type").get<std::string>();
    record.body = from_code_points(it.at("body").get<std::string>());
    return record;
}

json operation(const claim_write& write)
{
    json it{{"table", claims_table}, {"key", row_key(write.record)}};
    it["expect"] = write.action == claim_action::insert
                       ? json{{"absent", true}}
                       : json{{"equals", {{"claim", write.record.claim_id}}}};
    it["write"] =
        write.action == claim_action::remove ? json(nullptr) : to_json(write.record);
    return it;
}

} // namespace

table_client::table_client(const endpoint& remote, milliseconds timeout)
    : rows_(remote, timeout)
{
}

std::vector<std::size_t> table_client::commit(std::span<const claim_write> writes)
{
    auto operations = json::array();
    for (const auto& it : writes)
    {
        operations.push_back(operation(it));
    }
    return rows_.transact(operations.dump());
}

std::optional<claim_record> table_client::find(const claim_record& wanted)
{
    const auto text = rows_.read(claims_table, row_key(wanted));
    if (!text)
    {
        return std::nullopt;
    }
    try
    {
        return from_json(json::parse(*text));
    }
    catch (const json::exception& it)
    {
        throw table_error(std::string("malformed claim row: ") + it.what());
    }
}

std::uint64_t table_client::head_version()
{
    const auto text = rows_.read(configuration_table, "head");
    if (!text)
    {
        return 0;
    }
    try
    {
        return json::parse(*text).at("version").get<std::uint64_t>();
    }
    catch (const json::exception& it)
    {
        throw table_error(std::string("the configuration head is malformed: ") +
                          it.what());
    }
}

std::string table_client::configuration(std::uint64_t version)
{
    auto text = rows_.read(configuration_table, fmt::format("version/{}", version));
    if (!text)
    {
        throw table_error(fmt::format("configuration version {} is missing", version));
    }
    return std::move(*text);
}

} // namespace pistachiopost
