#include "connection/event_splitter.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

Test(event_splitter, single_byte_fragments_yield_complete_events_unchanged)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\nversion: 3\ndata: b\n\n";
    event_splitter splitter;
    std::string got;
    for (const char c : text)
    {
        splitter.feed(std::string_view(&c, 1));
        got += splitter.take_complete_events();
    }
    cr_assert_eq(got, text);
    cr_assert_eq(splitter.last_id().value_or(""), "2");
    cr_assert_not(splitter.has_partial());
}

Test(event_splitter, incomplete_event_is_buffered_until_discarded)
{
    event_splitter splitter;
    splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
    cr_assert_eq(splitter.take_complete_events(), "id: 1\ndata: a\n\n");
    cr_assert(splitter.has_partial());
    splitter.discard_partial();
    cr_assert_not(splitter.has_partial());
    cr_assert_eq(splitter.last_id().value_or(""), "1");
}

Test(event_splitter, id_prefix_inside_data_is_not_an_event_id)
{
    event_splitter splitter;
    splitter.feed("id: 4\ndata: paid: 9\n\n");
    splitter.take_complete_events();
    cr_assert_eq(splitter.last_id().value_or(""), "4");
}
