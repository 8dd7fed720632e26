#include "standins/slopes.hpp"

#include "standins/caller.hpp"
#include "standins/fleet.hpp"
#include "standins/scenario.hpp"

#include <fmt/format.h>

#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>

namespace pistachiopost::standins {

namespace {

using nlohmann::json;

/// Returns the byte counter of the loopback interface.
std::uint64_t loopback_bytes()
{
    std::ifstream file("/proc/net/dev");
    std::string line;
    while (std::getline(file, line))
    {
        const auto at = line.find("lo:");
        if (at != std::string::npos)
        {
            return std::strtoull(line.c_str() + at + 3, nullptr, 10);
        }
    }
    return 0;
}

/// A running deployment whose resource usage is measured over intervals.
class measured_fleet
{
public:
    measured_fleet(const slopes_options& options, const json& description)
        : options_(options), fleet_(description, options.product, options.standins,
                                    options.work / fmt::format("fleet-{}", ++count))
    {
        fleet_.start_all();
        scenario(fleet_, 1).run(json::array({{{"wait_ready", true}}}));
    }

    fleet& processes() { return fleet_; }

    /// Runs `work` and returns the resource usage of entry-1, agent-1 and the table
    /// service meanwhile.
    template <typename Work>
    json measure(Work&& work)
    {
        const auto bytes = loopback_bytes();
        const auto before = snapshot();
        const auto start = std::chrono::steady_clock::now();
        work();
        const std::chrono::duration<double> elapsed =
            std::chrono::steady_clock::now() - start;
        const auto after = snapshot();
        json cost;
        for (const auto* name : {"entry-1", "agent-1", "table"})
        {
            cost[name] = {{"core_share", (after.at(name).first - before.at(name).first) /
                                             elapsed.count()},
                          {"resident_kb", after.at(name).second}};
        }
        cost["loopback_bytes_per_s"] =
            static_cast<double>(loopback_bytes() - bytes) / elapsed.count();
        return cost;
    }

    /// Sleeps for the duration of one measurement.
    void idle() const
    {
        std::this_thread::sleep_for(std::chrono::duration<double>(options_.seconds));
    }

private:
    std::map<std::string, std::pair<double, long>> snapshot() const
    {
        std::map<std::string, std::pair<double, long>> all;
        for (const auto* name : {"entry-1", "agent-1", "table"})
        {
            all[name] = fleet_.usage(name);
        }
        return all;
    }

    static inline int count = 0;
    const slopes_options& options_;
    fleet fleet_;
};

json small_fleet(std::size_t entries, std::size_t engines)
{
    return {
        {"entries", entries},
        {"engines", engines},
        {"services", 1},
        {"entry", {{"log_level", "error"}, {"limits", {{"poll_interval_ms", 1'000}}}}},
        {"agent", {{"log_level", "error"}}}};
}

void print_row(std::string_view what, std::uint64_t size, const json& cost)
{
    const auto row = [&cost](const char* name) {
        return fmt::format("{:>7.3f}% {:>7} kB",
                           100 * cost[name]["core_share"].get<double>(),
                           cost[name]["resident_kb"].get<long>());
    };
    fmt::print("{:28} {:>7} | entry {} | agent {} | {:>8.0f} B/s\n", what, size,
               row("entry-1"), row("agent-1"),
               cost["loopback_bytes_per_s"].get<double>());
    std::fflush(stdout);
}

/// Measures the idle cost by number of agents linked to one entry. Only agents of plain
/// services are added, because agents of engines also poll their engine's state.
json by_agents(const slopes_options& options)
{
    json rows;
    for (const std::size_t n : {3, 11, 23})
    {
        auto description = small_fleet(1, 1);
        description["services"] = n;
        measured_fleet it(options, description);
        const auto cost = it.measure([&] { it.idle(); });
        print_row("idle, agents for one entry", n + 1, cost);
        rows[std::to_string(n + 1)] = cost;
    }
    return rows;
}

/// Measures the idle cost by number of entries linked to one agent.
json by_entries(const slopes_options& options)
{
    json rows;
    for (const std::size_t n : {1, 6, 12})
    {
        measured_fleet it(options, small_fleet(n, 1));
        const auto cost = it.measure([&] { it.idle(); });
        print_row("idle, entries for one agent", n, cost);
        rows[std::to_string(n)] = cost;
    }
    return rows;
}

/// Measures the cost of idle connections from callers.
json by_connections(const slopes_options& options)
{
    json rows;
    measured_fleet it(options, small_fleet(1, 1));
    std::vector<unique_fd> connections;
    for (const std::size_t n : {0, 100, 200, 400})
    {
        while (connections.size() < n)
        {
            connections.push_back(
                connect_tcp(it.processes().endpoint_of("entry-1"), 2'000));
        }
        const auto cost = it.measure([&] { it.idle(); });
        print_row("idle callers' connections", n, cost);
        rows[std::to_string(n)] = cost;
    }
    return rows;
}

/// Measures the cost of customers in the configuration while a new version is applied.
json by_customers(const slopes_options& options)
{
    json rows;
    for (const std::size_t n : {10, 15'000, 45'000})
    {
        auto description = small_fleet(1, 1);
        description["customers"] = n;
        measured_fleet it(options, description);
        const auto cost = it.measure([&] {
            it.processes().publish_configuration({});
            it.idle();
        });
        print_row("customers, one new version", n, cost);
        rows[std::to_string(n)] = cost;
    }
    return rows;
}

/// Measures the cost of short streamed prompts by request rate.
json by_requests(const slopes_options& options)
{
    json rows;
    for (const double rate : {20.0, 60.0, 120.0})
    {
        measured_fleet it(options, small_fleet(1, 4));
        load wanted;
        wanted.entries = {it.processes().endpoint_of("entry-1")};
        wanted.keys = it.processes().keys();
        wanted.customer_shares.assign(wanted.keys.size(), 1);
        wanted.model = "lens-model";
        wanted.rate = rate;
        wanted.seconds = options.seconds;
        wanted.long_share = 0;
        wanted.max_tokens = 2'000;
        const auto cost = it.measure([&] { run_load(wanted); });
        print_row("prompts of 1k to 2k a second", static_cast<std::uint64_t>(rate), cost);
        rows[std::to_string(static_cast<int>(rate))] = cost;
    }
    return rows;
}

/// Counts the table service transactions caused by at-most-once calls.
json by_claims(const slopes_options& options)
{
    json rows;
    for (const std::size_t n : {10, 40, 160})
    {
        measured_fleet it(options, small_fleet(1, 1));
        auto& processes = it.processes();
        const auto before = get_json(processes.endpoint_of("table"), "/counts");
        json steps = json::array();
        for (std::size_t i = 0; i < n; ++i)
        {
            const auto name = std::to_string(i);
            steps.push_back({{"send",
                              {{"call", name},
                               {"service", "rope-registry/notices"},
                               {"body", name},
                               {"idempotency_key", name}}}});
        }
        for (std::size_t i = 0; i < n; ++i)
        {
            steps.push_back(
                {{"expect", {{"call", std::to_string(i)}, {"outcome", "answered"}}}});
        }
        scenario(processes, 1).run(steps);
        const auto after = get_json(processes.endpoint_of("table"), "/counts");
        const auto writes = after.at("writes").get<std::uint64_t>() -
                            before.at("writes").get<std::uint64_t>();
        fmt::print("{:28} {:>7} | {} transactions\n", "keyed calls at once", n, writes);
        rows[std::to_string(n)] = {{"transactions", writes}};
    }
    return rows;
}

} // namespace

int run_slopes(const slopes_options& options)
{
    json result;
    result["agents"] = by_agents(options);
    result["entries"] = by_entries(options);
    result["connections"] = by_connections(options);
    result["customers"] = by_customers(options);
    result["requests"] = by_requests(options);
    result["claims"] = by_claims(options);
    if (!options.result_file.empty())
    {
        std::ofstream(options.result_file) << result.dump(2) << '\n';
    }
    return 0;
}

} // namespace pistachiopost::standins
