#include "request/repeat_decision.hpp"

namespace pistachiopost {

namespace {

// Attempts that surely did not run and are sent on, for one request: the callers' own
// retries follow.
constexpr std::uint32_t max_redirects = 3;
// A further attempt needs at least a round trip and a short answer.
constexpr milliseconds least_time_left{20};

} // namespace

bool may_repeat(const route& way, const attempt_history& history, time_point now,
                time_point until)
{
    if (until - now < least_time_left || history.not_run > max_redirects)
    {
        return false;
    }
    if (history.may_have_run == 0)
    {
        return true;
    }
    return way.repeatable() && history.may_have_run < way.max_attempts;
}

own_answer final_answer(const attempt_history& history, bool out_of_time)
{
    if (history.response_begun)
    {
        return own_answer::broken_off;
    }
    if (history.may_have_run == 0)
    {
        return own_answer::not_run;
    }
    return out_of_time ? own_answer::out_of_time : own_answer::failed;
}

} // namespace pistachiopost
