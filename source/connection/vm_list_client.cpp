#include "connection/vm_list_client.hpp"

#include "process/logging.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace pistachiopost {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_modified = 304;

backend_server read_server(const json& it)
{
    backend_server server;
    server.vm = it.at("vm").get<std::string>();
    server.agent.address = it.at("address").get<std::string>();
    server.agent.port = it.at("port").get<std::uint16_t>();
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
        catch (const json::exception& problem)
        {
            log(log_level::warn,
                fmt::format("ignored malformed VM list entry: {}", problem.what()));
        }
    }
    etag_ = answer.head.value("ETag");
    return servers;
}

} // namespace pistachiopost
