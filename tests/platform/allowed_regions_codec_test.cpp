/// The field allowed-regions of routes and customers in the configuration.
#include "connection/codec_error.hpp"
#include "platform/configuration_codec.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

using namespace pistachiopost;

namespace {

route_table decode(std::string_view by_route, std::string_view by_customer)
{
    return platform::decode_configuration(fmt::format(
        R"({{"version":1,"services":[{{"name":"s"}}],
            "routes":[{{"host":"h","prefix":"/","kind":"safe","service":"s"{}}}],
            "tenants":[{{"name":"ann","api-keys":["k"]{}}}]}})",
        by_route, by_customer));
}

} // namespace

Test(allowed_regions_codec, lists_of_routes_and_customers_are_read)
{
    const auto table =
        decode(R"(,"allowed-regions":["a","b"])", R"(,"allowed-regions":["c"])");
    cr_assert_eq(table.find_route("h", "/")->allowed_regions,
                 (std::vector<std::string>{"a", "b"}));
    cr_assert_eq(table.find_customer("k")->allowed_regions,
                 std::vector<std::string>{"c"});
}

Test(allowed_regions_codec, missing_and_empty_lists_allow_all)
{
    const auto table = decode("", R"(,"allowed-regions":[])");
    cr_assert(table.find_route("h", "/")->allowed_regions.empty());
    cr_assert(table.find_customer("k")->allowed_regions.empty());
}

/// Ignoring the field would allow all regions.
Test(allowed_regions_codec, configuration_with_an_invalid_list_is_rejected)
{
    for (const char* list : {R"("a")", "[7]", "null", R"({"a":1})", R"([["a"]])"})
    {
        const auto field = fmt::format(R"(,"allowed-regions":{})", list);
        cr_assert_throw(decode(field, ""), codec_error, "route with %s", list);
        cr_assert_throw(decode("", field), codec_error, "customer with %s", list);
    }
}
