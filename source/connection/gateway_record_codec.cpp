#include "connection/gateway_record_codec.hpp"

#include "connection/codec_error.hpp"
#include "connection/untrusted_json.hpp"

#include <nlohmann/json.hpp>

namespace pistachiopost {

using nlohmann::json;

std::string encode_gateway_record(const gateway_record& it)
{
    return json{
        {"address", to_string(it.address)}, {"zone", it.zone}, {"cores", it.cores}}
        .dump();
}

gateway_record decode_gateway_record(std::string_view name, std::string_view value)
{
    try
    {
        const auto body = parse_untrusted_json(value);
        const auto address = parse_endpoint(body.at("address").get<std::string>());
        if (!address)
        {
            throw codec_error("row of a gateway: the address is not ADDRESS:PORT");
        }
        return {std::string(name), *address, body.at("zone"), body.at("cores")};
    }
    catch (const json::exception& ex)
    {
        throw codec_error(std::string("malformed row of a gateway: ") + ex.what());
    }
}

} // namespace pistachiopost
