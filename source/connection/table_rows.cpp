#include "connection/table_rows.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace pistachiopost {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

table_error unexpected(int status)
{
    return table_error(fmt::format("the table service answered {}", status));
}

} // namespace

table_rows::table_rows(const endpoint& remote, milliseconds timeout)
    : http_(remote, timeout)
{
}

std::optional<std::string> table_rows::read(std::string_view table, std::string_view key)
{
    try
    {
        auto answer =
            http_.get(fmt::format("/rows?table={}&key={}", table, encode_component(key)));
        if (answer.status == status_not_found)
        {
            return std::nullopt;
        }
        if (answer.status != status_ok)
        {
            throw unexpected(answer.status);
        }
        return std::move(answer.body);
    }
    catch (const connection_error& it)
    {
        throw table_error(it.what());
    }
}

std::vector<std::size_t> table_rows::transact(std::string_view operations)
{
    try
    {
        const auto answer = http_.post("/transactions",
                                       fmt::format(R"({{"operations":{}}})", operations));
        if (answer.status == status_ok)
        {
            return {};
        }
        if (answer.status != status_conflict)
        {
            throw unexpected(answer.status);
        }
        return json::parse(answer.body).at("failed").get<std::vector<std::size_t>>();
    }
    catch (const connection_error& it)
    {
        throw table_error(it.what());
    }
    catch (const json::exception& it)
    {
        throw table_error(std::string("the table service sent a malformed response: ") +
                          it.what());
    }
}

} // namespace pistachiopost
