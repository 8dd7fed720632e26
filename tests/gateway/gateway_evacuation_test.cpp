/// Zones that are evacuated while the gateway serves: what it sends to their backend
/// servers from then on.
#include "gateway_fixture.hpp"
#include "process/platform_followers.hpp"
#include "process/table_cache.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace pistachiopost;

namespace {

/// A gateway in zone `z` that follows the operator's table.
struct evacuation_gateway : gateway_fixture
{
    void add_in_zone(const scripted_backend& server, const std::string& id,
                     const char* service, const std::string& zone)
    {
        const backend_record record{id, service, server.address, zone, 4, false, 1};
        state->dispatch.update_registry(
            steady::now(), [&](auto& it) { it.upsert(record, steady::now()); });
    }

    void evacuate(const std::string& zone) { apply({"evacuate/" + zone, "{}", {0, 2}}); }
    void restore(const std::string& zone)
    {
        apply({"evacuate/" + zone, "", {0, 3}, true});
    }

    void apply(stored_row row)
    {
        row_batch batch;
        batch.version = row.version;
        batch.rows.push_back(std::move(row));
        configuration_follower<platform::adapter::codec> follower(*state);
        follower.on_changes(batch, steady::now());
    }

    [[nodiscard]] bool has_metric(std::string_view line) const
    {
        const auto text = state->metrics.text({"vm"});
        return text.find(line) != std::string::npos;
    }
};

bool is_order(const received_request& request)
{
    return request.head.target == "/v1/order";
}

std::string operation_of(const received_request& order)
{
    return nlohmann::json::parse(order.body).at("op");
}

void answer_order(tcp_stream& stream)
{
    send_text(stream, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
}

void answer_ok(tcp_stream& stream, const received_request& request)
{
    send_response(stream, request, 200, "ok");
}

} // namespace

Test(gateway_evacuation, request_is_refused_at_once_if_all_zones_are_evacuated)
{
    scripted_backend one(answer_ok);
    scripted_backend two(answer_ok);
    evacuation_gateway gateway;
    gateway.add_in_zone(one, "i-1", "plain", "z");
    gateway.add_in_zone(two, "i-2", "plain", "y");
    gateway.evacuate("z");
    gateway.evacuate("y");
    const auto began = steady::now();
    cr_assert_eq(gateway.send_request("/once/x").head.status, 503);
    cr_assert_lt(steady::now() - began, seconds{1});
    cr_assert(gateway.has_metric("pistachiopost_evacuation_refusals_total 1\n"));
    cr_assert(one.requests().empty() && two.requests().empty());
    gateway.restore("y");
    cr_assert_eq(gateway.send_request("/once/x").head.status, 200);
    cr_assert_eq(two.requests().size(), 1U);
}

Test(gateway_evacuation, waiting_requests_are_refused_and_running_ones_finish)
{
    const auto finish = open_event_fd();
    scripted_backend server([&](auto& stream, const auto& request) {
        wait_readable(finish.get(), -1, steady::now() + seconds{5});
        answer_ok(stream, request);
    });
    evacuation_gateway gateway;
    gateway.add_in_zone(server, "i-1", "plain", "z");
    std::vector<tcp_stream> running;
    for (int i = 0; i < 4; ++i)
    {
        running.push_back(gateway.connect());
        send_text(running.back(), gateway_fixture::request("/once/x"));
    }
    while (server.requests().size() < running.size())
    {
        std::this_thread::sleep_for(milliseconds{1});
    }
    auto waiting = gateway.connect();
    send_text(waiting, gateway_fixture::request("/once/x"));
    while (gateway.state->dispatch.waiting() < 1)
    {
        std::this_thread::sleep_for(milliseconds{1});
    }
    const auto began = steady::now();
    gateway.evacuate("z");
    cr_assert_eq(gateway_fixture::read_answer(waiting).head.status, 503);
    cr_assert_lt(steady::now() - began, seconds{1});
    signal_event_fd(finish);
    for (auto& it : running)
    {
        cr_assert_eq(gateway_fixture::read_answer(it).head.status, 200);
    }
    cr_assert_eq(server.requests().size(), 4U);
}

/// The retry of a request must not reach the zone either.
Test(gateway_evacuation, request_that_failed_elsewhere_is_not_retried_in_the_zone)
{
    evacuation_gateway gateway;
    scripted_backend here(answer_ok);
    scripted_backend there([&](auto& stream, const auto&) {
        gateway.add_in_zone(here, "i-1", "plain", "z");
        gateway.evacuate("z");
        send_text(stream, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
    gateway.add_in_zone(there, "i-2", "plain", "y");
    cr_assert_eq(gateway.send_request("/once/x").head.status, 503);
    gateway.join_connections();
    cr_assert(here.requests().empty());
}

/// The evacuation arrives between the placement of a prompt and the end of the memory
/// reservation at its helper.
Test(gateway_evacuation, placement_is_withdrawn_if_its_zone_is_evacuated_meanwhile)
{
    evacuation_gateway gateway;
    std::atomic<bool> evacuated = false;
    const auto serve_elsewhere = [](tcp_stream& stream, const received_request& request) {
        is_order(request) ? answer_order(stream)
                          : send_event_stream(stream, request, 1, 1);
    };
    scripted_backend three(serve_elsewhere);
    scripted_backend four(serve_elsewhere);
    const auto serve_in_zone = [&](tcp_stream& stream, const received_request& request) {
        if (!evacuated.exchange(true))
        {
            gateway.add_in_zone(three, "i-3", "model", "y");
            gateway.add_in_zone(four, "i-4", "model", "y");
            gateway.evacuate("z");
        }
        serve_elsewhere(stream, request);
    };
    scripted_backend one(serve_in_zone);
    scripted_backend two(serve_in_zone);
    gateway.configure(2, 50'000);
    gateway.add_in_zone(one, "i-1", "model", "z");
    gateway.add_in_zone(two, "i-2", "model", "z");
    cr_assert(gateway.send_request("/stream/x", prompt_headers(80'000)).complete);
    gateway.join_connections();
    std::vector<std::string> operations;
    for (auto* it : {&one, &two})
    {
        for (const auto& request : it->requests())
        {
            operations.push_back(is_order(request) ? operation_of(request) : "request");
        }
    }
    cr_assert_eq(operations, (std::vector<std::string>{"reserve", "release"}));
    cr_assert(gateway.has_metric("pistachiopost_withdrawn_placements_total 1\n"));
}

/// A prompt that needs memory at several helpers: the first reservation is on its way
/// when the evacuation arrives.
Test(gateway_evacuation, no_further_memory_is_reserved_once_the_zone_is_evacuated)
{
    evacuation_gateway gateway;
    std::mutex mutex;
    std::vector<std::string> received;
    std::vector<std::unique_ptr<scripted_backend>> servers;
    gateway.configure(2, 50'000);
    for (int i = 0; i < 6; ++i)
    {
        servers.push_back(std::make_unique<scripted_backend>(
            [&](tcp_stream& stream, const received_request& request) {
                {
                    const std::lock_guard lock(mutex);
                    received.push_back(is_order(request) ? operation_of(request)
                                                         : "request");
                }
                gateway.evacuate("z");
                answer_order(stream);
            }));
        gateway.add_in_zone(*servers.back(), fmt::format("i-{}", i), "model", "z");
    }
    cr_assert_eq(gateway.send_request("/stream/x", prompt_headers(180'000)).head.status,
                 503);
    gateway.join_connections();
    cr_assert_eq(received, (std::vector<std::string>{"reserve", "release"}));
}

/// The zone drains: a prompt that runs there needs its memory at the helper to the end.
Test(gateway_evacuation, reservations_of_a_running_stream_are_renewed_and_released)
{
    evacuation_gateway gateway;
    const auto serve = [&](tcp_stream& stream, const received_request& request) {
        if (is_order(request))
        {
            answer_order(stream);
            return;
        }
        gateway.evacuate("z");
        begin_event_stream(stream, request);
        for (int i = 1; i <= 6; ++i) // longer than the interval between renewals
        {
            send_chunk(stream, event(i));
            std::this_thread::sleep_for(milliseconds{300});
        }
        send_text(stream, "0\r\n\r\n");
    };
    scripted_backend one(serve);
    scripted_backend two(serve);
    gateway.configure(2, 50'000);
    gateway.add_in_zone(one, "i-1", "model", "z");
    gateway.add_in_zone(two, "i-2", "model", "z");
    cr_assert(gateway.send_request("/stream/x", prompt_headers(80'000)).complete);
    gateway.join_connections();
    std::vector<std::string> operations;
    for (auto* it : {&one, &two})
    {
        for (const auto& request : it->requests())
        {
            if (is_order(request))
            {
                operations.push_back(operation_of(request));
            }
        }
    }
    cr_assert_eq(operations, (std::vector<std::string>{"reserve", "reserve", "release"}));
}

/// The stream breaks off after the evacuation. Only the backend server in the other zone
/// may go on with it.
Test(gateway_evacuation, stream_that_breaks_off_in_the_zone_is_resumed_elsewhere)
{
    evacuation_gateway gateway;
    std::atomic<int> requests_in_zone = 0;
    scripted_backend there([](auto& stream, const auto& request) {
        send_event_stream(stream, request, 2, 3);
    });
    const auto break_off = [&](tcp_stream& stream, const received_request& request) {
        ++requests_in_zone;
        begin_event_stream(stream, request);
        send_chunk(stream, event(1));
        gateway.add_in_zone(there, "i-3", "model", "y");
        gateway.evacuate("z");
    };
    scripted_backend one(break_off);
    scripted_backend two(break_off);
    gateway.add_in_zone(one, "i-1", "model", "z");
    gateway.add_in_zone(two, "i-2", "model", "z");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert(answer.complete);
    cr_assert_eq(requests_in_zone, 1);
    cr_assert_eq(there.requests().size(), 1U);
}

/// A gateway that starts in the middle of an evacuation, and reads the operator's table
/// from another gateway, since the store is silent to it.
Test(gateway_evacuation, gateway_started_during_an_evacuation_sends_nothing_to_the_zone)
{
    scripted_backend here(answer_ok);
    scripted_backend there(answer_ok);
    evacuation_gateway gateway;
    gateway.join_connections();
    gateway.connections.clear();
    gateway.state = std::make_unique<gateway_state>(gateway.settings);
    gateway.state->backends_loaded = true;
    gateway.add_in_zone(here, "i-1", "plain", "z");
    gateway.add_in_zone(there, "i-2", "plain", "y");
    cr_assert_eq(gateway.send_request("/safe/x").head.status, 503);
    table_cache relayed;
    row_batch rows;
    rows.version = {0, 4};
    rows.rows.push_back({"evacuate/z", "{}", {0, 2}});
    relayed.replace(rows);
    relayed.set_may_relay(true);
    configuration_follower<platform::adapter::codec> follower(*gateway.state);
    follower.on_snapshot(*relayed.wait_for_changes({}, milliseconds{0}), steady::now());
    gateway.configure(2);
    for (int i = 0; i < 3; ++i)
    {
        cr_assert_eq(gateway.send_request("/safe/x").head.status, 200);
    }
    cr_assert(here.requests().empty());
    cr_assert_eq(there.requests().size(), 3U);
}
