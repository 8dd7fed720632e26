#include "process/crash_tracker.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <array>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};
constexpr std::uint64_t common = 0xc0;
constexpr std::uint64_t deadly = 0xdead;

const std::vector<suspect> request_7{{7, suspect_kind::request}};
const suspect common_part{common, suspect_kind::prompt_part};
const suspect deadly_part{deadly, suspect_kind::prompt_part};

/// A gateway whose requests break off at crashing backend servers.
struct crash_fixture : crash_tracker
{
    /// Breaks off a request of its own with `parts`.
    std::vector<new_block> break_off(std::span<const std::uint64_t> parts, int server,
                                     time_point now,
                                     answer_progress progress = answer_progress::begun)
    {
        return add_broken_attempt(suspects_of(++last_request, parts),
                                  {fmt::format("i-{}", server), 1}, progress, now);
    }

    /// Lets three requests with `parts` crash one server each, a second apart.
    time_point crash_three(std::span<const std::uint64_t> parts)
    {
        for (int i = 0; i < 3; ++i)
        {
            break_off(parts, i, start + seconds{i});
        }
        return start + seconds{2};
    }

    [[nodiscard]] bool blocks(const suspect& one, time_point now) const
    {
        return find_blocked(std::span(&one, 1), now).has_value();
    }

    std::uint64_t last_request = 1'000;
};

constexpr std::array both{common, deadly};

} // namespace

Test(crash_tracker, request_is_blocked_after_crashes_of_three_backend_servers)
{
    crash_tracker it;
    it.add_broken_attempt(request_7, {"i-1", 1}, answer_progress::none, start);
    it.add_broken_attempt(request_7, {"i-2", 1}, answer_progress::delivered, start);
    cr_assert_not(it.find_blocked(request_7, start));
    it.add_broken_attempt(request_7, {"i-3", 1}, answer_progress::none, start);
    cr_assert(it.find_blocked(request_7, start));
    cr_assert_not(it.find_blocked(suspects_of(8, {}), start));
}

Test(crash_tracker, same_report_from_several_gateways_counts_once)
{
    crash_tracker it;
    for (int i = 0; i < 5; ++i)
    {
        it.add_broken_attempt(request_7, {"i-1", 1}, answer_progress::none, start);
    }
    cr_assert_not(it.find_blocked(request_7, start));
}

Test(crash_tracker, completed_request_is_cleared)
{
    crash_tracker it;
    it.add_broken_attempt(request_7, {"i-1", 1}, answer_progress::none, start);
    it.add_broken_attempt(request_7, {"i-2", 1}, answer_progress::none, start);
    it.record_success(request_7, start);
    it.add_broken_attempt(request_7, {"i-3", 1}, answer_progress::none, start);
    cr_assert_not(it.find_blocked(request_7, start));
}

Test(crash_tracker, reports_expire_and_are_sent_to_peers_while_recent)
{
    crash_tracker it;
    it.add_broken_attempt(request_7, {"i-1", 1}, answer_progress::none, start);
    it.add_broken_attempt(request_7, {"i-2", 1}, answer_progress::none, start);
    cr_assert_eq(it.news(start).crashes.size(), 2U);
    cr_assert(it.news(start + seconds{10}).crashes.empty());
    const auto later = start + std::chrono::minutes{2};
    it.add_broken_attempt(request_7, {"i-3", 1}, answer_progress::none, later);
    cr_assert_not(it.find_blocked(request_7, later));
}

Test(crash_tracker, part_in_different_requests_is_blocked_after_three_crashes)
{
    crash_fixture it;
    it.break_off(std::span(&deadly, 1), 1, start);
    cr_assert(it.break_off(std::span(&deadly, 1), 2, start + seconds{1}).empty());
    cr_assert_not(it.blocks(deadly_part, start + seconds{1}));
    const auto blocked = it.break_off(std::span(&deadly, 1), 3, start + seconds{2});
    cr_assert_eq(blocked.size(), 1U);
    cr_assert(blocked[0].subject == deadly_part);
    cr_assert_eq(blocked[0].crashes.size(), 3U);
    cr_assert(it.blocks(deadly_part, start + seconds{2}));
    cr_assert_eq(it.blocked_count(start + seconds{2}), 1U);
}

Test(crash_tracker, common_part_beside_a_crashing_one_is_not_blocked)
{
    crash_fixture it;
    for (int i = 0; i < 20; ++i)
    {
        const auto now = start + seconds{i};
        it.record_success(suspects_of(1, std::span(&common, 1)), now);
        it.break_off(both, i, now + milliseconds{500});
    }
    cr_assert(it.blocks(deadly_part, start + seconds{20}));
    cr_assert_not(it.blocks(common_part, start + seconds{20}));
}

Test(crash_tracker, crash_of_a_rack_blocks_no_part_of_the_requests_there)
{
    crash_fixture it;
    for (int i = 0; i < 10; ++i)
    {
        it.break_off(both, i, start + milliseconds{10 * i});
    }
    cr_assert_eq(it.blocked_count(start + seconds{1}), 0U);
}

Test(crash_tracker, crashes_during_delivery_do_not_count_against_parts)
{
    crash_fixture it;
    for (int i = 0; i < 10; ++i)
    {
        it.break_off(both, i, start + seconds{i}, answer_progress::delivered);
    }
    cr_assert_eq(it.blocked_count(start + seconds{10}), 0U);
}

Test(crash_tracker, part_of_requests_that_only_waited_is_blocked_after_six_crashes)
{
    crash_fixture it;
    for (int i = 0; i < 5; ++i)
    {
        it.break_off(both, i, start + seconds{i}, answer_progress::none);
    }
    cr_assert_not(it.blocks(deadly_part, start + seconds{4}));
    it.break_off(both, 5, start + seconds{5}, answer_progress::none);
    cr_assert(it.blocks(deadly_part, start + seconds{5}));
}

Test(crash_tracker, restarted_backend_server_with_the_same_id_counts_again)
{
    crash_fixture it;
    for (int i = 0; i < 3; ++i)
    {
        it.add_broken_attempt(std::span(&deadly_part, 1), {"i-1", i},
                              answer_progress::begun, start + seconds{i});
    }
    cr_assert(it.blocks(deadly_part, start + seconds{2}));
}

Test(crash_tracker, success_between_crashes_starts_the_count_again)
{
    crash_fixture it;
    it.break_off(both, 1, start);
    it.break_off(both, 2, start + seconds{1});
    it.record_success(suspects_of(1, both), start + seconds{2});
    it.break_off(both, 3, start + seconds{6});
    it.break_off(both, 4, start + seconds{7});
    cr_assert_not(it.blocks(deadly_part, start + seconds{7}));
    it.break_off(both, 5, start + seconds{8});
    cr_assert(it.blocks(deadly_part, start + seconds{8}));
}

Test(crash_tracker, success_excuses_crashes_of_the_next_seconds_only)
{
    crash_fixture it;
    it.record_success(suspects_of(1, both), start);
    for (int i = 0; i < 5; ++i)
    {
        it.break_off(both, i, start + milliseconds{500 * i});
    }
    cr_assert_eq(it.blocked_count(start + seconds{3}), 0U);
    for (int i = 5; i < 8; ++i)
    {
        it.break_off(both, i, start + seconds{i});
    }
    cr_assert(it.blocks(deadly_part, start + seconds{8}));
}

Test(crash_tracker, block_ends_after_five_minutes)
{
    crash_fixture it;
    const auto blocked_at = it.crash_three(both);
    cr_assert(it.blocks(deadly_part, blocked_at + seconds{299}));
    cr_assert_not(it.blocks(deadly_part, blocked_at + seconds{300}));
    cr_assert(it.news(blocked_at + seconds{300}).blocks.empty());
}

Test(crash_tracker, block_of_a_request_ends_after_a_minute)
{
    crash_fixture it;
    for (int i = 0; i < 3; ++i)
    {
        it.add_broken_attempt(request_7, {"i-1", i}, answer_progress::none, start);
    }
    cr_assert(it.find_blocked(request_7, start + seconds{59}));
    cr_assert_not(it.find_blocked(request_7, start + seconds{60}));
}

Test(crash_tracker, restarted_gateway_learns_of_a_block_and_does_not_prolong_it)
{
    crash_fixture old;
    const auto blocked_at = old.crash_three(both);
    crash_fixture one;
    crash_fixture two;
    const auto later = blocked_at + seconds{100};
    cr_assert_eq(one.apply(old.news(later), later).size(), 2U);
    cr_assert(one.blocks(deadly_part, later));
    // Passed to and fro until its end.
    for (int i = 100; i < 300; ++i)
    {
        const auto now = blocked_at + seconds{i};
        two.apply(one.news(now), now + milliseconds{100});
        one.apply(two.news(now), now + milliseconds{100});
    }
    cr_assert_eq(one.blocked_count(blocked_at + seconds{301}), 0U);
    cr_assert_eq(two.blocked_count(blocked_at + seconds{301}), 0U);
}

Test(crash_tracker, clearance_reaches_peers_and_the_block_does_not_come_back)
{
    crash_fixture one;
    crash_fixture two;
    crash_fixture partitioned;
    const auto now = one.crash_three(both);
    two.apply(one.news(now), now);
    partitioned.apply(one.news(now), now);
    cr_assert(two.blocks(common_part, now));
    two.record_success(suspects_of(1, std::span(&common, 1)), now + seconds{1});
    const auto cleared = now + seconds{2};
    one.apply(two.news(cleared), cleared);
    cr_assert_not(one.blocks(common_part, cleared));
    cr_assert(one.blocks(deadly_part, cleared));
    const auto rejoined = now + seconds{60};
    two.apply(partitioned.news(rejoined), rejoined);
    cr_assert_not(two.blocks(common_part, rejoined));
    partitioned.apply(two.news(rejoined), rejoined);
    cr_assert_not(partitioned.blocks(common_part, rejoined));
}

Test(crash_tracker, success_at_one_gateway_excuses_crashes_reported_by_another)
{
    crash_fixture sound;
    crash_fixture other;
    sound.record_success(suspects_of(1, std::span(&common, 1)), start);
    for (int i = 0; i < 4; ++i)
    {
        const auto now = start + milliseconds{300 * i};
        other.break_off(both, i, now);
        sound.apply(other.news(now), now);
        other.apply(sound.news(now), now);
    }
    cr_assert(other.blocks(deadly_part, start + seconds{1}));
    cr_assert_not(other.blocks(common_part, start + seconds{1}));
}

Test(crash_tracker, worst_suspect_is_reported_in_spite_of_the_bounds)
{
    crash_fixture it;
    it.break_off(both, 1, start);
    it.break_off(both, 2, start + seconds{1});
    for (std::uint64_t i = 0; i < 5'000; ++i)
    {
        const std::array own{0x10000 + i};
        it.break_off(own, static_cast<int>(10 + i % 50), start + seconds{2});
    }
    const auto news = it.news(start + seconds{2});
    cr_assert_eq(news.crashes.size(), 128U);
    cr_assert(news.crashes[0].subject == common_part ||
              news.crashes[0].subject == deadly_part);
    it.break_off(both, 3, start + seconds{2});
    cr_assert(it.blocks(deadly_part, start + seconds{2}));
}

Test(crash_tracker, blocks_are_bounded)
{
    crash_fixture it;
    for (std::uint64_t i = 0; i < 1'000; ++i)
    {
        crash_news news;
        news.blocks = {{{i, suspect_kind::prompt_part}, seconds{100}}};
        it.apply(news, start);
    }
    cr_assert_eq(it.blocked_count(start), 64U);
    crash_news endless;
    endless.blocks = {{{5'000, suspect_kind::prompt_part}, std::chrono::hours{1}}};
    cr_assert(it.apply(endless, start).empty());
}

Test(crash_tracker, fingerprint_depends_on_path_customer_and_body)
{
    const auto one = request_fingerprint("/a", "ann", "x");
    cr_assert_eq(one, request_fingerprint("/a", "ann", "x"));
    cr_assert_neq(one, request_fingerprint("/b", "ann", "x"));
    cr_assert_neq(one, request_fingerprint("/a", "bob", "x"));
    cr_assert_neq(one, request_fingerprint("/a", "ann", "y"));
}
