#include "process/answer_delays.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

Test(answer_delays, unknown_service_has_no_allowance)
{
    const answer_delays it;
    cr_assert_eq(it.allowance("model").count(), 0);
}

Test(answer_delays, full_fleet_that_answers_late_gets_time)
{
    answer_delays it;
    for (int i = 0; i < 50; ++i)
    {
        it.add("model", milliseconds{i % 2 == 0 ? 600 : 1'200});
    }
    cr_assert_gt(it.allowance("model").count(), 1'200);
    cr_assert_eq(it.allowance("other").count(), 0);
}

Test(answer_delays, allowance_shrinks_when_answers_are_prompt_again)
{
    answer_delays it;
    it.add("model", milliseconds{2'000});
    for (int i = 0; i < 60; ++i)
    {
        it.add("model", milliseconds{-20}); // sooner than expected
    }
    cr_assert_lt(it.allowance("model").count(), 100);
}
