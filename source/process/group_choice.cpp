#include "process/group_choice.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace pistachiopost {

namespace {

constexpr double usable_memory_share = 0.8; // of each engine in a group
constexpr std::size_t max_members = 8;      // engines in one group

std::uint64_t usable_tokens(const candidate& it)
{
    return static_cast<std::uint64_t>(usable_memory_share *
                                      static_cast<double>(it.memory_tokens));
}

} // namespace

std::uint64_t needed_memory(const request& req)
{
    return req.prompt_tokens + req.output_tokens;
}

choice_result choose_group(const request& req, std::span<const candidate> list,
                           bool isolated)
{
    std::vector<const candidate*> by_wait;
    for (const auto& it : list)
    {
        by_wait.push_back(&it);
    }
    std::sort(by_wait.begin(), by_wait.end(), [](const auto* a, const auto* b) {
        return a->expected_wait + a->wait_penalty < b->expected_wait + b->wait_penalty;
    });
    const auto needed = needed_memory(req);
    std::uint64_t held = 0;
    std::vector<const candidate*> group;
    for (const auto* it : by_wait)
    {
        if (held >= needed || group.size() == max_members)
        {
            break;
        }
        group.push_back(it);
        held += usable_tokens(*it);
    }
    if (held < needed)
    {
        return refusal{
            refusal_reason::too_large, run_state::not_run,
            fmt::format("needs {} tokens of memory; the backend servers at hand "
                        "hold {} together",
                        needed, held),
            milliseconds{0}};
    }
    std::sort(group.begin(), group.end(),
              [](const auto* a, const auto* b) { return a->vm < b->vm; });
    const auto* primary = group.back();
    group.pop_back();
    chosen_backend chosen{primary->vm, isolated, {}};
    auto remote_tokens = needed - std::min(needed, usable_tokens(*primary));
    for (const auto* it : group)
    {
        const auto tokens = std::min(remote_tokens, usable_tokens(*it));
        chosen.members.push_back({it->vm, tokens});
        remote_tokens -= tokens;
    }
    return chosen;
}

} // namespace pistachiopost
