/// The list of customers in the operator's configuration, missing, empty or of another
/// type. Guards against a configuration that admits everybody because nobody is left in
/// its list, or because the list could not be read.
#include "connection/codec_error.hpp"
#include "platform/adapter.hpp"
#include "process/platform_followers.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>

using namespace pistachiopost;

namespace {

std::string document(std::uint64_t version, std::string_view customers)
{
    return fmt::format(R"({{"version":{},"routes":[],"services":[]{}}})", version,
                       customers);
}

route_table decode(std::string_view customers)
{
    return platform::decode_configuration(document(7, customers));
}

struct configuration_fixture
{
    void write(std::uint64_t version, std::string_view customers)
    {
        row_batch batch;
        batch.version = {0, version};
        batch.rows.push_back(
            {"config", document(version, customers), batch.version, false});
        follower.on_changes(batch, steady::now());
    }

    gateway_settings settings;
    gateway_state state{settings};
    configuration_follower<platform::adapter::codec> follower{state};
};

} // namespace

Test(customers_codec, missing_list_requires_no_key)
{
    cr_assert_not(decode("").requires_key());
}

Test(customers_codec, empty_list_requires_a_key)
{
    const auto table = decode(R"(,"tenants":[])");
    cr_assert(table.requires_key());
    cr_assert_null(table.find_customer("k"));
}

Test(customers_codec, customers_without_keys_require_a_key)
{
    const auto table = decode(R"(,"tenants":[{"name":"a","api-keys":[]},{"name":"b"}])");
    cr_assert(table.requires_key());
    cr_assert_null(table.find_customer(""));
}

Test(customers_codec, empty_key_identifies_nobody)
{
    const auto table = decode(R"(,"tenants":[{"name":"a","api-keys":["","k"]}])");
    cr_assert_null(table.find_customer(""));
    cr_assert_eq(table.find_customer("k")->name, "a");
}

Test(customers_codec, list_of_another_type_throws_codec_error)
{
    for (const auto* it : {"null", "{}", R"({"a":{"name":"a","api-keys":["k"]}})",
                           R"("")", R"("a")", "0", "1.5", "true", "false"})
    {
        cr_assert_throw(decode(fmt::format(R"(,"tenants":{})", it)), codec_error, "%s",
                        it);
    }
}

Test(customers_codec, entry_or_keys_of_another_type_throw_codec_error)
{
    for (const auto* it :
         {"null", "[]", R"("a")", "{}", R"({"name":null})",
          R"({"name":"a","api-keys":null})", R"({"name":"a","api-keys":"k"})",
          R"({"name":"a","api-keys":{}})", R"({"name":"a","api-keys":[null]})"})
    {
        cr_assert_throw(decode(fmt::format(R"(,"tenants":[{}])", it)), codec_error, "%s",
                        it);
    }
}

Test(customers_codec, unreadable_list_leaves_the_last_version_in_force)
{
    configuration_fixture it;
    it.write(1, R"(,"tenants":[{"name":"a","api-keys":["k"]}])");
    for (const auto* list : {"null", "{}", "1"})
    {
        it.write(2, fmt::format(R"(,"tenants":{})", list));
        cr_assert_eq(it.state.routes.version(), 1U, "%s", list);
    }
    it.write(3, R"(,"tenants":[])");
    cr_assert_eq(it.state.routes.version(), 3U);
    cr_assert(it.state.routes.current()->requires_key());
}
