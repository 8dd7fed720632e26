/// \file
/// The row by which other gateways find this one.
#pragma once

#include "connection/codec_error.hpp"
#include "connection/gateway_record_codec.hpp"
#include "process/gateway_state.hpp"
#include "process/logging.hpp"
#include "process/membership/row_order.hpp"
#include "process/stop_flag.hpp"
#include "process/store_watch.hpp"
#include "process/stored_row.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiopost {

/// Table in which each gateway publishes its address for peers.
inline constexpr std::string_view gateways_table = "pistachiopost-gateways";

/// Repeats a call to the store until it succeeds or the process stops.
template <typename Call>
void retry_store_call(std::string_view what, stop_flag& stop, const Call& call)
{
    retry_backoff backoff;
    do
    {
        try
        {
            call();
            return;
        }
        catch (const store_error& it)
        {
            log_event(log_level::warn, "call to the store failed; retrying",
                      {{"call", what}, {"fault", it.what()}});
        }
    } while (!stop.wait_for(backoff.next()));
}

/// Publishes this gateway, then reads which others there are. Of two gateways that start
/// at the same time at least the second reads the row of the first, and announces itself
/// to it; so the table need not be watched. A row that is there already keeps its place
/// in the order of rows, by which the allowance for cold backend servers is divided.
/// Returns the era of the store that has the row; 0 if the process stops before.
template <typename Store>
std::uint64_t join_fleet(Store store, gateway_state& state, stop_flag& stop)
{
    const auto& self = state.directory.self();
    const auto value = encode_gateway_record(self);
    std::uint64_t era = 0;
    retry_store_call("publish gateway", stop, [&] {
        auto published = store.read_table(gateways_table);
        const auto* own = find_row(published.rows, self.name);
        if (own == nullptr || own->value != value)
        {
            store.write_row(gateways_table, self.name, value);
            published = store.read_table(gateways_table);
            if (find_row(published.rows, self.name) == nullptr)
            {
                throw store_error("the store has lost the row that it acknowledged");
            }
        }
        std::vector<gateway_record> gateways;
        for (const auto& it : published.rows)
        {
            try
            {
                gateways.push_back(decode_gateway_record(it.key, it.value));
            }
            catch (const codec_error& ex)
            {
                log_event(log_level::warn, "invalid row of a gateway ignored",
                          {{"gateway", it.key}, {"fault", ex.what()}});
            }
        }
        const auto now = steady::now();
        state.directory.add_published(gateways, now);
        const auto preceding = find_preceding_rows(published.rows, self.name);
        if (preceding)
        {
            state.dispatch.update_cold_allowance(
                now, [&](cold_allowance& it) { it.set_predecessors(*preceding); });
        }
        log_event(log_level::info, "gateways read",
                  {{"count", static_cast<std::uint64_t>(gateways.size())},
                   {"preceding",
                    preceding ? std::to_string(preceding->size()) : "own row missing"}});
        era = published.version.era;
    });
    return era;
}

/// Publishes this gateway, and again once the store has returned from a copy that may
/// lack its row. Not thread-safe.
class fleet_registration
{
public:
    fleet_registration(gateway_state& state, stop_flag& stop) : state_(state), stop_(stop)
    {
    }

    template <typename Store>
    void publish(Store store)
    {
        era_ = join_fleet(std::move(store), state_, stop_);
    }

    /// Returns whether the row may be lost. A gateway that stops needs none.
    [[nodiscard]] bool may_be_lost() const
    {
        return state_.directory.known_era() > era_ && !state_.stopping;
    }

    /// Publishes the row once more, after a delay that spreads the calls of all gateways.
    template <typename Store>
    void publish_again(Store store)
    {
        // The order of rows is unknown until they are read again.
        state_.dispatch.update_cold_allowance(
            steady::now(), [](cold_allowance& it) { it.forget_predecessors(); });
        if (!stop_.wait_for(next_delay()) && !state_.stopping)
        {
            publish(std::move(store));
        }
    }

private:
    // 100 gateways a second make 200 calls at most that read and 100 that write: a
    // quarter of what the store admits.
    static constexpr milliseconds time_per_gateway{10};

    milliseconds next_delay()
    {
        const auto longest =
            time_per_gateway * static_cast<milliseconds::rep>(state_.directory.size());
        std::uniform_int_distribution<milliseconds::rep> delay(0, longest.count());
        return milliseconds{delay(random_)};
    }

    gateway_state& state_;
    stop_flag& stop_;
    std::uint64_t era_ = 0; ///< Of the store that has the row.
    std::minstd_rand random_{std::random_device{}()};
};

} // namespace pistachiopost
