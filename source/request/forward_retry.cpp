#include "request/forward_retry.hpp"

namespace pistachiopost {

namespace {

// Attempts of one request that are redirected after a backend server did not run them.
// Beyond that, the caller retries.
constexpr std::uint32_t max_redirects = 3;
// A further attempt needs time for at least a round trip and a short answer.
constexpr milliseconds min_time_left{20};

} // namespace

bool may_retry(const route& target, const attempt_history& history, time_point now,
               time_point until)
{
    if (until - now < min_time_left || history.not_run > max_redirects)
    {
        return false;
    }
    if (history.may_have_run == 0)
    {
        return true;
    }
    return target.repeatable() && history.may_have_run < target.max_attempts;
}

local_reply choose_local_reply(const attempt_history& history, bool out_of_time)
{
    if (history.response_begun)
    {
        return local_reply::broken_off;
    }
    if (history.may_have_run == 0)
    {
        return local_reply::not_run;
    }
    return out_of_time ? local_reply::out_of_time : local_reply::failed;
}

} // namespace pistachiopost
