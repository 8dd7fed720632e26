#include "process/fleet_registration.hpp"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace pistachiopost;

namespace {

const std::string self = "v-2";

/// The gateways' table, with calls that may fail.
struct table_fake
{
    row_batch read_table(std::string_view) { return {rows, {era, version}, {}}; }

    void write_row(std::string_view, std::string_view key, std::string_view value)
    {
        ++writes;
        if (lose_next_row)
        {
            lose_next_row = false;
            return;
        }
        std::erase_if(rows, [&](const stored_row& it) { return it.key == key; });
        rows.push_back({std::string(key), std::string(value), {era, ++version}, false});
        if (lose_next_answer)
        {
            lose_next_answer = false;
            throw store_error("the answer was lost");
        }
    }

    std::vector<stored_row> rows;
    std::uint64_t version = 0;
    std::uint64_t era = 0;
    int writes = 0;
    bool lose_next_answer = false;
    bool lose_next_row = false; ///< It is acknowledged all the same.
};

/// A store client that refers to the table.
struct client_fake
{
    row_batch read_table(std::string_view name) { return table->read_table(name); }
    void write_row(std::string_view name, std::string_view key, std::string_view value)
    {
        table->write_row(name, key, value);
    }

    table_fake* table;
};

/// The gateway v-2, and a table with the row of v-1.
struct join_fixture
{
    join_fixture()
    {
        settings.self.vm = self;
        settings.peers = {"127.0.0.1", 7'103};
        const gateway_record other{"v-1", {"127.0.0.2", 7'103}, "z", 1};
        table.write_row("", other.name, encode_gateway_record(other));
        table.writes = 0;
    }

    /// Joins as a new process; returns the number of rows that precede its own.
    std::size_t join()
    {
        gateway_state state(settings);
        stop_flag stop;
        join_fleet(client_fake{&table}, state, stop);
        cr_assert(state.directory.is_complete());
        return find_preceding_rows(table.rows, self)->size();
    }

    gateway_settings settings;
    table_fake table;
};

} // namespace

Test(join_fleet, new_gateway_publishes_its_row_and_reads_the_others)
{
    join_fixture it;
    cr_assert_eq(it.join(), 1U);
    cr_assert_eq(it.table.writes, 1);
}

// Guards against restarts that move all gateways to the end of the order, where none owns
// an allowance for cold backend servers.
Test(join_fleet, restarted_gateway_keeps_its_place)
{
    join_fixture it;
    it.join();
    it.table.write_row("", "v-3", "{}");
    it.table.writes = 0;
    cr_assert_eq(it.join(), 1U);
    cr_assert_eq(it.table.writes, 0);
}

Test(join_fleet, gateway_with_another_address_publishes_it)
{
    join_fixture it;
    it.join();
    it.settings.peers.port = 7'203;
    it.join();
    cr_assert_eq(it.table.writes, 2);
}

// Guards against gateways that no other finds after their rows were lost with the store's
// return from a copy.
Test(join_fleet, row_lost_with_the_stores_return_from_a_copy_is_written_again)
{
    join_fixture it;
    it.table.era = 1;
    const auto copy = it.table.rows;
    gateway_state state(it.settings);
    stop_flag stop;
    fleet_registration registration(state, stop);
    registration.publish(client_fake{&it.table});
    cr_assert_not(registration.may_be_lost());
    it.table.era = 2;
    it.table.rows = copy;
    state.directory.record_change(watched_table::configuration, {2, 0}, {2, 1},
                                  steady::now());
    cr_assert(registration.may_be_lost());
    registration.publish_again(client_fake{&it.table});
    cr_assert_not(registration.may_be_lost());
    cr_assert_not_null(find_row(it.table.rows, self));
    cr_assert_eq(it.table.writes, 2);
    it.table.era = 3;
    state.directory.record_change(watched_table::backends, {3, 0}, {3, 1}, steady::now());
    registration.publish_again(client_fake{&it.table});
    cr_assert_eq(it.table.writes, 2, "a row that the copy has keeps its place");
}

// Guards against a store that returns from a copy between the write and the next read.
Test(join_fleet, row_lost_before_it_was_read_is_written_again)
{
    join_fixture it;
    it.table.lose_next_row = true;
    cr_assert_eq(it.join(), 1U);
    cr_assert_eq(it.table.writes, 2);
}

Test(join_fleet, gateway_that_stops_does_not_publish_itself_again)
{
    join_fixture it;
    gateway_state state(it.settings);
    stop_flag stop;
    fleet_registration registration(state, stop);
    registration.publish(client_fake{&it.table});
    state.directory.record_change(watched_table::backends, {1, 0}, {1, 1}, steady::now());
    state.stopping = true;
    cr_assert_not(registration.may_be_lost());
}

// Guards against a repeated write, which would change the place after another gateway has
// read it.
Test(join_fleet, write_whose_answer_was_lost_is_not_repeated)
{
    join_fixture it;
    it.table.lose_next_answer = true;
    cr_assert_eq(it.join(), 1U);
    cr_assert_eq(it.table.writes, 1);
}
