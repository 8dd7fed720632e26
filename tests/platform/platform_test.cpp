#include "connection/codec_error.hpp"
#include "platform/adapter.hpp"

#include "connection/http_reader.hpp"
#include "connection/status_server.hpp"
#include "process/task.hpp"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

using namespace pistachiopost;

namespace {

message_head head_of(int status, std::vector<header_field> fields)
{
    message_head it;
    it.status = status;
    it.fields = std::move(fields);
    return it;
}

/// Store stub on loopback that returns scripted responses in sequence.
class store_fixture
{
public:
    explicit store_fixture(std::vector<std::pair<int, std::string>> answers)
        : answers_(std::move(answers)), listener_(listen_tcp({"127.0.0.1", 0}))
    {
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        address = {"127.0.0.1", ntohs(addr.sin_port)};
        serving_ = task([this] { serve(); });
    }

    ~store_fixture() { serving_.join(); }

    endpoint address;
    std::vector<received_request> requests;

private:
    void serve()
    {
        wait_readable(listener_.get(), -1, steady::now() + seconds{5});
        tcp_stream stream(accept_tcp(listener_));
        for (const auto& [status, body] : answers_)
        {
            received_request request;
            if (read_request(stream, caller_limits(), -1, request) !=
                request_outcome::complete)
            {
                return;
            }
            requests.push_back(request);
            stream.send("HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body,
                        steady::now() + seconds{5});
        }
    }

    std::vector<std::pair<int, std::string>> answers_;
    unique_fd listener_;
    task serving_;
};

} // namespace

Test(platform_message_codec, all_parts_of_a_prompt_but_the_last_are_shared)
{
    using parts = std::vector<std::uint64_t>;
    const auto decode = [](std::string_view list) {
        message_head head;
        head.fields = {{"Prompt-Prefix", std::string(list)}};
        return platform::decode_request(head).shared_parts;
    };
    cr_assert(decode("5c1e07a2:800,91BD3f06:410, e4402b7d:250,1:2") ==
              (parts{0x5c1e07a2, 0x91bd3f06, 0xe4402b7d}));
    cr_assert(decode("ff5c1e07a25c1e07a3:800,1:2") == (parts{0x5c1e07a25c1e07a3}));
    cr_assert(decode("5c1e07a2:800").empty());
    cr_assert(decode("").empty());
}

Test(platform_message_codec, malformed_list_of_prompt_parts_is_left_empty)
{
    for (const char* list : {"5c:1,xyz:2,1:1", ":1,1:1", "5c,1:1", "5c:,1:1", "5c:-1,1:1",
                             ",", ",,,", "0x5c:1,1:1", "5c:1;1:1,", "5c :1,1:1"})
    {
        message_head head;
        head.fields = {{"Prompt-Prefix", list}};
        cr_assert(platform::decode_request(head).shared_parts.empty(), "%s", list);
    }
}

Test(platform_message_codec, endless_list_of_prompt_parts_is_bounded)
{
    message_head head;
    std::string list;
    for (int i = 0; i < 10'000; ++i)
    {
        list += "5c:1,";
    }
    head.fields = {{"Prompt-Prefix", list}};
    cr_assert_eq(platform::decode_request(head).shared_parts.size(), 64U);
}

Test(platform_message_codec, request_headers_are_decoded)
{
    message_head head;
    head.target = "/p/x";
    head.fields = {{"host", "a.test:80"},   {"request-id", "r1"},
                   {"Deadline-Ms", "1500"}, {"Token-Count", "1460,80"},
                   {"Length-Hint", "40"},   {"Api-Key", "k"},
                   {"Last-Event-Id", "12"}};
    const auto it = platform::decode_request(head);
    cr_assert_eq(it.host, "a.test");
    cr_assert_eq(it.id, "r1");
    cr_assert_eq(it.timeout->count(), 1'500);
    cr_assert_eq(it.prompt->prompt_tokens, 1'460U);
    cr_assert_eq(it.prompt->max_output_tokens, 80U);
    cr_assert_eq(it.prompt->expected_output_tokens.value_or(0), 40U);
    cr_assert_eq(it.last_event_id.value_or(""), "12");
}

Test(platform_message_codec, malformed_headers_are_left_empty)
{
    message_head head;
    head.fields = {{"Deadline-Ms", "soon"}, {"Token-Count", "12"}};
    const auto it = platform::decode_request(head);
    cr_assert_not(it.timeout.has_value());
    cr_assert_not(it.prompt.has_value());
}

Test(platform_message_codec, forwarded_head_omits_connection_headers_matched_by_full_name)
{
    message_head head;
    head.method = "GET";
    head.target = "/x";
    head.fields = {{"Connection", "close, X-Hop"},
                   {"X-Hop", "1"},
                   {"X-Ho", "2"},
                   {"Transfer-Encoding", "chunked"}};
    forward_options options;
    options.backend = "i-1";
    options.helpers = {{{"10.0.0.1", 80}, "t1"}, {{"10.0.0.2", 80}, ""}};
    const auto text = platform::encode_forward(head, options, 0);
    cr_assert_eq(text.find("X-Hop"), std::string::npos);
    cr_assert_neq(text.find("X-Ho: 2\r\n"), std::string::npos);
    cr_assert_eq(text.find("Transfer-Encoding"), std::string::npos);
    cr_assert_neq(text.find("Helpers: 10.0.0.1:80/t1,10.0.0.2:80\r\n"),
                  std::string::npos);
}

Test(platform_message_codec, answers_are_classified)
{
    const header_field id{"Request-Id", "r1"};
    const header_field stamp{"Response-Stamp", "s"};
    const auto kind = [](const message_head& it) {
        return platform::decode_answer(it, "r1");
    };
    cr_assert_eq(kind(head_of(200, {id, stamp})), answer_kind::success);
    cr_assert_eq(kind(head_of(200, {id})), answer_kind::untrusted);
    cr_assert_eq(kind(head_of(200, {id, stamp, {"Content-Encoding", "gzip"}})),
                 answer_kind::untrusted);
    cr_assert_eq(kind(head_of(200, {{"Request-Id", "r2"}, stamp})),
                 answer_kind::mismatched);
    cr_assert_eq(kind(head_of(503, {{"Not-Run", "1"}})), answer_kind::not_run);
    cr_assert_eq(kind(head_of(503, {id})), answer_kind::untrusted);
    cr_assert_eq(kind(head_of(421, {})), answer_kind::misdirected);
    cr_assert_eq(kind(head_of(500, {id, stamp})), answer_kind::failure);
}

Test(platform_message_codec, refusal_that_bears_another_requests_id_promises_nothing)
{
    const auto kind = [](const message_head& it) {
        return platform::decode_answer(it, "r1");
    };
    const header_field other{"Request-Id", "r2"};
    cr_assert_eq(kind(head_of(421, {other})), answer_kind::mismatched);
    cr_assert_eq(kind(head_of(503, {other, {"Not-Run", "1"}})), answer_kind::mismatched);
    cr_assert_eq(kind(head_of(503, {{"Request-Id", "r1"}, {"Not-Run", "1"}})),
                 answer_kind::not_run);
}

Test(platform_message_codec, leaving_is_read_from_any_answer_of_the_backend_server)
{
    const header_field id{"Request-Id", "r1"};
    const header_field leaving{"server-leaving", "1"};
    const auto leaves = [](const message_head& it) {
        return platform::decode_notice(it, "r1").leaving;
    };
    cr_assert(leaves(head_of(200, {id, {"Response-Stamp", "s"}, leaving})));
    cr_assert(leaves(head_of(500, {id, {"Response-Stamp", "s"}, leaving})));
    cr_assert(leaves(head_of(503, {{"Not-Run", "1"}, leaving})));
    cr_assert(leaves(head_of(409, {leaving}))); // answer to an order
    cr_assert_not(leaves(head_of(200, {id})));
    cr_assert_not(leaves(head_of(200, {id, {"Server-Leaving", "0"}})));
    cr_assert_not(leaves(head_of(421, {leaving})), "from another backend server");
    cr_assert_not(leaves(head_of(200, {{"Request-Id", "r2"}, leaving})),
                  "answers another request");
}

Test(platform_message_codec, backoff_is_read_from_refusals_of_the_backend_server)
{
    const header_field refused{"Not-Run", "1"};
    const header_field retry{"retry-after", "2"};
    const auto backoff = [](const message_head& it) {
        return platform::decode_notice(it, "r1").backoff;
    };
    const seconds stated{2};
    cr_assert_eq(backoff(head_of(503, {refused, retry})), stated);
    cr_assert_eq(
        backoff(head_of(503, {{"Request-Id", "r1"}, {"Response-Stamp", "s"}, retry})),
        stated);
    cr_assert_eq(backoff(head_of(503, {retry})).count(), 0, "not signed");
    cr_assert_eq(backoff(head_of(429, {refused, retry})).count(), 0);
    cr_assert_eq(backoff(head_of(421, {refused, retry})).count(), 0);
    cr_assert_eq(backoff(head_of(503, {{"Request-Id", "r2"}, refused, retry})).count(), 0,
                 "answers another request");
}

Test(platform_message_codec, invalid_retry_after_is_ignored_and_an_absurd_one_is_bounded)
{
    const auto backoff = [](const char* text) {
        const header_field retry{"Retry-After", text};
        return platform::decode_notice(head_of(503, {{"Not-Run", "1"}, retry}), "r1")
            .backoff;
    };
    cr_assert_eq(backoff("0.25"), milliseconds{250});
    cr_assert_eq(backoff("1.0004"), milliseconds{1'001}, "never shorter than stated");
    for (const char* it : {"", "0", "-1", "nan", "-inf", "soon", "2 s", "1e999",
                           "Sat, 05 Dec 2026 07:00:00 GMT"})
    {
        cr_assert_eq(backoff(it).count(), 0, "%s", it);
    }
    for (const char* it : {"1e9", "inf", "1e300"})
    {
        cr_assert_eq(backoff(it), std::chrono::minutes{5}, "%s", it);
    }
}

Test(configuration_codec, routes_services_and_customers_are_read)
{
    const auto table = platform::decode_configuration(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"stream",
        "timeout-ms":10000,"target-latency-ms":300,"priority":1,"max-attempts":2,
        "traffic-split":[{"service":"s","weight":90},{"service":"t","weight":10}],
        "sticky":true,"resumable":true,"gap-target-ms":250}],
        "services":[{"name":"s","max-connections":424,
        "engine":{"slots":16,"kv-capacity":232000,"read_per_s":206000.0,"stride":43}}],
        "limits":{"max-header-bytes":100},
        "tenants":[{"name":"ann","api-keys":["k"],"priority":0}]})");
    cr_assert_eq(table.version(), 7U);
    const auto* matched = table.find_route("h", "/a/b");
    cr_assert_eq(matched->services.size(), 2U);
    cr_assert(matched->repeatable());
    cr_assert_eq(table.shortest_event_gap(), milliseconds{250});
    cr_assert_float_eq(table.find_service("s")->engine->prefill_tokens_per_ms, 206, 0.01);
    cr_assert_eq(table.limits().max_header_bytes, 100U);
    cr_assert_eq(table.find_customer("k")->priority.value_or(9), 0U);
}

Test(configuration_codec, invalid_document_throws_codec_error)
{
    cr_assert_throw(platform::decode_configuration("{"), codec_error);
    cr_assert_throw(platform::decode_configuration(R"({"version":"x","routes":[]})"),
                    codec_error);
}

Test(configuration_codec, deeply_nested_configuration_is_a_codec_error)
{
    constexpr std::size_t levels = 100'000;
    std::string nested;
    for (std::size_t i = 0; i < levels; ++i)
    {
        nested += R"({"a":)";
    }
    nested += "1" + std::string(levels, '}');
    bool rejected = false;
    task([&] {
        try
        {
            platform::decode_configuration(
                R"({"version":1,"routes":[],"services":[],"limits":)" + nested + "}");
        }
        catch (const codec_error&)
        {
            rejected = true;
        }
    }).join();
    cr_assert(rejected);
}

Test(configuration_codec, malformed_backend_row_is_rejected)
{
    std::string fault;
    const auto read = [&](const char* text) {
        return platform::decode_backend("i-1", text, fault).has_value();
    };
    cr_assert(read(R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
                       "state":"ready","sequence":1,"born":5})"));
    cr_assert_not(read("\x01\x02"));
    cr_assert_not(read(R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
                           "state":"sleeping"})"));
    cr_assert_not(read(R"({"service":"s","address":"somewhere","zone":"z","slots":4,
                           "state":"ready"})"));
    cr_assert_not(read(R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"4",
                           "state":"ready"})"));
    cr_assert_not(read(R"({"address":"10.0.0.1:80"})"));
    cr_assert_not(fault.empty());
}

Test(configuration_codec, backend_row_with_a_number_out_of_range_is_rejected)
{
    std::string fault;
    const auto read = [&](const char* port, const char* slots, const char* born) {
        const auto row = fmt::format(R"({{"service":"s","address":"10.0.0.1:{}",
            "zone":"z","slots":{},"state":"ready","born":{}}})",
                                     port, slots, born);
        return platform::decode_backend("i-1", row, fault).has_value();
    };
    cr_assert(read("80", "4", "5"));
    for (const char* port : {"0", "65536", "99999999999", "-1", "+80", "8e1", ""})
    {
        cr_assert_not(read(port, "4", "5"), "port %s", port);
    }
    for (const char* slots : {"0", "-1", "1e400", "4.5", "99999999999999999999"})
    {
        cr_assert_not(read("80", slots, "5"), "slots %s", slots);
    }
    for (const char* born : {"1e300", "1e400", "-1", "18446744073709551615", "true"})
    {
        cr_assert_not(read("80", "4", born), "born %s", born);
    }
}

Test(configuration_codec, backend_row_of_nested_brackets_is_rejected)
{
    constexpr std::size_t row_bytes = 65'536;
    std::string fault;
    std::string objects;
    while (objects.size() < row_bytes)
    {
        objects += R"({"a":)";
    }
    for (const auto& row : {std::string(row_bytes, '['), objects,
                            std::string(row_bytes, '[') + std::string(row_bytes, ']')})
    {
        task([&] {
            cr_assert_not(platform::decode_backend("i-1", row, fault).has_value());
        }).join();
    }
    constexpr std::size_t max_fault_bytes = 200;
    cr_assert_leq(fault.size(), max_fault_bytes, "the reason must fit in a log line");
}

Test(reservation_codec, reservation_call_contains_size_and_duration)
{
    const auto it = platform::encode_reserve("t1", 60'000, milliseconds{3'500});
    const auto body = nlohmann::json::parse(it.body);
    cr_assert_eq(it.method, "POST");
    cr_assert_eq(body.at("op"), "reserve");
    cr_assert_eq(body.at("tokens"), 60'000);
    cr_assert_eq(body.at("hold-ms"), 3'500);
    cr_assert_eq(nlohmann::json::parse(platform::encode_release("t1").body).at("op"),
                 "release");
}

Test(store_client, all_pages_of_a_table_are_read_at_the_version_of_the_first)
{
    store_fixture store(
        {{200,
          R"({"rows":[{"key":"a","value":"aGk=","ver":3}],"has-more":true,"ver":9})"},
         {200,
          R"({"rows":[{"key":"b","value":"","ver":4}],"has-more":false,"ver":11})"}});
    platform::store_client client(store.address);
    const auto batch = client.read_table("t");
    cr_assert_eq(batch.version.number, 9U);
    cr_assert_eq(batch.rows.size(), 2U);
    cr_assert_eq(batch.rows[0].value, "hi");
    cr_assert_eq(batch.rows[1].value, "");
}

Test(store_client, deleted_row_and_lost_history_are_reported)
{
    store_fixture store(
        {{200, R"({"rows":[{"key":"a","deleted":true,"ver":5}],"ver":5})"},
         {410, "{}"},
         {503, "{}"}});
    platform::store_client client(store.address);
    cr_assert(client.wait_for_changes("t", {0, 1}, milliseconds{10}).rows.at(0).removed);
    cr_assert_throw(client.wait_for_changes("t", {0, 1}, milliseconds{10}),
                    history_compacted);
    cr_assert_throw(client.wait_for_changes("t", {0, 1}, milliseconds{10}), store_error);
}

Test(store_client, written_value_is_encoded_as_base64)
{
    store_fixture store({{200, R"({"ver":5})"}});
    platform::store_client client(store.address);
    client.write_row("t", "k", "hi");
    const auto body = nlohmann::json::parse(store.requests.at(0).body);
    cr_assert_eq(body.at("writes").at(0).at("value"), "aGk=");
}

Test(store_client, malformed_row_is_skipped_and_the_others_are_read)
{
    store_fixture store({{200, R"({"rows":[{"key":"a","value":["hi"],"ver":3},{"key":4},7,
        {"key":"b","value":"aGk=","ver":"x"},{"key":"c","value":"aGk=","ver":4}],
        "has-more":false,"ver":9})"}});
    platform::store_client client(store.address);
    const auto batch = client.read_table("t");
    cr_assert_eq(batch.rows.size(), 1U);
    cr_assert_eq(batch.rows[0].key, "c");
}

Test(store_client, reply_without_rows_is_a_store_error)
{
    store_fixture store({{200, "[]"}, {200, R"({"rows":{},"has-more":1,"ver":9})"}});
    platform::store_client client(store.address);
    cr_assert_throw(client.read_table("t"), store_error);
    cr_assert_throw(client.read_table("t"), store_error);
}

Test(store_client, page_after_a_key_with_reserved_characters_is_requested)
{
    store_fixture store({{200, R"({"rows":[{"key":"a b&limit=1#","value":"","ver":3}],
                                  "has-more":true,"ver":9})"},
                         {200, R"({"rows":[{"key":"c","value":"","ver":4}],
                                  "has-more":false,"ver":9})"}});
    platform::store_client client(store.address);
    cr_assert_eq(client.read_table("t").rows.size(), 2U);
    const auto target = store.requests.at(1).head.target;
    cr_assert_neq(target.find("&from=a%20b%26limit%3D1%23%00"), std::string::npos,
                  "requested: %s", target.c_str());
}
