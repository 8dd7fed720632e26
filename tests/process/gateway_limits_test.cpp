#include "process/forward_service.hpp"
#include "process/platform_followers.hpp"
#include "process/service_budgets.hpp"
#include "process/store_watch.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// A store that plays a list of answers, then stops the watch.
class played_store
{
public:
    struct play
    {
        std::vector<row_batch> answers;
        std::vector<bool> whole_reads;
        stop_flag stop;
        std::size_t next = 0;
        std::size_t fail_at = 1'000;
        std::size_t lose_history_at = 1'000;
    };

    explicit played_store(play& it) : play_(&it) {}

    row_batch read_table(std::string_view) { return answer(true); }
    row_batch wait_for_changes(std::string_view, std::uint64_t, milliseconds)
    {
        return answer(false);
    }

private:
    row_batch answer(bool whole)
    {
        play_->whole_reads.push_back(whole);
        const auto i = play_->next++;
        if (play_->next >= play_->answers.size())
        {
            play_->stop.set();
        }
        if (i == play_->fail_at)
        {
            throw store_error("down");
        }
        if (i == play_->lose_history_at)
        {
            throw history_lost("gone");
        }
        return play_->answers[i];
    }

    play* play_;
};

/// Records what a watch hands over.
struct recording_follower
{
    void take_table(const row_batch& it, time_point) { seen.push_back(it.version); }
    void take_changes(const row_batch& it, time_point) { seen.push_back(it.version); }
    void store_out(time_point) { ++outages; }
    void store_back(time_point) { ++returns; }

    std::vector<std::uint64_t> seen;
    int outages = 0;
    int returns = 0;
};

row_batch at_version(std::uint64_t version)
{
    row_batch it;
    it.version = version;
    return it;
}

} // namespace

Test(store_watch, table_is_read_once_and_then_followed)
{
    played_store::play play;
    play.answers = {at_version(3), at_version(4), at_version(5)};
    recording_follower follower;
    watch_table(played_store(play), "t", follower, play.stop);
    cr_assert_eq(play.whole_reads, (std::vector<bool>{true, false, false}));
    cr_assert_eq(follower.seen, (std::vector<std::uint64_t>{3, 4, 5}));
}

Test(store_watch, changes_are_gathered_for_the_time_to_settle)
{
    played_store::play play;
    play.answers = {at_version(3), at_version(4), at_version(5)};
    recording_follower follower;
    const auto began = steady::now();
    watch_table(played_store(play), "t", follower, play.stop, milliseconds{20});
    cr_assert_geq(steady::now() - began, milliseconds{40});
    cr_assert_eq(follower.seen.size(), 3U);
}

Test(store_watch, older_state_is_dropped)
{
    played_store::play play;
    play.answers = {at_version(5), at_version(4), at_version(6)};
    recording_follower follower;
    watch_table(played_store(play), "t", follower, play.stop);
    cr_assert_eq(follower.seen, (std::vector<std::uint64_t>{5, 6}));
}

Test(store_watch, lost_history_leads_to_a_whole_read)
{
    played_store::play play;
    play.answers = {at_version(5), {}, at_version(9)};
    play.lose_history_at = 1;
    recording_follower follower;
    watch_table(played_store(play), "t", follower, play.stop);
    cr_assert_eq(play.whole_reads, (std::vector<bool>{true, false, true}));
    cr_assert_eq(follower.seen, (std::vector<std::uint64_t>{5, 9}));
}

Test(store_watch, outage_is_told_once_and_its_end_too)
{
    played_store::play play;
    play.answers = {at_version(5), {}, at_version(6)};
    play.fail_at = 1;
    recording_follower follower;
    watch_table(played_store(play), "t", follower, play.stop);
    cr_assert_eq(follower.outages, 1);
    cr_assert_eq(follower.returns, 1);
}

Test(service_budgets, idle_service_may_repeat_half_its_share_of_the_slack_at_once)
{
    service_budgets it({0.2, 100, seconds{10}});
    int spent = 0;
    while (it.try_spend("plain", start))
    {
        ++spent;
    }
    cr_assert_eq(spent, 7); // half of a quarter of 60
}

Test(service_budgets, known_gateways_stay_within_the_common_bound)
{
    constexpr int requests = 100;
    for (const int gateways : {1, 3, 4, 12, 40})
    {
        int spent = 0;
        for (int i = 0; i < gateways; ++i)
        {
            service_budgets it({0.2, 100, seconds{10}});
            it.share_among(static_cast<std::size_t>(gateways));
            for (int n = 0; n < requests; ++n)
            {
                const auto now = start + milliseconds{100} * n;
                it.earn("plain", now);
                spent += it.try_spend("plain", now) ? 1 : 0;
            }
        }
        cr_assert_leq(spent, gateways * requests * 0.2 + 100, "%d gateways", gateways);
    }
}

Test(service_budgets, number_of_gateways_never_shrinks)
{
    service_budgets it({0.2, 100, seconds{10}});
    it.share_among(60);
    it.share_among(1);
    cr_assert_not(it.try_spend("plain", start), "half of a sixtieth of 60 is under one");
}

Test(service_budgets, services_do_not_spend_each_others_share)
{
    service_budgets it({0.2, 120, seconds{10}});
    while (it.try_spend("plain", start))
    {
    }
    cr_assert(it.try_spend("model", start));
}

Test(line_patience, waiting_ends_while_the_caller_can_still_come_back)
{
    route way;
    way.kind = call_kind::stream;
    way.latency_target = milliseconds{300};
    const auto it = line_patience(way);
    cr_assert_lt(it.longest, way.caller_timeout());
    cr_assert_lt(it.urgent_after, it.longest);
}

Test(line_patience, silence_is_judged_by_the_delays_of_late)
{
    route way;
    way.kind = call_kind::stream;
    way.event_gap_target = milliseconds{250};
    placement place;
    place.first_event_ms = 50;
    const auto usual = patience_of(way, place, milliseconds{0});
    const auto full = patience_of(way, place, milliseconds{2'500});
    cr_assert_eq(usual.first_event.count(), 1'100);
    cr_assert_eq(full.first_event.count(), 2'600);
    cr_assert_eq(usual.event_gap.count(), full.event_gap.count());
}

Test(line_patience, same_request_always_goes_to_the_same_service)
{
    route way;
    way.services = {{"a", 90}, {"b", 10}};
    int to_b = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        const auto id = std::to_string(i);
        cr_assert_eq(choose_service(way, id), choose_service(way, id));
        to_b += choose_service(way, id) == "b" ? 1 : 0;
    }
    cr_assert(to_b > 60 && to_b < 140, "%d of 1000 for a weight of 10 in 100", to_b);
}

Test(peer_follower, other_gateways_are_reached_and_this_one_is_left_out)
{
    std::vector<endpoint> peers;
    peer_follower it("me", [&](const auto& list) { peers = list; });
    row_batch batch;
    batch.rows = {{"me", "10.0.0.1:7340", 1, false},
                  {"you", "10.0.0.2:7340", 2, false},
                  {"bad", "nonsense", 3, false}};
    it.take_table(batch, start);
    cr_assert_eq(peers, (std::vector<endpoint>{{"10.0.0.2", 7340}}));
    batch.rows = {{"you", "", 4, true}};
    it.take_changes(batch, start);
    cr_assert(peers.empty());
}
