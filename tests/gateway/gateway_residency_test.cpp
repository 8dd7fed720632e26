/// Routes and customers whose requests may be served in some regions only.
#include "gateway_fixture.hpp"

#include <criterion/criterion.h>

#include <memory>
#include <string>

using namespace pistachiopost;

namespace {

void answer_ok(tcp_stream& stream, const received_request& request)
{
    send_response(stream, request, 200, "ok");
}

/// A gateway in region `north` before one backend server there and one in `south`.
struct residency_gateway : gateway_fixture
{
    residency_gateway()
    {
        settings.zone_regions = {{"z", "north"}, {"y", "south"}};
        state = std::make_unique<gateway_state>(settings);
        state->backends_loaded = true;
        add("i-1", north, "z");
        add("i-2", south, "y");
    }

    void add(const std::string& id, const scripted_backend& server,
             const std::string& zone) const
    {
        const backend_record record{id, "plain", server.address, zone, 4, false, 1};
        state->dispatch.update_registry(
            steady::now(), [&](auto& it) { it.upsert(record, steady::now()); });
    }

    /// Puts a route with a customer in force, each with its field `allowed-regions`.
    void allow(const nlohmann::json& by_route, const nlohmann::json& by_customer) const
    {
        using nlohmann::json;
        const json document{
            {"version", state->routes.version() + 1},
            {"routes", json::array({json{{"host", "a.test"},
                                         {"prefix", "/safe/"},
                                         {"kind", "safe"},
                                         {"timeout-ms", 4000},
                                         {"target-latency-ms", 300},
                                         {"max-attempts", 2},
                                         {"service", "plain"},
                                         {"allowed-regions", by_route}}})},
            {"services", json::array({json{{"name", "plain"}}})},
            {"tenants", json::array({json{{"name", "ann"},
                                          {"api-keys", json::array({"key-a"})},
                                          {"allowed-regions", by_customer}}})}};
        state->routes.advance(std::make_shared<const route_table>(
            platform::decode_configuration(document.dump())));
    }

    [[nodiscard]] bool has_metric(std::string_view line) const
    {
        return state->metrics.text({"vm"}).find(line) != std::string::npos;
    }

    scripted_backend north{answer_ok};
    scripted_backend south{answer_ok};
};

} // namespace

Test(gateway_residency, requests_of_a_route_stay_in_its_regions)
{
    residency_gateway gateway;
    gateway.allow({"south"}, nlohmann::json::array());
    for (int i = 0; i < 3; ++i)
    {
        cr_assert_eq(gateway.send_request("/safe/x").head.status, 200);
    }
    cr_assert(gateway.north.requests().empty());
}

Test(gateway_residency, requests_of_a_customer_stay_in_the_regions_of_both)
{
    residency_gateway gateway;
    gateway.allow({"north", "south"}, {"south", "west"});
    cr_assert_eq(gateway.send_request("/safe/x").head.status, 200);
    cr_assert(gateway.north.requests().empty());
}

Test(gateway_residency, request_that_no_region_may_serve_is_refused_at_once)
{
    residency_gateway gateway;
    gateway.allow({"north"}, {"south"});
    const auto began = steady::now();
    cr_assert_eq(gateway.send_request("/safe/x").head.status, 503);
    cr_assert_lt(steady::now() - began, seconds{1});
    cr_assert(gateway.has_metric("pistachiopost_region_refusals_total 1\n"));
    cr_assert(gateway.north.requests().empty() && gateway.south.requests().empty());
}

/// The backend server of the region fails: the retry must not leave the region.
Test(gateway_residency, failed_request_is_not_retried_in_another_region)
{
    residency_gateway gateway;
    const scripted_backend failing([](auto& stream, const auto&) {
        send_text(stream, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
    gateway.add("i-1", failing, "z");
    gateway.allow({"north"}, nlohmann::json::array());
    cr_assert_eq(gateway.send_request("/safe/x").head.status, 503);
    cr_assert(gateway.south.requests().empty());
}
