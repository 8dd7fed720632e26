#include "process/forward_service.hpp"
#include "process/service_retry_budgets.hpp"
#include "process/store_watch.hpp"

#include <criterion/criterion.h>

#include <deque>
#include <string>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// A store that returns a list of scripted answers, then stops the watch.
class scripted_store
{
public:
    struct script
    {
        std::vector<row_batch> answers;
        std::vector<bool> full_reads;
        stop_flag stop;
        std::size_t next = 0;
        std::size_t fail_at = 1'000;
        std::size_t compact_history_at = 1'000;
    };

    explicit scripted_store(script& it) : script_(&it) {}

    row_batch read_table(std::string_view) { return answer(true); }
    row_batch wait_for_changes(std::string_view, const store_version&, milliseconds)
    {
        return answer(false);
    }

private:
    row_batch answer(bool full)
    {
        script_->full_reads.push_back(full);
        const auto i = script_->next++;
        if (script_->next >= script_->answers.size())
        {
            script_->stop.set();
        }
        if (i == script_->fail_at)
        {
            throw store_error("down");
        }
        if (i == script_->compact_history_at)
        {
            throw history_compacted("gone");
        }
        return script_->answers[i];
    }

    script* script_;
};

/// Records the calls made by a watch.
struct recording_follower
{
    void on_snapshot(const row_batch& it, time_point)
    {
        versions.push_back(it.version.number);
    }
    void on_changes(const row_batch& it, time_point)
    {
        versions.push_back(it.version.number);
    }
    void on_older_copy(const row_batch& it, time_point)
    {
        versions.push_back(it.version.number);
        ++older_copies;
    }
    void on_store_unavailable(time_point) { ++outages; }
    void on_store_available(time_point) { ++recoveries; }

    std::vector<std::uint64_t> versions;
    int older_copies = 0;
    int outages = 0;
    int recoveries = 0;
};

row_batch at_version(std::uint64_t version, std::uint64_t era = 0)
{
    row_batch it;
    it.version = {era, version};
    return it;
}

} // namespace

Test(store_watch, table_is_read_once_and_then_watched)
{
    scripted_store::script script;
    script.answers = {at_version(3), at_version(4), at_version(5)};
    recording_follower follower;
    watch_table(scripted_store(script), "t", follower, script.stop);
    cr_assert_eq(script.full_reads, (std::vector<bool>{true, false, false}));
    cr_assert_eq(follower.versions, (std::vector<std::uint64_t>{3, 4, 5}));
}

Test(store_watch, changes_are_batched_for_the_batch_delay)
{
    scripted_store::script script;
    script.answers = {at_version(3), at_version(4), at_version(5)};
    recording_follower follower;
    const auto began = steady::now();
    watch_table(scripted_store(script), "t", follower, script.stop, milliseconds{20});
    cr_assert_geq(steady::now() - began, milliseconds{40});
    cr_assert_eq(follower.versions.size(), 3U);
}

Test(store_watch, older_version_is_ignored)
{
    scripted_store::script script;
    script.answers = {at_version(5), at_version(4), at_version(6)};
    recording_follower follower;
    watch_table(scripted_store(script), "t", follower, script.stop);
    cr_assert_eq(follower.versions, (std::vector<std::uint64_t>{5, 6}));
}

Test(store_watch, compacted_history_leads_to_a_full_read)
{
    scripted_store::script script;
    script.answers = {at_version(5), {}, at_version(9)};
    script.compact_history_at = 1;
    recording_follower follower;
    watch_table(scripted_store(script), "t", follower, script.stop);
    cr_assert_eq(script.full_reads, (std::vector<bool>{true, false, true}));
    cr_assert_eq(follower.versions, (std::vector<std::uint64_t>{5, 9}));
}

// Guards against gateways that ignore a store which has returned from an older copy.
Test(store_watch, lower_version_of_a_later_era_is_applied)
{
    scripted_store::script script;
    script.answers = {at_version(136, 1), {}, at_version(99, 2), at_version(100, 2)};
    script.compact_history_at = 1; // as a read from a version that is gone
    recording_follower follower;
    watch_table(scripted_store(script), "t", follower, script.stop);
    cr_assert_eq(script.full_reads, (std::vector<bool>{true, false, true, false}));
    cr_assert_eq(follower.versions, (std::vector<std::uint64_t>{136, 99, 100}));
}

// Guards against rows that are missed because their versions were given out before.
Test(store_watch, changes_of_a_later_era_lead_to_a_full_read)
{
    scripted_store::script script;
    script.answers = {at_version(136, 1), at_version(140, 2), at_version(140, 2),
                      at_version(90, 3),  at_version(90, 3),  at_version(91, 3)};
    recording_follower follower;
    watch_table(scripted_store(script), "t", follower, script.stop);
    cr_assert_eq(script.full_reads,
                 (std::vector<bool>{true, false, true, false, true, false}));
    cr_assert_eq(follower.versions, (std::vector<std::uint64_t>{136, 140, 90, 91}));
    cr_assert_eq(follower.older_copies, 2);
}

Test(store_watch, answer_of_an_earlier_era_is_ignored)
{
    scripted_store::script script;
    script.answers = {at_version(5, 2), at_version(9, 1), at_version(6, 2)};
    recording_follower follower;
    watch_table(scripted_store(script), "t", follower, script.stop);
    cr_assert_eq(follower.versions, (std::vector<std::uint64_t>{5, 6}));
}

Test(store_watch, outage_and_recovery_are_notified_once)
{
    scripted_store::script script;
    script.answers = {at_version(5), {}, at_version(6)};
    script.fail_at = 1;
    recording_follower follower;
    watch_table(scripted_store(script), "t", follower, script.stop);
    cr_assert_eq(follower.outages, 1);
    cr_assert_eq(follower.recoveries, 1);
}

Test(service_retry_budgets, idle_service_may_burst_half_its_share_of_the_slack)
{
    service_retry_budgets it({0.2, 100, seconds{10}});
    int spent = 0;
    while (it.try_spend("plain", start))
    {
        ++spent;
    }
    cr_assert_eq(spent, 7); // half of a quarter of 60
}

Test(service_retry_budgets, known_gateways_stay_within_the_common_limit)
{
    constexpr int requests = 100;
    for (const int gateways : {1, 3, 4, 12, 40})
    {
        int spent = 0;
        for (int i = 0; i < gateways; ++i)
        {
            service_retry_budgets it({0.2, 100, seconds{10}});
            it.set_gateway_count(static_cast<std::size_t>(gateways), start);
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

Test(service_retry_budgets, number_of_gateways_never_decreases)
{
    service_retry_budgets it({0.2, 100, seconds{10}});
    it.set_gateway_count(60, start);
    it.set_gateway_count(1, start);
    cr_assert_not(it.try_spend("plain", start),
                  "a burst of half of 60/60 is below one retry");
}

namespace {

/// A cell of 20 gateways in a fleet of 100 that exchange their counts.
struct budget_cell
{
    budget_cell()
    {
        for (int i = 0; i < 20; ++i)
        {
            auto& it = gateways.emplace_back(repeat_limits{0.2, 276, seconds{10}});
            it.set_gateway_count(100, start);
            it.set_live_gateways(20, start);
        }
        exchange(start); // later counts are differences to these
    }

    void exchange(time_point now)
    {
        std::vector<std::vector<retry_count>> counts;
        for (auto& it : gateways)
        {
            counts.push_back(it.take_counts());
        }
        for (std::size_t to = 0; to < gateways.size(); ++to)
        {
            for (std::size_t from = 0; from < gateways.size(); ++from)
            {
                if (from != to)
                {
                    gateways[to].apply_counts(std::to_string(from), 1, counts[from], now);
                }
            }
        }
    }

    std::deque<service_retry_budgets> gateways;
};

} // namespace

Test(service_retry_budgets, gateway_of_a_large_fleet_may_retry_on_behalf_of_its_cell)
{
    budget_cell it;
    cr_assert(it.gateways[0].try_spend("plain", start));
}

Test(service_retry_budgets, cell_whose_gateways_all_retry_at_once_stays_within_its_share)
{
    budget_cell it;
    int spent = 0;
    constexpr int steps = 200; // of 50 ms, one window
    for (int i = 0; i < steps; ++i)
    {
        const auto now = start + milliseconds{50} * i;
        for (auto& gateway : it.gateways)
        {
            for (int n = 0; n < 5; ++n)
            {
                spent += gateway.try_spend("plain", now) ? 1 : 0;
            }
        }
        it.exchange(now);
    }
    cr_assert_leq(spent, 276 / 5, "%d retries without a request", spent);
}

Test(service_retry_budgets, restarted_gateway_is_charged_for_what_it_reports)
{
    service_retry_budgets it({0.2, 100, seconds{10}});
    it.set_live_gateways(4, start);
    const std::vector<retry_count> none{{"plain", 0, 0}};
    const std::vector<retry_count> many{{"plain", 0, 100}};
    it.apply_counts("peer", 1, none, start);
    cr_assert(it.try_spend("plain", start));
    it.apply_counts("peer", 2, many, start);
    cr_assert_not(it.try_spend("plain", start));
}

Test(service_retry_budgets, services_have_separate_budgets)
{
    service_retry_budgets it({0.2, 120, seconds{10}});
    while (it.try_spend("plain", start))
    {
    }
    cr_assert(it.try_spend("model", start));
}

// Guards against waiting until a caller has left, and against calls that are started
// although they cannot end in time.
Test(queue_timeouts, deadlines_follow_the_caller)
{
    route stream;
    stream.kind = call_kind::stream;
    stream.latency_target = milliseconds{300};
    const auto limit = start + seconds{10};
    const auto of_stream = deadlines_for(stream, start, limit);
    cr_assert_eq(of_stream.first_event, start + stream.caller_timeout());
    cr_assert_eq(of_stream.complete, limit);
    cr_assert_eq(deadlines_for(stream, start, start + seconds{1}).first_event,
                 start + seconds{1});
    route call;
    call.kind = call_kind::at_most_once;
    call.timeout = milliseconds{1'200};
    call.latency_target = milliseconds{300};
    cr_assert_eq(deadlines_for(call, start, limit).first_event,
                 start + milliseconds{900});
    call.latency_target = milliseconds{2'000};
    cr_assert_eq(deadlines_for(call, start, limit).first_event,
                 start + milliseconds{600});
}

Test(queue_timeouts, first_event_timeout_adapts_to_observed_delays)
{
    route matched_route;
    matched_route.kind = call_kind::stream;
    matched_route.event_gap_target = milliseconds{250};
    placement place;
    place.first_event_ms = 50;
    const auto usual = attempt_timeouts_for(matched_route, place, milliseconds{0});
    const auto full = attempt_timeouts_for(matched_route, place, milliseconds{2'500});
    cr_assert_eq(usual.first_event.count(), 1'100);
    cr_assert_eq(full.first_event.count(), 2'600);
    cr_assert_eq(usual.event_gap.count(), full.event_gap.count());
}

Test(queue_timeouts, service_selection_is_deterministic_and_follows_the_weights)
{
    route matched_route;
    matched_route.services = {{"a", 90}, {"b", 10}};
    int to_b = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        const auto id = std::to_string(i);
        cr_assert_eq(select_service(matched_route, id),
                     select_service(matched_route, id));
        to_b += select_service(matched_route, id) == "b" ? 1 : 0;
    }
    cr_assert(to_b > 60 && to_b < 140, "%d of 1000 for a weight of 10 in 100", to_b);
}

Test(startup_retry_after, grows_with_the_time_without_a_configuration)
{
    cr_assert_eq(startup_retry_after(milliseconds{20}), milliseconds{500});
    cr_assert_eq(startup_retry_after(seconds{2}), seconds{2});
    cr_assert_eq(startup_retry_after(seconds{60}), seconds{3});
}
