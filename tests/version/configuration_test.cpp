#include "process/platform_watch.hpp"
#include "version/configuration_document.hpp"
#include "version/configuration_holder.hpp"
#include "version/version_error.hpp"

#include <criterion/criterion.h>

#include <fmt/format.h>

using namespace pistachiopost;

namespace {

std::string document(std::uint64_t version)
{
    return fmt::format(R"({{"version": {}, "customers": {{"optique": {{"weight": 2,
        "keys": {{"{}": {{}}}}}}}}, "models": {{"lens-model": {{}}}}}})",
                       version, key_digest("secret"));
}

/// Table service stub whose head version can be set, also to an older one.
struct versions_source
{
    std::uint64_t head_version() const { return head; }
    std::string configuration(std::uint64_t version) const { return document(version); }
    std::uint64_t head = 0;
};

} // namespace

Test(configuration, customer_is_found_by_key_digest)
{
    const auto it = parse_configuration(document(1));
    const auto* found = it->customer_by_key(key_digest("secret"));
    cr_assert_not_null(found);
    cr_assert_eq(found->name, "optique");
    cr_assert_eq(found->weight, 2U);
    cr_assert_null(it->customer_by_key(key_digest("other")));
}

/// A configuration in which no customer is left must not admit everybody.
Test(configuration, no_key_is_valid_without_customers)
{
    for (const auto* text : {R"({"version": 1})", R"({"version": 1, "customers": {}})",
                             R"({"version": 1, "customers": {"optique": {}}})",
                             R"({"version": 1, "customers": {"optique": {"keys": {}}}})"})
    {
        const auto it = parse_configuration(text);
        cr_assert_null(it->customer_by_key(key_digest("secret")), "%s", text);
        cr_assert_null(it->customer_by_key(key_digest("")), "%s", text);
        cr_assert_null(it->customer_by_key(""), "%s", text);
    }
}

Test(configuration, customers_of_another_type_throw_version_error)
{
    for (const auto* customers : {"null", "[]", R"("optique")", "1", "false"})
    {
        cr_assert_throw(parse_configuration(fmt::format(
                            R"({{"version": 1, "customers": {}}})", customers)),
                        version_error, "%s", customers);
    }
}

Test(configuration, unknown_field_throws_version_error)
{
    cr_assert_throw(parse_configuration(R"({"version": 1, "models": {"m": {"max": 1}}})"),
                    version_error);
}

Test(configuration, duplicate_key_throws_version_error)
{
    configuration_builder builder(1);
    builder.add_customer({"a", 1}).add_customer({"b", 1}).add_key("digest", "a");
    cr_assert_throw(builder.add_key("digest", "b"), version_error);
}

Test(follow_configuration, older_head_is_ignored)
{
    configuration_holder holder;
    versions_source source;
    source.head = 5;
    cr_assert(follow_configuration(source, holder));
    source.head = 4;
    cr_assert_not(follow_configuration(source, holder));
    cr_assert_eq(holder.version(), 5U);
}

Test(configuration_holder, held_version_is_unchanged_when_a_newer_one_becomes_current)
{
    configuration_holder holder;
    holder.advance(parse_configuration(document(1)));
    const auto mine = holder.current();
    holder.advance(parse_configuration(document(2)));
    cr_assert_eq(mine->version(), 1U);
    cr_assert_eq(holder.version(), 2U);
    cr_assert_not(holder.advance(mine));
}
