#include "version/route_table.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

route route_to(std::string host, std::string prefix, std::string service)
{
    route it;
    it.name = prefix;
    it.host = std::move(host);
    it.prefix = std::move(prefix);
    it.services = {{std::move(service), 1}};
    return it;
}

/// Route table with nested prefixes and one customer.
struct table_fixture
{
    route_table table = route_table_builder()
                            .version(7)
                            .add(route_to("a", "/", "root"))
                            .add(route_to("a", "/x/y/", "deep"))
                            .add(route_to("a", "/x/", "shallow"))
                            .add(gateway_customer{"ann", {"k1", "k2"}, std::nullopt})
                            .build();
};

} // namespace

Test(route_table, longest_prefix_of_the_host_wins)
{
    const table_fixture it;
    cr_assert_eq(it.table.find_route("a", "/x/y/z")->services[0].service, "deep");
    cr_assert_eq(it.table.find_route("a", "/x/z")->services[0].service, "shallow");
    cr_assert_eq(it.table.find_route("a", "/z?q=/x/")->services[0].service, "root");
}

Test(route_table, other_host_has_no_route)
{
    const table_fixture it;
    cr_assert_null(it.table.find_route("b", "/x/"));
}

Test(route_table, customer_is_found_only_by_its_exact_keys)
{
    const table_fixture it;
    cr_assert_eq(it.table.find_customer("k2")->name, "ann");
    cr_assert_null(it.table.find_customer(""));
    cr_assert_null(it.table.find_customer("k"));
}

/// A deployment whose last customer is removed must not be taken for one without
/// customers.
Test(route_table, key_is_required_once_customers_are_configured)
{
    cr_assert_not(route_table_builder().version(1).build().requires_key());
    cr_assert(route_table_builder().version(1).require_key().build().requires_key());
    cr_assert(table_fixture().table.requires_key());
}

Test(route_table, prefill_time_grows_with_the_square_of_the_prompt)
{
    engine_cost_model engine;
    engine.prefill_tokens_per_ms = 200;
    engine.prefill_ms_per_million_pairs = 0.1;
    cr_assert_float_eq(engine.prefill_ms(100'000), 500 + 500, 0.01);
    cr_assert_float_eq(engine.prefill_ms(200'000), 1'000 + 2'000, 0.01);
}

Test(route_table, caller_timeout_of_a_stream_is_the_longest_of_three)
{
    route it;
    it.kind = call_kind::stream;
    it.latency_target = milliseconds{300};
    it.event_gap_target = milliseconds{200};
    cr_assert_eq(it.caller_timeout(), milliseconds{2'000});
    it.latency_target = milliseconds{3'000};
    cr_assert_eq(it.caller_timeout(), milliseconds{12'000});
}
