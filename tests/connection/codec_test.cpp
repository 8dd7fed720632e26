#include "connection/completion_body.hpp"
#include "connection/message_codec.hpp"
#include "connection/sse_reader.hpp"

#include <criterion/criterion.h>

#include <random>

using namespace pistachiopost;

namespace {

header_map to_map(const std::vector<header_field>& fields)
{
    header_map map;
    for (const auto& it : fields)
    {
        map.emplace(it.name, it.value);
    }
    return map;
}

attempt_order make_full_order()
{
    attempt_order it;
    it.attempt_id = "vm-boot-1.2";
    it.customer = "optique";
    it.weight = 3;
    it.kind = work_kind::service;
    it.target = "rope-registry";
    it.method = "POST";
    it.path = "/notices?x=1";
    it.content_type = "text/plain";
    it.prompt_tokens = 7;
    it.output_tokens = 8;
    it.resume_offset = 9;
    it.fingerprint = 0xFFFFFFFFFFFFFFFFU;
    it.remaining = milliseconds{1'234};
    it.repeatable = false;
    it.isolated = true;
    it.configuration_version = 11;
    return it;
}

} // namespace

Test(order_codec, round_trip_of_an_order_preserves_its_fields)
{
    const auto sent = make_full_order();
    const auto got = decode_order(to_map(encode_order(sent)));
    cr_assert_eq(got.attempt_id, sent.attempt_id);
    cr_assert_eq(got.kind, sent.kind);
    cr_assert_eq(got.path, sent.path);
    cr_assert_eq(got.fingerprint, sent.fingerprint);
    cr_assert_eq(got.remaining.count(), sent.remaining.count());
    cr_assert_eq(got.repeatable, false);
    cr_assert_eq(got.isolated, true);
    cr_assert_eq(got.configuration_version, 11U);
}

Test(order_codec, missing_or_malformed_field_throws_codec_error)
{
    auto headers = to_map(encode_order(make_full_order()));
    headers["weight"] = "3x";
    cr_assert_throw(decode_order(headers), codec_error);
    headers.erase("weight");
    cr_assert_throw(decode_order(headers), codec_error);
}

Test(message_codec, messages_split_at_any_byte_are_decoded_in_order)
{
    const load_report report{"boot", true, false, 1, 2, 3, 4, {5, 6, 7, 8}, 9.5};
    const auto bytes = encode(attempt_event{answer_chunk{4, 2, std::string("x\0y", 3)}}) +
                       encode(report) + encode(crash_record{77, true}) +
                       encode(attempt_event{answer_end{6, 201, "text/plain"}});
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut)
    {
        message_reader reader;
        std::vector<link_message> got;
        for (const auto part : {std::string_view(bytes).substr(0, cut),
                                std::string_view(bytes).substr(cut)})
        {
            reader.feed(part);
            while (auto message = reader.next())
            {
                got.push_back(std::move(*message));
            }
        }
        cr_assert_eq(got.size(), 4U);
        const auto chunk = std::get<answer_chunk>(std::get<attempt_event>(got[0]));
        cr_assert_eq(chunk.bytes, std::string("x\0y", 3));
        cr_assert(std::get<load_report>(got[1]) == report);
        cr_assert(std::get<crash_record>(got[2]) == (crash_record{77, true}));
        cr_assert_eq(std::get<answer_end>(std::get<attempt_event>(got[3])).total, 6U);
    }
}

/// An entry must not pass on a status that is none of an answer.
Test(message_codec, end_with_an_invalid_status_throws_codec_error)
{
    for (const int status : {-1, 0, 99, 100, 199, 600, 1'000})
    {
        message_reader reader;
        reader.feed(encode(attempt_event{answer_end{6, status, "text/plain"}}));
        cr_assert_throw(reader.next(), codec_error, "%d", status);
    }
}

Test(message_codec, random_bytes_throw_only_codec_error)
{
    std::mt19937 random(1);
    for (int i = 0; i < 20'000; ++i)
    {
        std::string bytes(random() % 40, '\0');
        for (auto& it : bytes)
        {
            it = static_cast<char>(random());
        }
        message_reader reader;
        reader.feed(bytes);
        try
        {
            while (reader.next())
            {
            }
        }
        catch (const codec_error&)
        {
            continue;
        }
    }
}

Test(completion_body, body_of_a_completion_yields_fields_and_prompt_size)
{
    const auto it = parse_completion_body(
        R"({"prompt":"abc","model":"m","max_tokens":7,"stream":true,"x":{"model":"no"}})",
        false);
    cr_assert_eq(it.model, "m");
    cr_assert_eq(it.prompt_bytes, 3U);
    cr_assert_eq(it.max_tokens, 7U);
    cr_assert(it.stream);
}

Test(completion_body, contents_of_all_chat_messages_form_the_prompt)
{
    const auto it = parse_completion_body(
        R"({"model":"m","messages":[{"role":"user","content":"ab"},{"content":"cde"}]})",
        true);
    cr_assert_eq(it.prompt_bytes, 5U);
    cr_assert_eq(it.prefix, "abcde");
}

Test(completion_body, invalid_body_throws_body_error)
{
    for (const auto* text : {"", "[]", "{", "{}", R"({"model":"m"})", R"({"prompt":"x"})",
                             R"({"model":"m","prompt":"x","max_tokens":0})",
                             R"({"model":"m","prompt":"x","max_tokens":-1})",
                             R"({"model":"m","prompt":"x","max_tokens":1.5})",
                             R"({"model":"m","prompt":"x","stream":"yes"})",
                             R"({"model":"m","prompt":"x"} x)"})
    {
        cr_assert_throw(parse_completion_body(text, false), body_error, "%s", text);
    }
}

Test(sse_reader, events_split_at_any_byte_are_returned_complete)
{
    const std::string bytes = "data: one\n\n: comment\n\ndata: two\n\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut)
    {
        sse_reader reader;
        std::vector<std::string> got;
        for (const auto part : {std::string_view(bytes).substr(0, cut),
                                std::string_view(bytes).substr(cut)})
        {
            reader.feed(part);
            while (auto data = reader.next())
            {
                got.push_back(*data);
            }
        }
        cr_assert_eq(got.size(), 2U);
        cr_assert_eq(got[1], "two");
    }
}
