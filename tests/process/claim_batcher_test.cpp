#include "../request/request_fixture.hpp"

#include "process/claim_batcher.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>

#include <future>

using namespace pistachiopost;
using namespace pistachiopost::testing;

namespace {

/// A table whose first commit blocks until `go` is set.
struct blocking_table : memory_table
{
    std::vector<std::size_t> commit(std::span<const claim_write> writes)
    {
        entered.set_value();
        go.get_future().wait();
        entered = {};
        go = {};
        go.set_value();
        return memory_table::commit(writes);
    }
    std::promise<void> entered;
    std::promise<void> go;
};

claim_write insert(std::string_view key)
{
    claim_write it;
    it.record.key = key;
    it.record.claim_id = std::string("claim-") + std::string(key);
    return it;
}

struct batcher_fixture
{
    ~batcher_fixture()
    {
        batcher.stop();
        worker.join();
    }
    memory_table table;
    claim_batcher<memory_table> batcher{table};
    task worker{[this] { batcher.run(); }};
};

} // namespace

Test(claim_batcher, claim_is_applied)
{
    batcher_fixture it;
    const auto result = it.batcher.apply(insert("k"), steady::now() + seconds{10});
    cr_assert_eq(result.outcome, write_outcome::applied);
    cr_assert_eq(it.table.rows.size(), 1U);
}

Test(claim_batcher, claims_queued_during_a_transaction_share_the_next)
{
    blocking_table table;
    auto entered = table.entered.get_future();
    claim_batcher<blocking_table> batcher(table);
    task worker([&] { batcher.run(); });
    batcher.apply_later(insert("first"));
    entered.wait();
    for (int i = 0; i < 20; ++i)
    {
        batcher.apply_later(insert(std::to_string(i)));
    }
    table.go.set_value();
    batcher.stop();
    worker.join();
    cr_assert_eq(table.rows.size(), 21U);
    cr_assert_eq(table.commits, 2);
}

Test(claim_batcher, abandoned_claim_is_removed)
{
    blocking_table table;
    auto entered = table.entered.get_future();
    claim_batcher<blocking_table> batcher(table);
    task worker([&] { batcher.run(); });
    const auto result = batcher.apply(insert("k"), steady::now());
    cr_assert_eq(result.outcome, write_outcome::unavailable);
    entered.wait();
    table.go.set_value();
    batcher.stop();
    worker.join();
    cr_assert(table.rows.empty());
}
