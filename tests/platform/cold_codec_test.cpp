/// The rows, answers and configuration fields that state a cold start.
#include "connection/codec_error.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/message_codec.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>

using namespace pistachiopost;

namespace {

std::optional<backend_record> read_row(std::string_view cold_field, std::string& fault)
{
    const auto row = fmt::format(R"({{"service":"s","address":"10.0.0.1:80","zone":"z",
        "slots":4,"state":"ready","born":5{}}})",
                                 cold_field);
    return platform::decode_backend("i-1", row, fault);
}

routed_service read_service(std::string_view fields)
{
    const auto table = platform::decode_configuration(fmt::format(
        R"({{"version":1,"routes":[],"services":[{{"name":"s"{}}}]}})", fields));
    return *table.find_service("s");
}

milliseconds cold_of(int status, const std::vector<header_field>& fields)
{
    message_head head;
    head.status = status;
    head.fields = fields;
    return platform::decode_notice(head, "r1").cold;
}

} // namespace

// Guards against a cold server that gets full load because its row was not understood.
Test(configuration_codec, remaining_cold_time_of_a_row_is_read)
{
    std::string fault;
    cr_assert_eq(read_row(R"(,"cold-remaining-ms":2500)", fault)->cold_remaining,
                 milliseconds{2'500});
    cr_assert_eq(read_row(R"(,"cold-remaining-ms":0.5)", fault)->cold_remaining,
                 milliseconds{1}, "never shorter than stated");
    cr_assert_eq(read_row(R"(,"cold-remaining-ms":3600000)", fault)->cold_remaining,
                 milliseconds{3'600'000});
}

// Guards against a usable server that is lost because of a field that says nothing.
Test(configuration_codec, missing_or_ill_typed_cold_time_is_read_as_zero)
{
    std::string fault;
    for (const char* it :
         {"", R"(,"cold-remaining-ms":null)", R"(,"cold-remaining-ms":"3000")",
          R"(,"cold-remaining-ms":[3000])", R"(,"cold-remaining-ms":true)"})
    {
        const auto record = read_row(it, fault);
        cr_assert(record.has_value(), "%s", it);
        cr_assert_eq(record->cold_remaining, milliseconds{0}, "%s", it);
    }
}

// Guards against a corrupt row that limits a server for hours.
Test(configuration_codec, row_with_a_cold_time_out_of_range_is_unusable)
{
    for (const char* it : {"-1", "-0.5", "3600001", "1e300"})
    {
        std::string fault;
        cr_assert_not(
            read_row(fmt::format(R"(,"cold-remaining-ms":{})", it), fault).has_value(),
            "%s", it);
        cr_assert(fault.find("cold-remaining-ms") != std::string::npos);
    }
}

// Guards against a limit that the configuration does not ask for.
Test(configuration_codec, cold_start_of_a_service_is_read_and_is_off_by_default)
{
    const auto cold = read_service(R"(,"cold-start-s":3,"cold-per-s":28)");
    cr_assert_eq(cold.cold_start, seconds{3});
    cr_assert_eq(cold.cold_per_second, 28);
    cr_assert_eq(read_service(R"(,"cold-start-s":0.25)").cold_start, milliseconds{250});
    cr_assert_eq(read_service("").cold_start, seconds{0});
    cr_assert_eq(read_service("").cold_per_second, 0);
}

Test(configuration_codec, cold_start_out_of_range_is_a_codec_error)
{
    cr_assert_throw(read_service(R"(,"cold-start-s":-1)"), codec_error);
    cr_assert_throw(read_service(R"(,"cold-start-s":3601)"), codec_error);
    cr_assert_throw(read_service(R"(,"cold-per-s":-1)"), codec_error);
    cr_assert_throw(read_service(R"(,"cold-per-s":1e9)"), codec_error);
}

// Guards against a server that turns cold again, of which only its answers tell.
Test(platform_message_codec, cold_time_is_read_from_any_answer_of_the_backend_server)
{
    const header_field id{"Request-Id", "r1"};
    const header_field cold{"cold-ms", "1500"};
    const milliseconds stated{1'500};
    cr_assert_eq(cold_of(200, {id, cold}), stated);
    cr_assert_eq(cold_of(500, {cold}), stated);
    cr_assert_eq(cold_of(421, {cold}).count(), 0, "from another backend server");
    cr_assert_eq(cold_of(200, {{"Request-Id", "r2"}, cold}).count(), 0,
                 "answers another request");
}

Test(platform_message_codec, invalid_cold_time_of_an_answer_is_ignored)
{
    for (const char* it :
         {"", "0", "-1", "1.5", "soon", "3600001", "99999999999999999999"})
    {
        cr_assert_eq(cold_of(200, {{"Cold-Ms", it}}).count(), 0, "%s", it);
    }
}
