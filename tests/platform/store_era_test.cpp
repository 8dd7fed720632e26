/// What the store's client makes of the era that answers name.
#include "fixtures/raw_server.hpp"

#include "platform/store_client.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace pistachiopost;

namespace {

/// An answer of the store; `fields` are header lines.
struct era_answer
{
    std::string fields;
    std::string body;
};

const std::string first_page =
    R"({"rows":[{"key":"a","value":"","ver":3}],"has-more":true,"ver":9})";
const std::string last_page =
    R"({"rows":[{"key":"b","value":"","ver":4}],"has-more":false,"ver":9})";

/// A store that gives scripted answers, and its client.
struct store_era_fixture
{
    explicit store_era_fixture(std::vector<era_answer> it) : answers(std::move(it)) {}

    std::vector<era_answer> answers;
    raw_server store{[this](tcp_stream& stream, std::size_t) {
        for (const auto& [fields, body] : answers)
        {
            received_request request;
            if (read_request(stream, caller_limits(), -1, request) !=
                request_outcome::complete)
            {
                return;
            }
            stream.send(fmt::format("HTTP/1.1 200 x\r\n{}Content-Length: {}\r\n\r\n{}",
                                    fields, body.size(), body),
                        steady::now() + seconds{5});
        }
    }};
    platform::store_client client{store.address};
};

} // namespace

Test(store_era, era_of_an_answer_is_that_of_its_rows)
{
    store_era_fixture it({{"Store-Era: 7\r\n", last_page}});
    const auto batch = it.client.read_table("t");
    cr_assert(batch.version == store_version(7, 9));
    cr_assert(batch.rows.at(0).version == store_version(7, 4));
}

// Guards against a table of which one part is from before the store's return from a copy.
Test(store_era, pages_of_two_eras_are_no_table)
{
    store_era_fixture it({{"Store-Era: 1\r\n", first_page},
                          {"Store-Era: 2\r\n", last_page},
                          {"Store-Era: 2\r\n", last_page}});
    cr_assert_throw(it.client.read_table("t"), store_error);
    cr_assert(it.client.read_table("t").version == store_version(2, 9));
}

Test(store_era, answer_that_names_no_era_is_of_the_last_one_named)
{
    store_era_fixture it({{"Store-Era: 2\r\n", last_page},
                          {"", last_page},
                          {"Store-Era: x\r\n", last_page}});
    for (int i = 0; i < 3; ++i)
    {
        cr_assert(it.client.read_table("t").version == store_version(2, 9));
    }
}

Test(store_era, store_that_never_names_an_era_has_era_0)
{
    store_era_fixture it({{"", last_page}});
    cr_assert(it.client.read_table("t").version == store_version(0, 9));
}
