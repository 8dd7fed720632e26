#include "connection/codec_error.hpp"
#include "connection/gateway_record_codec.hpp"
#include "connection/relay_client.hpp"
#include "connection/relay_codec.hpp"
#include "connection/relay_server.hpp"
#include "connection/status_server.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

using namespace pistachiopost;

namespace {

// The tests do not depend on the speed of the machine.
constexpr milliseconds patient{20'000};

/// A relay of table "t" on the loopback interface, with one row as of version 10.
struct relay_fixture
{
    relay_fixture()
    {
        row_batch batch;
        batch.version = {0, 10};
        batch.rows = {{"key", std::string("\x00\xff", 2), {0, 4}, false}};
        cache.replace(batch);
        cache.set_may_relay(true);
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        address = {"127.0.0.1", ntohs(addr.sin_port)};
    }

    ~relay_fixture()
    {
        signal_event_fd(stop);
        serving.join();
    }

    table_cache cache;
    endpoint address;
    unique_fd listener = listen_tcp({"127.0.0.1", 0});
    unique_fd stop = open_event_fd();
    task serving{[this] {
        serve_status(listener, stop.get(), [this](const received_request& request) {
            return answer_relay_request(request.body, [this](std::string_view table) {
                return table == "t" ? &cache : nullptr;
            });
        });
    }};
};

} // namespace

Test(relay, deeply_nested_answer_is_a_codec_error)
{
    constexpr std::size_t answer_bytes = 1U << 20U;
    bool rejected = false;
    task([&] {
        try
        {
            decode_row_batch(std::string(answer_bytes, '\x91'));
        }
        catch (const codec_error&)
        {
            rejected = true;
        }
    }).join();
    cr_assert(rejected);
}

Test(relay, rows_arrive_unchanged)
{
    relay_fixture it;
    const auto batch =
        relay_client(it.address, patient).changes("t", {}, milliseconds{0});
    cr_assert_eq(batch.version.number, 10U);
    cr_assert_eq(batch.rows.size(), 1U);
    cr_assert_eq(batch.rows[0].value, std::string("\x00\xff", 2));
    cr_assert_eq(batch.rows[0].version.number, 4U);
}

Test(relay, unknown_history_and_lost_store_are_told_apart)
{
    relay_fixture it;
    relay_client client(it.address, patient);
    cr_assert_throw(client.changes("t", {0, 3}, milliseconds{0}), history_compacted);
    cr_assert_throw(client.changes("other", {}, milliseconds{0}), store_error);
    it.cache.set_may_relay(false);
    cr_assert_throw(client.changes("t", {}, milliseconds{0}), store_error);
}

Test(relay, rows_of_a_later_era_arrive_with_it)
{
    relay_fixture it;
    row_batch batch;
    batch.version = {3, 8};
    batch.rows = {{"key", "", {3, 4}, false}};
    it.cache.replace(batch);
    relay_client client(it.address, patient);
    cr_assert_throw(client.changes("t", {2, 9}, milliseconds{0}), history_compacted);
    const auto read = client.changes("t", {}, milliseconds{0});
    cr_assert(read.version == batch.version);
    cr_assert(read.rows.at(0).version == batch.rows[0].version);
}

// Guards against a gateway of an earlier version that reads the whole table without end
// from one that knows of eras.
Test(relay, request_that_names_no_era_is_of_the_relays_own)
{
    relay_fixture it;
    row_batch batch;
    batch.version = {3, 8};
    it.cache.replace(batch);
    const auto find = [&](std::string_view) { return &it.cache; };
    const auto status = [&](std::string_view body) {
        return answer_relay_request(body, find).status;
    };
    cr_assert_eq(status(R"({"table":"t","since":8,"wait_ms":0})"), 200);
    cr_assert_eq(status(R"({"table":"t","since":7,"wait_ms":0})"), 410);
}

Test(relay, answer_of_an_earlier_version_names_no_era)
{
    row_batch batch;
    batch.version = {3, 8};
    auto body = nlohmann::json::from_msgpack(encode_row_batch(batch));
    body.erase(3);
    const auto bytes = nlohmann::json::to_msgpack(body);
    const auto read = decode_row_batch(std::string(bytes.begin(), bytes.end()));
    cr_assert(read.version == store_version(0, 8));
}

Test(relay, absent_relay_is_a_store_error)
{
    relay_client client({"127.0.0.1", 1});
    cr_assert_throw(client.changes("t", {}, milliseconds{0}), store_error);
}

Test(relay, malformed_messages_are_rejected)
{
    cr_assert_throw(decode_relay_request("{"), codec_error);
    cr_assert_throw(decode_relay_request(R"({"table":"t","since":-1,"wait_ms":1})"),
                    codec_error);
    cr_assert_throw(decode_row_batch("\x93"), codec_error);
    cr_assert_throw(decode_gateway_record("me", "10.0.0.1:7340"), codec_error);
    cr_assert_throw(
        decode_gateway_record("me", R"({"address":"x","zone":"a","cores":1})"),
        codec_error);
}

Test(relay, gateway_record_survives_its_row)
{
    const gateway_record it{"me", {"10.0.0.1", 7340}, "a", 0.09};
    cr_assert_eq(decode_gateway_record("me", encode_gateway_record(it)), it);
}
