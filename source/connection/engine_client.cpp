#include "connection/engine_client.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace pistachiopost {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;

} // namespace

engine_client::engine_client(const endpoint& remote, milliseconds timeout)
    : http_(remote, timeout)
{
}

engine_state engine_client::state()
{
    const auto answer = http_.get("/v1/state");
    if (answer.status != status_ok)
    {
        throw connection_error(fmt::format("the engine answered {}", answer.status));
    }
    try
    {
        const auto document = json::parse(answer.body);
        engine_state it;
        it.boot = document.at("boot").get<std::string>();
        it.memory_tokens = document.at("memory_tokens").get<std::uint64_t>();
        it.slots = document.at("slots").get<std::uint32_t>();
        it.prefill_rate = document.at("prefill_tokens_per_s").get<double>();
        for (const auto& stream : document.at("streams"))
        {
            it.streams.push_back({stream.at("id").get<std::string>(),
                                  stream.at("owner").get<std::string>()});
        }
        return it;
    }
    catch (const json::exception& it)
    {
        throw connection_error(std::string("the engine sent a malformed state: ") +
                               it.what());
    }
}

bool engine_client::reserve(std::string_view id, std::string_view owner,
                            std::uint64_t tokens)
{
    const json order{{"id", id}, {"owner", owner}, {"tokens", tokens}};
    return http_.post("/v1/reservations", order.dump()).status == status_ok;
}

void engine_client::cancel(std::string_view stream)
{
    http_.remove(fmt::format("/v1/streams/{}", encode_component(stream)));
}

} // namespace pistachiopost
