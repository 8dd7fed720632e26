#include "connection/event_cutter.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

Test(event_cutter, bytes_in_any_pieces_yield_whole_events_unchanged)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\nversion: 3\ndata: b\n\n";
    event_cutter cutter;
    std::string got;
    for (const char c : text)
    {
        cutter.feed(std::string_view(&c, 1));
        got += cutter.take_whole_events();
    }
    cr_assert_eq(got, text);
    cr_assert_eq(cutter.last_id().value_or(""), "2");
    cr_assert_not(cutter.has_partial());
}

Test(event_cutter, part_of_an_event_is_kept_back_and_can_be_dropped)
{
    event_cutter cutter;
    cutter.feed("id: 1\ndata: a\n\nid: 2\nda");
    cr_assert_eq(cutter.take_whole_events(), "id: 1\ndata: a\n\n");
    cr_assert(cutter.has_partial());
    cutter.drop_partial();
    cr_assert_not(cutter.has_partial());
    cr_assert_eq(cutter.last_id().value_or(""), "1");
}

Test(event_cutter, text_that_looks_like_an_identifier_inside_data_is_none)
{
    event_cutter cutter;
    cutter.feed("id: 4\ndata: paid: 9\n\n");
    cutter.take_whole_events();
    cr_assert_eq(cutter.last_id().value_or(""), "4");
}
