#include "model/overload_model.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;
using namespace pistachiopost::model;

namespace {

overload_result play(const overload_scene& scene)
{
    return overload_model(scene).run();
}

outcome_counts total_of(const overload_result& result)
{
    outcome_counts sum;
    for (const auto& it : result.kinds)
    {
        sum += it.usual;
        sum += it.largest;
    }
    return sum;
}

} // namespace

// Guards against a scene that depends on anything but its seed.
Test(overload, same_seed_gives_the_same_result)
{
    cr_assert_eq(to_table(play(burst_scene(3))), to_table(play(burst_scene(3))));
}

// Guards against rejections when the engines suffice for all callers.
Test(overload, calm_load_is_not_rejected)
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        const auto sum = total_of(play(calm_scene(seed)));
        cr_assert_eq(sum.count(call_outcome::rejected_at_once), 0U);
        cr_assert_eq(sum.count(call_outcome::rejected_late), 0U);
    }
}

// Guards against a scene that loses calls from its report.
Test(overload, every_call_has_one_outcome)
{
    const auto scene = burst_scene(1);
    cr_assert_eq(total_of(play(scene)).total(), make_calls(scene).size());
}

// Guards against engine time that is lost to prompts whose callers leave before the end
// (366 s of 89 long prompts before admission by forecast), and against prompts that are
// held and then rejected (0.21 of all worth before; the bound is that of the deployment).
Test(overload, long_prompts_that_cannot_end_in_time_are_rejected_early)
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        const auto result = play(burst_scene(seed));
        cr_assert_eq(result.futile_starts, 0U);
        cr_assert_leq(result.held_share(), 0.03);
        cr_assert_gt(result.kinds.back().usual.count(call_outcome::rejected_at_once), 0U);
    }
}
