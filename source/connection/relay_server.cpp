#include "connection/relay_server.hpp"

#include "connection/codec_error.hpp"
#include "connection/relay_codec.hpp"

#include <algorithm>

namespace pistachiopost {

status_response answer_relay_request(std::string_view body, const find_table& find)
{
    // Longer than the interval of any client; bounds how long a task is occupied.
    constexpr milliseconds max_wait{5'000};
    try
    {
        const auto request = decode_relay_request(body);
        auto* cache = find(request.table);
        if (cache == nullptr)
        {
            return {404, "text/plain", "the table is not followed"};
        }
        auto since = request.since;
        if (!request.names_era && since.number != 0)
        {
            since.era = cache->version().era;
        }
        const auto batch =
            cache->wait_for_changes(since, std::min(request.wait, max_wait));
        if (!batch)
        {
            return {503, "text/plain", "the table is not followed at the store itself"};
        }
        return {200, "application/msgpack", encode_row_batch(*batch)};
    }
    catch (const codec_error& it)
    {
        return {400, "text/plain", it.what()};
    }
    catch (const history_compacted& it)
    {
        return {410, "text/plain", it.what()};
    }
}

} // namespace pistachiopost
