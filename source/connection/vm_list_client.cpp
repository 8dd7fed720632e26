#include "connection/vm_list_client.hpp"

#include "connection/codec_error.hpp"
#include "process/logging.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace pistachiopost {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_modified = 304;

void log_ignored(std::string_view fault)
{
    log(log_level::warn, fmt::format("ignored malformed VM list entry: {}", fault));
}

/// Throws json::exception or codec_error.
backend_server read_server(const json& it)
{
    backend_server server;
    server.vm = it.at("vm").get<std::string>();
    const auto agent = parse_endpoint(
        fmt::format("{}:{}", it.at("address").get_ref<const std::string&>(),
                    it.at("port").get_ref<const json::number_unsigned_t&>()));
    if (!agent)
    {
        throw codec_error("address or port out of range");
    }
    server.agent = *agent;
    server.zone = it.at("zone").get<std::string>();
    server.region = it.at("region").get<std::string>();
    server.kind = it.at("kind").get<std::string>() == "engine" ? work_kind::completion
                                                               : work_kind::service;
    server.serves = it.at("serves").get<std::string>();
    server.leaving = it.at("state").get<std::string>() != "live";
    return server;
}

} // namespace

vm_list_client::vm_list_client(const endpoint& remote, milliseconds timeout)
    : http_(remote, timeout)
{
}

std::optional<std::vector<backend_server>> vm_list_client::fetch()
{
    const auto answer = http_.get("/vms", etag_);
    if (answer.status == status_not_modified)
    {
        return std::nullopt;
    }
    if (answer.status != status_ok)
    {
        throw connection_error(
            fmt::format("the VM list service responded with status {}", answer.status));
    }
    const auto document = json::parse(answer.body, nullptr, false);
    if (!document.is_array())
    {
        throw connection_error("the VM list is not a JSON array");
    }
    std::vector<backend_server> servers;
    for (const auto& it : document)
    {
        try
        {
            servers.push_back(read_server(it));
        }
        catch (const codec_error& problem)
        {
            log_ignored(problem.what());
        }
        catch (const json::exception& problem)
        {
            log_ignored(problem.what());
        }
    }
    etag_ = answer.head.value("ETag");
    return servers;
}

} // namespace pistachiopost
