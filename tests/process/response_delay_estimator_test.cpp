#include "process/response_delay_estimator.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

Test(response_delay_estimator, unknown_service_has_no_allowed_delay)
{
    const response_delay_estimator it;
    cr_assert_eq(it.allowed_delay("model").count(), 0);
}

Test(response_delay_estimator, late_responses_raise_the_allowed_delay_of_their_service)
{
    response_delay_estimator it;
    for (int i = 0; i < 50; ++i)
    {
        it.add("model", milliseconds{i % 2 == 0 ? 600 : 1'200});
    }
    cr_assert_gt(it.allowed_delay("model").count(), 1'200);
    cr_assert_eq(it.allowed_delay("other").count(), 0);
}

Test(response_delay_estimator, allowed_delay_decreases_after_prompt_responses)
{
    response_delay_estimator it;
    it.add("model", milliseconds{2'000});
    for (int i = 0; i < 60; ++i)
    {
        it.add("model", milliseconds{-20}); // earlier than predicted
    }
    cr_assert_lt(it.allowed_delay("model").count(), 100);
}
