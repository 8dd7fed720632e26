#include "process/backend_choice.hpp"
#include "process/backend_directory.hpp"
#include "process/crash_registry.hpp"
#include "process/retry_budget.hpp"
#include "process/subset.hpp"

#include <criterion/criterion.h>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

std::vector<backend_server> make_servers(int n)
{
    std::vector<backend_server> list;
    for (int i = 0; i < n; ++i)
    {
        backend_server it;
        it.vm = fmt::format("vm-{}", i);
        it.zone = i % 3 == 0 ? "tamarin" : i % 3 == 1 ? "flicq" : "reduit";
        it.serves = "lens-model";
        list.push_back(it);
    }
    return list;
}

request make_request(std::uint64_t tokens)
{
    return request_builder("r")
        .completion("lens-model", "/v1/completions", nullptr, tokens, "", 1)
        .deadline(start + seconds{10})
        .build();
}

struct directory_fixture
{
    directory_fixture()
    {
        directory.set_list(servers);
        for (const auto& it : servers)
        {
            directory.set_linked(it.vm, true, start);
            directory.set_report(it.vm, report, start);
        }
    }

    [[nodiscard]] std::vector<candidate> candidates(time_point now = start) const
    {
        return directory.candidates(make_request(1'000), {}, now);
    }

    load_report report{.boot = "b",
                       .draining = false,
                       .healthy = true,
                       .running = 0,
                       .queued = 0,
                       .memory_used = 0,
                       .memory_total = 450'000,
                       .backlog = {},
                       .prefill_rate = 100'000};
    std::vector<backend_server> servers = make_servers(3);
    backend_directory directory{"tamarin", 0.34};
};

} // namespace

Test(backend_directory, draining_server_is_no_candidate)
{
    directory_fixture it;
    it.report.draining = true;
    it.directory.set_report("vm-1", it.report, start);
    cr_assert_eq(it.candidates().size(), 2U);
}

Test(backend_directory, server_listed_as_leaving_is_no_candidate)
{
    directory_fixture it;
    it.servers[0].leaving = true;
    it.directory.set_list(it.servers);
    cr_assert_eq(it.candidates().size(), 2U);
}

Test(backend_directory, linked_server_missing_from_the_lagging_list_stays)
{
    directory_fixture it;
    it.servers.pop_back();
    it.directory.set_list(it.servers);
    cr_assert_eq(it.candidates().size(), 3U);
}

Test(backend_directory, failing_server_is_avoided_then_tried_again)
{
    directory_fixture it;
    it.directory.count_failure("vm-0", start);
    cr_assert_eq(it.candidates(start).size(), 2U);
    cr_assert_eq(it.candidates(start + milliseconds{150}).size(), 3U);
    it.directory.count_failure("vm-0", start);
    cr_assert_eq(it.candidates(start + milliseconds{150}).size(), 2U);
}

Test(backend_directory, work_sent_since_the_report_counts_as_wait)
{
    directory_fixture it;
    it.directory.count_sent("vm-0", 50'000, start);
    const auto list = it.candidates();
    cr_assert_eq(list[0].expected_wait.count(), 500);
    cr_assert_eq(it.candidates(start + milliseconds{200})[0].expected_wait.count(), 300);
    it.directory.set_report("vm-0", it.report, start);
    cr_assert_eq(it.candidates()[0].expected_wait.count(), 0);
}

Test(backend_directory, one_server_in_three_is_reserved_for_short_prompts)
{
    const directory_fixture it;
    const auto count_preferred = [&](std::uint64_t tokens) {
        const auto list = it.directory.candidates(make_request(tokens), {}, start);
        return std::count_if(list.begin(), list.end(), [](const candidate& one) {
            return one.wait_penalty < milliseconds{100};
        });
    };
    cr_assert_eq(count_preferred(1'000), 1);
    cr_assert_eq(count_preferred(200'000), 2);
}

Test(backend_directory, new_link_ramps_up)
{
    directory_fixture it;
    cr_assert_lt(it.candidates(start)[0].ramp, 0.2);
    cr_assert_eq(it.candidates(start + seconds{6})[0].ramp, 1.0);
}

Test(two_choices, shorter_wait_wins_within_the_zone)
{
    const std::vector<candidate> list{{"busy", true, milliseconds{900}, 9, 1},
                                      {"idle", true, milliseconds{0}, 0, 1}};
    two_choices policy;
    int idle = 0;
    for (std::uint64_t i = 0; i < 1'000; ++i)
    {
        idle += policy.choose(list, "", i * 7'919, false).vm == "idle" ? 1 : 0;
    }
    cr_assert_gt(idle, 650);
}

Test(two_choices, other_zone_is_used_only_when_the_own_zone_is_busy)
{
    std::vector<candidate> list{{"near", true, milliseconds{0}, 0, 1, milliseconds{0}},
                                {"far", false, milliseconds{0}, 0, 1, milliseconds{5}}};
    two_choices policy;
    cr_assert_eq(policy.choose(list, "", 1, false).vm, "near");
    list[0].expected_wait = milliseconds{100};
    cr_assert_eq(policy.choose(list, "", 1, false).vm, "far");
}

Test(two_choices, cached_prefix_wins_unless_its_server_is_overloaded)
{
    std::vector<candidate> list{{"cached", true, milliseconds{30}, 3, 1},
                                {"idle", true, milliseconds{0}, 0, 1}};
    two_choices policy;
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        cr_assert_eq(policy.choose(list, "cached", i, false).vm, "cached");
    }
    list[0].expected_wait = milliseconds{5'000};
    int cached = 0;
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        cached += policy.choose(list, "cached", i * 7'919, false).vm == "cached" ? 1 : 0;
    }
    cr_assert_lt(cached, 50);
}

Test(choose_subset, result_is_bounded_and_prefers_the_own_zone)
{
    const auto servers = make_servers(600);
    const auto subset = choose_subset(servers, "entry-1", "tamarin", 24);
    cr_assert_eq(subset.size(), 24U);
    const auto near = std::count_if(subset.begin(), subset.end(),
                                    [](const auto& it) { return it.zone == "tamarin"; });
    cr_assert_eq(near, 18);
}

Test(links_per_target, thirty_models_share_the_links_of_one_entry)
{
    auto servers = make_servers(600);
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        servers[i].serves = fmt::format("model-{}", i % 30);
    }
    const auto size = links_per_target(servers, 24, 120);
    cr_assert_eq(size, 4U);
    cr_assert_eq(choose_subset(servers, "entry-1", "tamarin", size).size(), 120U);
}

Test(links_per_target, few_models_get_what_is_wanted_and_many_at_least_two)
{
    auto servers = make_servers(300);
    cr_assert_eq(links_per_target(servers, 24, 120), 24U);
    for (std::size_t i = 0; i < servers.size(); ++i)
    {
        servers[i].serves = fmt::format("model-{}", i);
    }
    cr_assert_eq(links_per_target(servers, 24, 120), 2U);
}

Test(choose_subset, small_fleet_is_linked_completely)
{
    const auto servers = make_servers(16);
    cr_assert_eq(choose_subset(servers, "entry-1", "tamarin", 24).size(), 16U);
}

Test(choose_subset, one_lost_server_changes_one_link)
{
    auto servers = make_servers(600);
    const auto before = choose_subset(servers, "entry-1", "tamarin", 24);
    const auto lost = before.front().vm;
    std::erase_if(servers, [&](const auto& it) { return it.vm == lost; });
    std::set<std::string> after;
    for (const auto& it : choose_subset(servers, "entry-1", "tamarin", 24))
    {
        after.insert(it.vm);
    }
    const auto kept = std::count_if(before.begin(), before.end(), [&](const auto& it) {
        return after.contains(it.vm);
    });
    cr_assert_eq(kept, 23);
}

Test(choose_subset, every_server_is_linked_and_links_are_balanced)
{
    const auto servers = make_servers(600);
    std::map<std::string, int> links;
    constexpr const char* zones[] = {"tamarin", "flicq", "reduit"};
    for (int i = 0; i < 320; ++i)
    {
        for (const auto& it :
             choose_subset(servers, fmt::format("entry-{}", i), zones[i % 3], 24))
        {
            ++links[it.vm];
        }
    }
    cr_assert_eq(links.size(), 600U);
    const auto most = std::max_element(
        links.begin(), links.end(), [](auto& a, auto& b) { return a.second < b.second; });
    cr_assert_leq(most->second, 3 * 320 * 24 / 600);
}

Test(crash_registry,
     suspect_that_crashes_in_isolation_is_confirmed_and_another_is_cleared)
{
    crash_registry registry;
    cr_assert(registry.add({1, false}, start));
    cr_assert(registry.add({2, false}, start));
    cr_assert_not(registry.add({1, false}, start));
    cr_assert_eq(registry.status(1, start), crash_status::suspected);
    cr_assert(registry.add({1, true}, start));
    registry.clear(2);
    registry.clear(1);
    cr_assert_eq(registry.status(1, start), crash_status::confirmed);
    cr_assert_eq(registry.status(2, start), crash_status::none);
}

Test(crash_registry, suspicion_expires_before_confirmation)
{
    crash_registry registry;
    registry.add({1, false}, start);
    registry.add({2, true}, start);
    const auto later = start + std::chrono::hours{1};
    cr_assert_eq(registry.status(1, later), crash_status::none);
    cr_assert_eq(registry.status(2, later), crash_status::confirmed);
}

Test(retry_budget, retries_during_an_outage_stay_within_the_budget)
{
    retry_budget budget(0.1, 2, 64, start);
    int retries = 0;
    for (int i = 0; i < 10'000; ++i)
    {
        const auto now = start + milliseconds{i};
        budget.earn(now);
        retries += budget.try_spend(now) ? 1 : 0;
    }
    cr_assert_leq(retries, 1'000 + 64 + 20 + 1);
    cr_assert_geq(retries, 1'000);
}
