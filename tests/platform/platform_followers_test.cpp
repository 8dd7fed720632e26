/// Entries of another writer among those of the backend servers, read by the task that
/// follows the table.
#include "process/platform_followers.hpp"

#include "platform/adapter.hpp"
#include "process/store_watch.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace pistachiopost;

namespace {

std::string sound_entry()
{
    return R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
           R"("state":"ready","born":5})";
}

std::string entry_with_port(std::string_view port)
{
    return fmt::format(R"({{"service":"s","address":"10.0.0.1:{}","zone":"z",)"
                       R"("slots":4,"state":"ready","born":5}})",
                       port);
}

std::string nested_objects(std::size_t bytes)
{
    std::string it;
    while (it.size() < bytes)
    {
        it += R"({"a":)";
    }
    return it;
}

std::vector<std::string> odd_entries()
{
    constexpr std::size_t entry_bytes = 65'536;
    auto huge_slots = sound_entry();
    huge_slots.replace(huge_slots.find(":4,"), 3, ":1e400,");
    auto huge_start = sound_entry();
    huge_start.replace(huge_start.find(":5}"), 3, ":1e300}");
    return {std::string(entry_bytes, '['),
            std::string(entry_bytes, '[') + std::string(entry_bytes, ']'),
            nested_objects(entry_bytes),
            huge_slots,
            huge_start,
            entry_with_port("0"),
            entry_with_port("65536"),
            entry_with_port("99999999999"),
            entry_with_port("-1"),
            "null",
            "[]",
            std::string("\x00\xff\xfe", 3),
            ""};
}

/// A table that first holds a sound entry among odd ones, and then changes.
struct odd_table
{
    row_batch read_table(std::string_view) { return batch("a"); }

    row_batch wait_for_changes(std::string_view, const store_version&, milliseconds)
    {
        if (version == 2)
        {
            stop->set();
        }
        return batch(version == 1 ? "b" : "c");
    }

    /// Returns odd entries around a sound one of the backend server `id`.
    row_batch batch(const char* id)
    {
        row_batch it;
        it.version = {0, ++version};
        for (const auto& one : odd_entries())
        {
            it.rows.push_back(
                {fmt::format("odd-{}", it.rows.size()), one, it.version, false});
        }
        it.rows.insert(it.rows.begin() + 4, {id, sound_entry(), it.version, false});
        return it;
    }

    stop_flag* stop;
    std::uint64_t version = 0;
};

struct follower_fixture
{
    gateway_settings settings;
    gateway_state state{settings};
    backend_follower<platform::adapter::codec> follower{state};
    stop_flag stop;
};

} // namespace

Test(platform_followers, odd_entries_are_ignored_and_the_others_hold)
{
    follower_fixture it;
    task([&] {
        watch_table(odd_table{&it.stop}, "servers", it.follower, it.stop);
    }).join();
    const auto now = steady::now();
    it.state.dispatch.update_registry(now, [&](auto& registry) {
        cr_assert_eq(registry.eligible("s", now).size(), 3U);
    });
}
