#include "standins/bench.hpp"

#include "process/task.hpp"
#include "standins/caller.hpp"
#include "standins/fleet.hpp"
#include "standins/scenario.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <numeric>
#include <random>
#include <thread>

namespace pistachiopost::standins {

namespace {

using nlohmann::json;

constexpr std::size_t engine_count = 16;
constexpr std::size_t service_count = 3;
constexpr std::size_t entry_count = 3;
constexpr double engine_prefill_rate = 309'000; // prompt tokens per second and engine
constexpr double initial_rate = 140;            // requests per second
constexpr std::uint32_t deadline_ms = 10'000;
const std::vector<double> customer_shares{6, 4, 3, 1, 1, 1, 1, 1, 1, 1};

/// A display name and the settings that select the policy.
struct policy
{
    std::string name;
    std::string choice;
    std::string queue;
};

const std::array<policy, 3> policies{{{"pistachiopost", "two-choices", "fair"},
                                      {"least loaded + FIFO", "least-loaded", "fifo"},
                                      {"round robin + FIFO", "round-robin", "fifo"}}};

load make_load(const fleet& processes, const bench_options& options)
{
    load it;
    for (const auto& name : processes.names("entry"))
    {
        it.entries.push_back(processes.endpoint_of(name));
    }
    it.keys = processes.keys();
    it.customer_shares = customer_shares;
    it.model = "lens-model";
    it.seed = options.seed;
    it.seconds = options.seconds;
    it.rate = initial_rate;
    it.deadline_ms = deadline_ms;
    it.callers = 4'000;
    // The mean work of the sampled requests depends on the seed and the rate, so the
    // rate is approximated in three iterations.
    for (int i = 0; i < 3; ++i)
    {
        it.rate = options.steady_utilization * engine_count * engine_prefill_rate /
                  mean_work(it);
    }
    return it;
}

/// Kills two engines, an agent and an entry one after another and restarts each.
void inject_faults(fleet& processes, const bench_options& options)
{
    std::mt19937_64 random(options.seed);
    const auto pause = std::chrono::duration<double>(options.seconds / 8);
    for (const auto* kind : {"engine", "agent", "engine", "entry"})
    {
        std::this_thread::sleep_for(pause);
        const auto all = processes.names(kind);
        const auto& target = all[random() % all.size()];
        processes.signal(target, SIGKILL);
        processes.wait_exit(target);
        std::this_thread::sleep_for(pause / 2);
        processes.start(target);
    }
}

/// Returns the lowest ratio, over all customers, of work answered to the customer's
/// max-min fair share of all work answered.
double lowest_fair_share_ratio(const load_result& it)
{
    const auto n = it.offered_work.size();
    auto remaining_work = static_cast<double>(std::accumulate(
        it.answered_work.begin(), it.answered_work.end(), std::uint64_t{0}));
    std::vector<std::size_t> order(n);
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return it.offered_work[a] < it.offered_work[b];
    });
    double lowest = 1;
    for (std::size_t i = 0; i < n; ++i)
    {
        const auto customer = order[i];
        const auto offered = static_cast<double>(it.offered_work[customer]);
        const auto fair_share =
            std::min(offered, remaining_work / static_cast<double>(n - i));
        remaining_work -= fair_share;
        if (fair_share > 0)
        {
            lowest = std::min(lowest, static_cast<double>(it.answered_work[customer]) /
                                          fair_share);
        }
    }
    return lowest;
}

/// Returns the work answered per second as a share of the engines' capacity.
double capacity_utilization(const load_result& it, double seconds)
{
    const auto answered = static_cast<double>(std::accumulate(
        it.answered_work.begin(), it.answered_work.end(), std::uint64_t{0}));
    return answered / (engine_count * engine_prefill_rate * seconds);
}

class phase_table
{
public:
    explicit phase_table(std::string_view title)
    {
        fmt::print("\n{}\n{:20} {:>6} {:>6} {:>6} {:>6} {:>5} | {:>22} | {:>15} {:>9} | "
                   "{:>8} {:>8}\n",
                   title, "policy", "sent", "answ", "refus", "fail", "late",
                   "first <4k 50/95/99 ms", ">100k 50/95 ms", "slow95", "answered",
                   "worst");
    }

    static void add(const std::string& name, const load_result& it, double seconds)
    {
        class_result all;
        for (const auto& row : it.classes)
        {
            all.sent += row.sent;
            all.answered += row.answered;
            all.refused += row.refused;
            all.failed += row.failed;
            all.late += row.late;
        }
        const auto& short_prompts = it.classes[0].first_token_ms;
        const auto& long_prompts = it.classes[3].first_token_ms;
        fmt::print(
            "{:20} {:>6} {:>6} {:>6} {:>6} {:>5} | {:>6.0f} {:>7.0f} {:>7.0f} | {:>7.0f} "
            "{:>7.0f} {:>9.1f} | {:>7.0f}% {:>7.0f}%\n",
            name, all.sent, all.answered, all.refused, all.failed, all.late,
            quantile(short_prompts, 0.5), quantile(short_prompts, 0.95),
            quantile(short_prompts, 0.99), quantile(long_prompts, 0.5),
            quantile(long_prompts, 0.95), quantile(it.short_slowdown, 0.95),
            100 * capacity_utilization(it, seconds), 100 * lowest_fair_share_ratio(it));
        std::fflush(stdout);
    }
};

/// Returns the median time to first token through an entry minus the median of direct
/// requests to the engine.
double added_latency_ms(fleet& processes)
{
    std::array<std::vector<double>, 2> first_token_ms;
    for (std::uint64_t i = 0; i < 200; ++i)
    {
        call single;
        single.model = "lens-model";
        single.key = processes.keys()[0];
        single.prompt = make_prompt(1'000, i);
        single.output_tokens = 1;
        const bool direct = i % 2 == 0;
        single.entry = processes.endpoint_of(direct ? "engine-1" : "entry-1");
        first_token_ms[direct ? 0 : 1].push_back(make_call(single).first_token_ms);
    }
    return quantile(first_token_ms[1], 0.5) - quantile(first_token_ms[0], 0.5);
}

json usage_rates(const fleet& processes, double seconds)
{
    json all;
    for (const auto* prefix : {"entry-", "agent-"})
    {
        double cpu = 0;
        long memory = 0;
        const auto group = processes.names(prefix);
        for (const auto& name : group)
        {
            const auto [cpu_seconds, resident] = processes.usage(name);
            cpu += cpu_seconds;
            memory = std::max(memory, resident);
        }
        all[prefix] = {
            {"core_share_each", cpu / seconds / static_cast<double>(group.size())},
            {"largest_resident_kb", memory}};
    }
    return all;
}

/// Runs all phases for one policy on its own deployment.
class policy_benchmark
{
public:
    policy_benchmark(const bench_options& options, const policy& chosen)
        : options_(options), policy_(chosen),
          fleet_({{"entries", entry_count},
                  {"engines", engine_count},
                  {"services", service_count},
                  {"entry",
                   {{"policy", {{"choice", chosen.choice}}},
                    {"limits", {{"max_connections", 4'000}}},
                    {"log_level", "error"}}},
                  {"agent",
                   {{"policy", {{"queue", chosen.queue}}}, {"log_level", "error"}}}},
                 options.product, options.standins,
                 options.work / fmt::format("{}-{}", chosen.choice, chosen.queue))
    {
        fleet_.start_all();
        scenario readiness(fleet_, options.seed);
        readiness.run(json::array({{{"wait_ready", true}}}));
        std::this_thread::sleep_for(std::chrono::seconds(6)); // new links start slowly
    }

    load_result steady()
    {
        result_["added_latency_ms"] = added_latency_ms(fleet_);
        return record("steady", make_load(fleet_, options_));
    }

    load_result peak()
    {
        auto it = make_load(fleet_, options_);
        it.peak_factor = options_.peak_factor;
        return record("crest", it);
    }

    load_result peak_with_faults()
    {
        auto it = make_load(fleet_, options_);
        it.peak_factor = options_.peak_factor;
        task faults([this] { inject_faults(fleet_, options_); });
        auto got = record("crest with faults", it);
        faults.join();
        return got;
    }

    /// Waits until the engines have released all memory, stops the product and returns
    /// the recorded results.
    json finish()
    {
        scenario release_check(fleet_, options_.seed);
        release_check.run(json::array({{{"wait_released", true}}}));
        result_["stopped_badly"] = fleet_.stop_product();
        return result_;
    }

    [[nodiscard]] const std::string& name() const { return policy_.name; }

private:
    load_result record(const std::string& phase, const load& it)
    {
        const auto before = usage_rates(fleet_, 1);
        auto got = run_load(it);
        result_[phase] = to_json(got);
        result_[phase]["worst_share"] = lowest_fair_share_ratio(got);
        result_[phase]["used_capacity"] = capacity_utilization(got, options_.seconds);
        auto after = usage_rates(fleet_, 1);
        for (const auto* prefix : {"entry-", "agent-"})
        {
            const auto cpu_seconds = after[prefix]["core_share_each"].get<double>() -
                                     before[prefix]["core_share_each"].get<double>();
            after[prefix]["core_share_each"] = cpu_seconds / options_.seconds;
        }
        result_[phase]["usage"] = std::move(after);
        return got;
    }

    const bench_options& options_;
    policy policy_;
    fleet fleet_;
    json result_;
};

} // namespace

int run_bench(const bench_options& options)
{
    json results;
    std::vector<std::array<load_result, 3>> phases;
    std::vector<std::string> names;
    for (const auto& chosen : policies)
    {
        if (!options.choice_filter.empty() && options.choice_filter != chosen.choice)
        {
            continue;
        }
        policy_benchmark run(options, chosen);
        fmt::print(stderr, "measuring {}\n", chosen.name);
        phases.push_back({run.steady(), run.peak(),
                          options.faults ? run.peak_with_faults() : load_result{}});
        names.push_back(chosen.name);
        results[chosen.name] = run.finish();
    }
    const std::array<std::string, 3> titles{
        fmt::format("steady, {:.0f}% of capacity", 100 * options.steady_utilization),
        fmt::format("peak of {:.0f}x in the middle third", options.peak_factor),
        "the same peak with an engine, an agent, an engine and an entry killed"};
    for (std::size_t phase = 0; phase < (options.faults ? 3U : 2U); ++phase)
    {
        const phase_table table(titles[phase]);
        for (std::size_t i = 0; i < names.size(); ++i)
        {
            phase_table::add(names[i], phases[i][phase], options.seconds);
        }
    }
    for (const auto& name : names)
    {
        const auto& it = results[name];
        fmt::print(
            "\n{}: added latency {:.2f} ms; 95th percentile between chunks {:.0f} ms; "
            "CPU cores per process in the steady phase: entry {:.3f}, agent "
            "{:.3f}\n",
            name, it["added_latency_ms"].get<double>(),
            it["steady"]["gap_ms"]["p95"].get<double>(),
            it["steady"]["usage"]["entry-"]["core_share_each"].get<double>(),
            it["steady"]["usage"]["agent-"]["core_share_each"].get<double>());
    }
    if (!options.result_file.empty())
    {
        std::ofstream(options.result_file) << results.dump(2) << '\n';
    }
    return 0;
}

} // namespace pistachiopost::standins
