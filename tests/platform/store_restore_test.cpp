/// What a gateway keeps and what it takes over when the store returns from an older copy:
/// rows written since are lost until their authors write them again.
#include "platform/adapter.hpp"
#include "process/platform_followers.hpp"
#include "process/store_watch.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace pistachiopost;

namespace {

using codec = platform::adapter::codec;

constexpr std::uint64_t former_era = 1;
constexpr std::uint64_t present_era = 2;

/// Answers of a store, in order.
struct scripted_table
{
    row_batch read_table(std::string_view) { return next(); }
    row_batch wait_for_changes(std::string_view, const store_version&, milliseconds)
    {
        return next();
    }
    row_batch next()
    {
        auto batch = answers->front();
        answers->erase(answers->begin());
        if (answers->empty())
        {
            stop->set();
        }
        return batch;
    }

    std::vector<row_batch>* answers;
    stop_flag* stop;
};

row_batch batch(const store_version& version, std::vector<stored_row> rows)
{
    return {std::move(rows), version, {}};
}

/// The row of backend server "i-1", which started at `born`.
stored_row server(const store_version& version, std::string_view state = "ready",
                  int born = 5)
{
    return {"i-1",
            fmt::format(R"({{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
                        R"("state":"{}","born":{}}})",
                        state, born),
            version, false};
}

stored_row removal(std::string key, const store_version& version)
{
    return {std::move(key), "", version, true};
}

stored_row configuration(const store_version& version, int number)
{
    return {"config",
            fmt::format(R"({{"version":{},"routes":[],"services":[]}})", number), version,
            false};
}

/// A gateway that follows both tables.
struct store_restore_fixture
{
    template <typename Follower>
    void follow(Follower& follower, std::vector<row_batch> answers)
    {
        stop_flag stop;
        watch_table(scripted_table{&answers, &stop}, "t", follower, stop);
    }
    /// Follows the list of backend servers up to the complete read of a copy.
    void restore_servers(std::vector<row_batch> before, std::vector<stored_row> copy)
    {
        before.push_back(batch({present_era, 90}, copy)); // instead of changes
        before.push_back(batch({present_era, 90}, std::move(copy)));
        follow(backends, std::move(before));
    }

    std::size_t eligible(milliseconds later = milliseconds{0})
    {
        std::size_t n = 0;
        const auto now = steady::now() + later;
        state.dispatch.update_registry(now, [&](auto& it) {
            it.remove_expired(now);
            n = it.eligible("s", now).size();
        });
        return n;
    }
    bool is_evacuated(std::string_view zone)
    {
        bool found = false;
        state.dispatch.update_registry(
            steady::now(), [&](const auto& it) { found = it.is_evacuated(zone); });
        return found;
    }

    gateway_settings settings;
    gateway_state state{settings};
    backend_follower<codec> backends{state};
    configuration_follower<codec> configurations{state};
};

} // namespace

// Guards against requests to a server that leaves, which the copy has as ready.
Test(store_restore, leaving_server_gets_nothing_before_its_next_incarnation)
{
    store_restore_fixture it;
    it.restore_servers(
        {batch({former_era, 100}, {server({former_era, 80})}),
         batch({former_era, 130}, {server({former_era, 130}, "draining")})},
        {server({present_era, 80})});
    cr_assert_eq(it.eligible(), 0U);
    it.backends.on_changes(batch({present_era, 95}, {server({present_era, 95})}),
                           steady::now());
    cr_assert_eq(it.eligible(), 0U, "its former state, written again");
    it.backends.on_changes(
        batch({present_era, 96}, {server({present_era, 96}, "ready", 6)}), steady::now());
    cr_assert_eq(it.eligible(), 1U);
}

// Guards against requests to a server that has left without draining.
Test(store_restore, removed_server_gets_nothing_while_only_the_copy_lists_it)
{
    store_restore_fixture it;
    it.restore_servers({batch({former_era, 100}, {server({former_era, 80})}),
                        batch({former_era, 130}, {removal("i-1", {former_era, 130})})},
                       {server({present_era, 80})});
    cr_assert_eq(it.eligible(), 0U);
    cr_assert_eq(it.eligible(seconds{7}), 1U, "its row was not removed again");
}

Test(store_restore, removed_server_that_writes_its_row_again_is_used)
{
    store_restore_fixture it;
    it.restore_servers({batch({former_era, 100}, {server({former_era, 80})}),
                        batch({former_era, 130}, {removal("i-1", {former_era, 130})})},
                       {server({present_era, 80})});
    it.backends.on_changes(batch({present_era, 95}, {server({present_era, 95})}),
                           steady::now());
    cr_assert_eq(it.eligible(), 1U);
}

// Guards against gateways that drop sound servers whose rows were lost.
Test(store_restore, server_that_the_copy_lacks_has_two_seconds_to_return)
{
    store_restore_fixture it;
    it.restore_servers({batch({former_era, 130}, {server({former_era, 120})})}, {});
    cr_assert_eq(it.eligible(milliseconds{1'500}), 1U);
    cr_assert_eq(it.eligible(milliseconds{2'100}), 0U);
}

Test(store_restore, former_incarnation_in_the_copy_does_not_replace_the_known_one)
{
    store_restore_fixture it;
    it.restore_servers(
        {batch({former_era, 130}, {server({former_era, 120}, "ready", 6)})},
        {server({present_era, 80}, "draining", 5)});
    cr_assert_eq(it.eligible(), 1U);
}

// Guards against requests to an evacuated zone whose row was lost.
Test(store_restore, zone_stays_evacuated_although_the_copy_lacks_its_row)
{
    store_restore_fixture it;
    const std::vector<stored_row> copy{configuration({present_era, 50}, 7)};
    it.follow(it.configurations,
              {batch({former_era, 130}, {configuration({former_era, 50}, 7),
                                         {"evacuate/z", "{}", {former_era, 120}, false}}),
               batch({present_era, 90}, copy), batch({present_era, 90}, copy)});
    cr_assert(it.is_evacuated("z"));
    it.configurations.on_changes(
        batch({present_era, 95}, {removal("evacuate/z", {present_era, 95})}),
        steady::now());
    cr_assert_not(it.is_evacuated("z"));
}

Test(store_restore, zone_whose_row_is_not_written_again_returns_to_service)
{
    store_restore_fixture it;
    it.follow(it.configurations,
              {batch({former_era, 130}, {{"evacuate/z", "{}", {former_era, 120}, false}}),
               batch({present_era, 90}, {}), batch({present_era, 90}, {})});
    end_held_evacuations(it.state, steady::now() + seconds{5});
    cr_assert(it.is_evacuated("z"));
    end_held_evacuations(it.state, steady::now() + seconds{7});
    cr_assert_not(it.is_evacuated("z"));
}

Test(store_restore, configuration_in_force_does_not_go_back)
{
    store_restore_fixture it;
    const std::vector<stored_row> copy{configuration({present_era, 50}, 7)};
    it.follow(it.configurations,
              {batch({former_era, 130}, {configuration({former_era, 120}, 9)}),
               batch({present_era, 90}, copy), batch({present_era, 90}, copy)});
    cr_assert_eq(it.state.routes.version(), 9U);
    it.configurations.on_changes(
        batch({present_era, 95}, {configuration({present_era, 95}, 11)}), steady::now());
    cr_assert_eq(it.state.routes.version(), 11U);
}
