/// Rows of the operator's table that evacuate availability zones, as gateways read them
/// from the store or from each other.
#include "connection/status_server.hpp"
#include "platform/adapter.hpp"
#include "process/platform_followers.hpp"
#include "process/relayed_store.hpp"
#include "process/store_watch.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <sys/socket.h>

#include <arpa/inet.h>

#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace pistachiopost;

namespace {

using codec = platform::adapter::codec;
using zones = std::vector<std::string>;

constexpr std::string_view configuration = R"({"version":3,"routes":[],"services":[]})";

stored_row evacuation(const std::string& zone, std::uint64_t version = 1)
{
    return {"evacuate/" + zone, "{}", {0, version}, false};
}

stored_row removal(const std::string& zone, std::uint64_t version = 2)
{
    return {"evacuate/" + zone, "", {0, version}, true};
}

stored_row configuration_row(std::uint64_t version = 1)
{
    return {std::string(codec::configuration_key),
            std::string(configuration),
            {0, version},
            false};
}

row_batch batch(std::vector<stored_row> rows, std::uint64_t version = 2)
{
    row_batch it;
    it.rows = std::move(rows);
    it.version = {0, version};
    return it;
}

/// A gateway that follows the operator's table.
template <typename Codec>
struct operator_fixture
{
    zones evacuated()
    {
        zones list;
        state.dispatch.update_registry(steady::now(), [&](const auto& it) {
            list.assign(it.evacuated_zones().begin(), it.evacuated_zones().end());
        });
        return list;
    }

    void snapshot(std::vector<stored_row> rows)
    {
        follower.on_snapshot(batch(std::move(rows)), steady::now());
    }
    void changes(std::vector<stored_row> rows)
    {
        follower.on_changes(batch(std::move(rows)), steady::now());
    }

    gateway_settings settings;
    gateway_state state{settings};
    configuration_follower<Codec> follower{state};
};

using follower_fixture = operator_fixture<codec>;

/// Calls `decoding` before a configuration takes effect.
struct observing_codec : codec
{
    static route_table decode_configuration(std::string_view document)
    {
        decoding();
        return codec::decode_configuration(document);
    }
    static inline std::function<void()> decoding;
};

} // namespace

Test(evacuation_follower, changes_evacuate_zones_and_return_them)
{
    follower_fixture it;
    it.snapshot({});
    it.changes({evacuation("a"), evacuation("b")});
    cr_assert_eq(it.evacuated(), (zones{"a", "b"}));
    it.changes({removal("a")});
    cr_assert_eq(it.evacuated(), zones{"b"});
}

Test(evacuation_follower, row_written_again_stays_in_force_until_it_is_removed)
{
    follower_fixture it;
    it.changes({evacuation("a", 1)});
    it.changes({evacuation("a", 2)});
    cr_assert_eq(it.evacuated(), zones{"a"});
    it.changes({removal("a", 3)});
    cr_assert(it.evacuated().empty());
    it.changes({removal("a", 4)});
    cr_assert(it.evacuated().empty());
}

/// The row was removed while the gateway was cut off, and the store holds no history.
Test(evacuation_follower, snapshot_without_the_row_returns_the_zone)
{
    follower_fixture it;
    it.snapshot({evacuation("a"), evacuation("b")});
    it.snapshot({evacuation("b"), evacuation("c")});
    cr_assert_eq(it.evacuated(), (zones{"b", "c"}));
}

Test(evacuation_follower, row_with_an_invalid_value_takes_effect)
{
    for (const char* value : {"", "{", "[]", "\xff\xfe", "7"})
    {
        follower_fixture it;
        auto row = evacuation("a");
        row.value = value;
        it.snapshot({row});
        cr_assert_eq(it.evacuated(), zones{"a"}, "value %s", value);
    }
    follower_fixture it;
    auto row = evacuation("a");
    row.value = std::string(65'536, '[');
    task([&] { it.changes({row}); }).join();
    cr_assert_eq(it.evacuated(), zones{"a"});
}

Test(evacuation_follower, key_without_a_zone_is_ignored)
{
    follower_fixture it;
    it.snapshot({evacuation(""), {"evacuate", "{}", {0, 1}, false}, evacuation("a")});
    cr_assert_eq(it.evacuated(), zones{"a"});
    it.changes({removal("")});
    cr_assert_eq(it.evacuated(), zones{"a"});
}

Test(evacuation_follower, invalid_configuration_beside_a_row_does_not_hide_it)
{
    follower_fixture it;
    auto invalid = configuration_row();
    invalid.value = "{";
    it.snapshot({invalid, evacuation("a")});
    cr_assert_eq(it.evacuated(), zones{"a"});
}

/// A gateway is ready once it has a configuration: it must know the evacuations by then.
Test(evacuation_follower, evacuations_are_in_force_before_the_configuration)
{
    operator_fixture<observing_codec> it;
    it.state.backends_loaded = true;
    zones known;
    bool ready = true;
    observing_codec::decoding = [&] {
        known = it.evacuated();
        ready = it.state.ready();
    };
    it.snapshot({configuration_row(), evacuation("a")});
    cr_assert_eq(known, zones{"a"});
    cr_assert_not(ready);
    cr_assert(it.state.ready());
}

Test(evacuation_follower, evacuations_stay_in_force_while_the_store_is_unavailable)
{
    follower_fixture it;
    it.snapshot({configuration_row(), evacuation("a")});
    it.follower.on_store_unavailable(steady::now());
    it.follower.on_store_available(steady::now());
    cr_assert_eq(it.evacuated(), zones{"a"});
}

namespace {

/// A store that no call of this gateway reaches.
struct silent_store
{
    [[noreturn]] static row_batch read_table(std::string_view) { fail(); }
    [[noreturn]] static row_batch wait_for_changes(std::string_view, const store_version&,
                                                   milliseconds, const abandon_check&)
    {
        fail();
    }
    [[noreturn]] static void fail() { throw store_error("no answer in time"); }
};

/// The rows held by the gateways that answer for the store, by port.
std::map<std::uint16_t, table_cache>* relayed_rows = nullptr;

/// Answers from the rows of another gateway.
struct cache_relay
{
    explicit cache_relay(const endpoint& it) : rows(relayed_rows->at(it.port)) {}
    row_batch changes(std::string_view, const store_version& since,
                      milliseconds wait) const
    {
        auto it = rows.wait_for_changes(since, wait);
        return it ? *it : throw store_error("the relay lost the store");
    }
    table_cache& rows;
};

/// A small gateway that starts, and two large ones of its zone that watch the store.
template <typename Store>
struct relayed_fixture : follower_fixture
{
    explicit relayed_fixture(Store store) : source(store, directory, table, own_rows)
    {
        relayed_rows = &rows;
        directory.add_published({}, steady::now() - seconds{10});
        for (std::uint16_t port : {1, 2})
        {
            rows[port].replace(batch({configuration_row()}, 1));
            rows[port].set_may_relay(true);
        }
        announce(1);
        state.backends_loaded = true;
    }

    /// Both large gateways announce the version of the latest change that they know.
    void announce(std::uint64_t version)
    {
        store_status status;
        status.watches = {true, true};
        status.changes[0] = {0, version};
        for (std::uint16_t port : {1, 2})
        {
            directory.record_message({std::to_string(port), {"10.0.0.1", port}, "a", 1},
                                     status, steady::now());
        }
    }

    static constexpr auto table = watched_table::configuration;
    std::map<std::uint16_t, table_cache> rows;
    gateway_directory directory{{"me", {"10.0.0.9", 1}, "a", 0.1},
                                steady::now() - seconds{10}};
    table_cache own_rows;
    relayed_store<Store, cache_relay> source;
};

} // namespace

/// The store answers other gateways only. The new one must not serve a zone that was
/// evacuated before it started.
Test(evacuation_follower, gateway_started_during_an_evacuation_learns_it_from_a_relay)
{
    relayed_fixture<silent_store> it{{}};
    for (auto& [port, rows] : it.rows)
    {
        rows.apply(batch({evacuation("a", 2)}, 2));
    }
    it.announce(2);
    cr_assert_not(it.state.ready());
    it.follower.on_snapshot(it.source.read_table("op"), steady::now());
    cr_assert(it.state.ready());
    cr_assert_eq(it.evacuated(), zones{"a"});
}

Test(evacuation_follower, gateway_that_reaches_neither_store_nor_relay_is_not_ready)
{
    relayed_fixture<silent_store> it{{}};
    for (auto& [port, rows] : it.rows)
    {
        rows.set_may_relay(false);
    }
    cr_assert_throw(it.source.read_table("op"), store_error);
    cr_assert_not(it.state.ready());
}

/// The preferred relay stopped following the store before the row was written but still
/// answers. The announcement of the other one shows that it is behind.
Test(evacuation_follower, row_that_one_relay_missed_is_read_from_the_other)
{
    relayed_fixture<silent_store> it{{}};
    it.follower.on_snapshot(it.source.read_table("op"), steady::now());
    const auto second = it.directory.relays(it.table, steady::now()).at(1).port;
    it.rows.at(second).apply(batch({evacuation("a", 2)}, 2));
    it.announce(2);
    std::this_thread::sleep_for(milliseconds{750});
    it.announce(2);
    const auto read = it.source.wait_for_changes("op", {0, 1}, milliseconds{500});
    it.follower.on_changes(read, steady::now());
    cr_assert_eq(it.evacuated(), zones{"a"});
}

/// A relay that has read the table again does not know removed rows. Its reader must
/// read the whole table instead of missing the removal.
Test(evacuation_follower, removal_before_the_relays_complete_read_is_not_missed)
{
    relayed_fixture<silent_store> it{{}};
    for (auto& [port, rows] : it.rows)
    {
        rows.apply(batch({evacuation("a", 2)}, 2));
    }
    it.follower.on_snapshot(it.source.read_table("op"), steady::now());
    cr_assert_eq(it.evacuated(), zones{"a"});
    for (auto& [port, rows] : it.rows)
    {
        rows.replace(batch({configuration_row()}, 4));
    }
    cr_assert_throw(it.source.wait_for_changes("op", {0, 2}, milliseconds{500}),
                    history_compacted);
    it.follower.on_snapshot(it.source.read_table("op"), steady::now());
    cr_assert(it.evacuated().empty());
}

namespace {

/// A store that answers every call with `body`.
struct fixed_store
{
    explicit fixed_store(std::string it) : body(std::move(it))
    {
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        address = {"127.0.0.1", ntohs(addr.sin_port)};
    }
    fixed_store(const fixed_store&) = delete;
    fixed_store& operator=(const fixed_store&) = delete;
    ~fixed_store()
    {
        signal_event_fd(stop);
        serving.join();
    }

    std::string body;
    endpoint address;
    unique_fd listener = listen_tcp({"127.0.0.1", 0});
    unique_fd stop = open_event_fd();
    task serving{[this] {
        serve_status(listener, stop.get(), [this](const received_request&) {
            return status_response{200, "application/json", body};
        });
    }};
};

} // namespace

/// The client of the store leaves malformed rows out, which must not lose an evacuation.
Test(evacuation_follower, malformed_row_of_the_store_evacuates_its_zone)
{
    const fixed_store store(R"({"rows":[{"key":"evacuate/a","value":["x"],"ver":3},
        {"key":"evacuate/b","ver":3},{"key":"evacuate/c","value":"e30=","ver":"x"},
        {"key":"evacuate/d","value":"%%%","ver":3},
        {"key":"evacuate/e","value":"e30=","deleted":7,"ver":3},
        {"key":4},7,{"key":"other","value":7,"ver":3}],"has-more":false,"ver":9})");
    follower_fixture it;
    it.follower.on_snapshot(platform::store_client(store.address).read_table("op"),
                            steady::now());
    cr_assert_eq(it.evacuated(), (zones{"a", "b", "c", "d", "e"}));
}
