#include "connection/load_report_codec.hpp"

#include "connection/codec_error.hpp"
#include "connection/untrusted_json.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>

namespace pistachiopost {

namespace {

using nlohmann::json;

/// Returns an array of what `encode` makes of each element.
template <typename Element, typename Encode>
json encode_list(const std::vector<Element>& list, const Encode& encode)
{
    auto array = json::array();
    for (const auto& it : list)
    {
        array.push_back(encode(it));
    }
    return array;
}

json encode_load(const reported_load& it)
{
    return {it.backend,
            it.load.requests,
            it.load.short_requests,
            it.load.memory_tokens,
            static_cast<std::uint32_t>(it.load.prefill_ms),
            static_cast<std::uint32_t>(it.load.unconfirmed_prefill_ms)};
}

json encode_subject(const suspect& it)
{
    return json::array({it.id, static_cast<std::uint32_t>(it.kind)});
}

json encode_crash(const crash_report& it)
{
    return json::array({encode_subject(it.subject), it.crash.backend,
                        it.crash.start_time_ms, it.answer_begun, it.age.count()});
}

json encode_block(const block_report& it)
{
    return json::array({encode_subject(it.subject), it.remaining.count()});
}

json encode_clearance(const clearance_report& it)
{
    return json::array({encode_subject(it.subject), it.age.count()});
}

json encode_crash_news(const crash_news& news)
{
    return json::array({encode_list(news.crashes, encode_crash),
                        encode_list(news.blocks, encode_block),
                        encode_list(news.clearances, encode_clearance)});
}

json encode_retries(const retry_count& it)
{
    return {it.service, it.requests, it.retries};
}

json encode_waiting(const waiting_work& it)
{
    return json::array({it.service, it.long_prefill, it.priority,
                        static_cast<std::uint32_t>(it.prefill_ms)});
}

json encode_status(const store_status& status)
{
    auto numbers = json::array();
    auto eras = json::array();
    for (const auto& it : status.changes)
    {
        numbers.push_back(it.number);
        eras.push_back(it.era);
    }
    return json::array({status.watches, status.store_failed, numbers, eras});
}

/// Reads an unsigned count. A negative value would be taken for work that never ends.
std::uint64_t read_count(const json& from)
{
    if (!from.is_number_unsigned())
    {
        throw codec_error("malformed load report: a count is not an unsigned integer");
    }
    return from;
}

std::uint32_t read_count32(const json& from)
{
    const auto it = read_count(from);
    if (it > std::numeric_limits<std::uint32_t>::max())
    {
        throw codec_error("malformed load report: a count exceeds 32 bits");
    }
    return static_cast<std::uint32_t>(it);
}

milliseconds read_duration(const json& from)
{
    return milliseconds{read_count32(from)};
}

suspect read_subject(const json& from)
{
    const auto kind = read_count(from.at(1));
    if (kind > static_cast<std::uint64_t>(suspect_kind::prompt_part))
    {
        throw codec_error("malformed load report: unknown kind of suspect");
    }
    return {read_count(from.at(0)), static_cast<suspect_kind>(kind)};
}

crash_news read_crash_news(const json& from)
{
    crash_news news;
    for (const auto& it : from.at(0))
    {
        news.crashes.push_back({read_subject(it.at(0)),
                                {it.at(1), it.at(2)},
                                it.at(3),
                                read_duration(it.at(4))});
    }
    for (const auto& it : from.at(1))
    {
        news.blocks.push_back({read_subject(it.at(0)), read_duration(it.at(1))});
    }
    for (const auto& it : from.at(2))
    {
        news.clearances.push_back({read_subject(it.at(0)), read_duration(it.at(1))});
    }
    return news;
}

/// Reads a share of processor cores. Gateways are ordered by it, which NaN would break.
double read_cores(const json& from)
{
    const double it = from;
    if (!std::isfinite(it) || it < 0)
    {
        throw codec_error("malformed load report: the cores are not a finite number");
    }
    return it;
}

store_status read_status(const json& from)
{
    constexpr std::size_t eras_index = 3; // not sent by gateways of earlier versions
    store_status it;
    it.store_failed = from.at(1);
    for (std::size_t i = 0; i < watched_table_count; ++i)
    {
        it.watches[i] = from.at(0).at(i);
        it.changes[i].number = read_count(from.at(2).at(i));
        if (from.size() > eras_index)
        {
            it.changes[i].era = read_count(from.at(eras_index).at(i));
        }
    }
    return it;
}

/// Reads a kind of waiting requests. Gateways of earlier versions send only the first two
/// fields.
waiting_work read_waiting(const json& from)
{
    waiting_work it{from.at(0), from.at(1)};
    if (from.size() > 3)
    {
        it.priority = read_count32(from.at(2));
        it.prefill_ms = static_cast<double>(read_count32(from.at(3)));
    }
    return it;
}

// Gateways of earlier versions end their reports before this element.
constexpr std::size_t address_index = 11;

endpoint read_address(const json& from)
{
    const auto text = from.get<std::string>();
    if (text.empty())
    {
        return {};
    }
    auto it = parse_endpoint(text);
    if (!it)
    {
        throw codec_error("malformed load report: invalid address of the sender");
    }
    return *it;
}

backend_load read_load(const json& from)
{
    return {read_count32(from.at(1)), read_count32(from.at(2)), read_count(from.at(3)),
            static_cast<double>(read_count32(from.at(4))),
            static_cast<double>(read_count32(from.at(5)))};
}

} // namespace

std::string encode_load_report(const load_report_message& message)
{
    const auto body = json::array(
        {message.gateway, message.boot, message.sequence,
         encode_list(message.loads, encode_load), encode_crash_news(message.crashes),
         message.zone, message.cores, message.is_digest, encode_status(message.store),
         encode_list(message.retries, encode_retries),
         encode_list(message.waiting, encode_waiting),
         message.address.port == 0 ? "" : to_string(message.address), message.forward});
    const auto bytes = json::to_msgpack(body);
    return {bytes.begin(), bytes.end()};
}

load_report_message decode_load_report(std::string_view bytes)
{
    try
    {
        const auto body = parse_untrusted_msgpack(bytes);
        load_report_message it;
        it.gateway = body.at(0);
        it.boot = read_count(body.at(1));
        it.sequence = read_count(body.at(2));
        for (const auto& load : body.at(3))
        {
            it.loads.push_back({load.at(0), read_load(load)});
        }
        it.crashes = read_crash_news(body.at(4));
        it.zone = body.at(5);
        it.cores = read_cores(body.at(6));
        it.is_digest = body.at(7);
        it.store = read_status(body.at(8));
        for (const auto& one : body.at(9))
        {
            it.retries.push_back(
                {one.at(0), read_count(one.at(1)), read_count(one.at(2))});
        }
        for (const auto& one : body.at(10))
        {
            it.waiting.push_back(read_waiting(one));
        }
        if (body.size() > address_index)
        {
            it.address = read_address(body.at(address_index));
            it.forward = body.at(address_index + 1);
        }
        return it;
    }
    catch (const json::exception& ex)
    {
        throw codec_error(std::string("malformed load report: ") + ex.what());
    }
}

} // namespace pistachiopost
