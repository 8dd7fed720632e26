#include "connection/relay_codec.hpp"

#include "connection/codec_error.hpp"
#include "connection/untrusted_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiopost {

namespace {

using nlohmann::json;

template <typename Decode>
auto turn_errors(const Decode& decode)
{
    try
    {
        return decode();
    }
    catch (const json::exception& ex)
    {
        throw codec_error(std::string("malformed message of a relay: ") + ex.what());
    }
}

constexpr std::size_t era_index = 3;

std::uint64_t read_unsigned(const json& from)
{
    if (!from.is_number_unsigned())
    {
        throw codec_error("malformed message of a relay: not an unsigned integer");
    }
    return from;
}

milliseconds read_duration(const json& from)
{
    constexpr std::uint64_t max_duration_ms = 60'000;
    return milliseconds{std::min(read_unsigned(from), max_duration_ms)};
}

} // namespace

std::string encode_relay_request(const relay_request& it)
{
    return json{{"table", it.table},
                {"since", it.since.number},
                {"era", it.since.era},
                {"wait_ms", it.wait.count()}}
        .dump();
}

relay_request decode_relay_request(std::string_view bytes)
{
    return turn_errors([&] {
        const auto body = parse_untrusted_json(bytes);
        const auto era = body.find("era");
        const bool names_era = era != body.end();
        return relay_request{
            body.at("table"),
            {names_era ? read_unsigned(*era) : 0, read_unsigned(body.at("since"))},
            read_duration(body.at("wait_ms")),
            names_era};
    });
}

std::string encode_row_batch(const row_batch& batch)
{
    auto rows = json::array();
    for (const auto& it : batch.rows)
    {
        rows.push_back({it.key, it.value, it.version.number, it.removed});
    }
    auto recovered = batch.recovered_ago ? json(batch.recovered_ago->count()) : json();
    const auto bytes =
        json::to_msgpack(json::array({batch.version.number, std::move(rows),
                                      std::move(recovered), batch.version.era}));
    return {bytes.begin(), bytes.end()};
}

row_batch decode_row_batch(std::string_view bytes)
{
    return turn_errors([&] {
        const auto body = parse_untrusted_msgpack(bytes);
        row_batch batch;
        // Gateways of earlier versions name no era.
        const auto era = body.size() > era_index ? read_unsigned(body.at(era_index)) : 0;
        batch.version = {era, read_unsigned(body.at(0))};
        for (const auto& it : body.at(1))
        {
            batch.rows.push_back(
                {it.at(0), it.at(1), {era, read_unsigned(it.at(2))}, it.at(3)});
        }
        if (!body.at(2).is_null())
        {
            batch.recovered_ago = read_duration(body.at(2));
        }
        return batch;
    });
}

} // namespace pistachiopost
