#include "connection/relay_client.hpp"

#include "connection/codec_error.hpp"
#include "connection/relay_codec.hpp"

#include <fmt/format.h>

namespace pistachiopost {

relay_client::relay_client(endpoint relay, milliseconds timeout)
    : http_(std::move(relay), timeout)
{
}

row_batch relay_client::changes(std::string_view table, const store_version& since,
                                milliseconds wait)
{
    constexpr int ok = 200;
    constexpr int gone = 410;
    try
    {
        const auto body = encode_relay_request({std::string(table), since, wait});
        const auto reply = http_.call({"POST", "/tables", body, {}}, wait);
        if (reply.status == gone)
        {
            throw history_compacted("the relay does not know all changes since then");
        }
        if (reply.status != ok)
        {
            throw store_error(fmt::format("the relay returned status {}", reply.status));
        }
        return decode_row_batch(reply.body);
    }
    catch (const connection_error& ex)
    {
        throw store_error(ex.what());
    }
    catch (const codec_error& ex)
    {
        throw store_error(ex.what());
    }
}

} // namespace pistachiopost
