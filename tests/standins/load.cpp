#include "standins/caller.hpp"

#include "process/task.hpp"

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <mutex>
#include <random>
#include <thread>

namespace pistachiopost::standins {

namespace {

using nlohmann::json;
using clock = std::chrono::steady_clock;

/// One request of a load, generated before the load starts.
struct planned_request
{
    double at_seconds = 0;
    std::size_t customer = 0;
    std::size_t entry = 0;
    std::uint64_t tokens = 0;
    std::uint32_t output = 0;
    bool in_peak = false;
};

double log_uniform(std::mt19937_64& random, double from, double to)
{
    std::uniform_real_distribution<double> spread(std::log(from), std::log(to));
    return std::exp(spread(random));
}

std::vector<planned_request> plan(const load& it)
{
    std::mt19937_64 random(it.seed);
    std::discrete_distribution<std::size_t> customers(it.customer_shares.begin(),
                                                      it.customer_shares.end());
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<planned_request> requests;
    double now = 0;
    while (true)
    {
        const bool in_peak = now > it.seconds / 3 && now < it.seconds * 2 / 3;
        std::exponential_distribution<double> gap(it.rate *
                                                  (in_peak ? it.peak_factor : 1));
        now += gap(random);
        if (now >= it.seconds)
        {
            return requests;
        }
        planned_request next;
        next.at_seconds = now;
        next.in_peak = in_peak;
        next.customer = customers(random);
        next.entry = random() % it.entries.size();
        const bool is_long = uniform(random) < it.long_share;
        const auto longest = static_cast<double>(it.max_tokens);
        const auto length =
            is_long ? log_uniform(random, std::min(100'000.0, longest / 2), longest)
                    : log_uniform(random, 1'000, std::min(100'000.0, longest));
        next.tokens = static_cast<std::uint64_t>(length);
        next.output = 1 + static_cast<std::uint32_t>(random() % it.max_output);
        requests.push_back(next);
    }
}

/// Returns the time a request takes on an idle simulated engine.
double unloaded_time_ms(const planned_request& it)
{
    constexpr double step_ms = 3.1;
    constexpr double tokens_per_ms = 400;
    return step_ms + static_cast<double>(it.tokens) / tokens_per_ms + step_ms * it.output;
}

/// Aggregates the outcomes of all callers.
class load_recorder
{
public:
    explicit load_recorder(const load& it) : load_(it)
    {
        result_.answered_work.resize(it.keys.size());
        result_.offered_work.resize(it.keys.size());
    }

    void add(const planned_request& request, const outcome& got)
    {
        const std::lock_guard lock(mutex_);
        count(result_.classes[static_cast<std::size_t>(classify(request.tokens))], got);
        if (request.in_peak)
        {
            count(result_.peak, got);
        }
        const auto work = work_cost(request.tokens, request.output);
        result_.offered_work[request.customer] += work;
        if (got.kind() == "answered" && classify(request.tokens) == length_class::brief)
        {
            result_.short_slowdown.push_back(got.total_ms / unloaded_time_ms(request));
        }
        if (got.kind() == "answered")
        {
            result_.answered_work[request.customer] += work;
            result_.gaps_ms.insert(result_.gaps_ms.end(), got.gaps_ms.begin(),
                                   got.gaps_ms.end());
        }
        else
        {
            const auto name = got.type.empty() ? got.detail : got.type;
            ++result_.refusals[fmt::format("{} ({})", name, got.execution)];
        }
    }

    void count_resend()
    {
        const std::lock_guard lock(mutex_);
        ++result_.resent;
    }

    load_result take() { return std::move(result_); }

private:
    void count(class_result& it, const outcome& got) const
    {
        ++it.sent;
        const auto kind = got.kind();
        it.answered += kind == "answered" ? 1 : 0;
        it.refused += kind == "refused" ? 1 : 0;
        it.failed += kind == "failed" ? 1 : 0;
        it.late += got.total_ms > load_.deadline_ms ? 1 : 0;
        if (kind == "answered")
        {
            it.first_token_ms.push_back(got.first_token_ms);
            it.total_ms.push_back(got.total_ms);
        }
    }

    const load& load_;
    std::mutex mutex_;
    load_result result_;
};

} // namespace

double mean_work(const load& it)
{
    const auto requests = plan(it);
    double sum = 0;
    for (const auto& request : requests)
    {
        sum += static_cast<double>(work_cost(request.tokens, request.output));
    }
    return sum / static_cast<double>(std::max<std::size_t>(requests.size(), 1));
}

load_result run_load(const load& it)
{
    const auto requests = plan(it);
    load_recorder recorder(it);
    std::atomic<std::size_t> next{0};
    const auto start = clock::now();
    const auto work = [&] {
        for (auto i = next++; i < requests.size(); i = next++)
        {
            const auto& request = requests[i];
            call single;
            single.entry = it.entries[request.entry];
            single.key = it.keys[request.customer];
            single.model = it.model;
            single.prompt = make_prompt(request.tokens, it.seed * 1'000'003 + i);
            single.output_tokens = request.output;
            single.deadline_ms = it.deadline_ms;
            const auto due =
                start + std::chrono::duration_cast<clock::duration>(
                            std::chrono::duration<double>(request.at_seconds));
            std::this_thread::sleep_until(due);
            auto got = make_call_from(single, due);
            // After a lost connection the caller repeats its prompt, and the platform's
            // load balancer directs it to another entry.
            for (std::size_t k = 1; got.connection_lost() && k < it.entries.size(); ++k)
            {
                single.entry = it.entries[(request.entry + k) % it.entries.size()];
                const auto elapsed = static_cast<std::uint32_t>(milliseconds_since(due));
                single.deadline_ms =
                    it.deadline_ms - std::min(elapsed, it.deadline_ms - 1);
                got = make_call_from(single, due);
                recorder.count_resend();
            }
            recorder.add(request, got);
        }
    };
    std::vector<task> callers;
    for (std::uint32_t i = 0; i < std::min<std::size_t>(it.callers, requests.size()); ++i)
    {
        callers.emplace_back(work);
    }
    for (auto& caller : callers)
    {
        caller.join();
    }
    return recorder.take();
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
    {
        return 0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto i = static_cast<std::ptrdiff_t>(std::ceil(share * last));
    std::nth_element(values.begin(), values.begin() + i, values.end());
    return values[static_cast<std::size_t>(i)];
}

namespace {

json class_json(const class_result& it)
{
    return {
        {"sent", it.sent},
        {"answered", it.answered},
        {"refused", it.refused},
        {"failed", it.failed},
        {"late", it.late},
        {"first_token_ms",
         {{"median", quantile(it.first_token_ms, 0.5)},
          {"p95", quantile(it.first_token_ms, 0.95)},
          {"p99", quantile(it.first_token_ms, 0.99)}}},
        {"total_ms",
         {{"median", quantile(it.total_ms, 0.5)}, {"p95", quantile(it.total_ms, 0.95)}}}};
}

} // namespace

json to_json(const load_result& it)
{
    json document;
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        document["classes"][std::string(to_string(static_cast<length_class>(i)))] =
            class_json(it.classes[i]);
    }
    document["short_slowdown"] = {{"median", quantile(it.short_slowdown, 0.5)},
                                  {"p95", quantile(it.short_slowdown, 0.95)}};
    document["crest"] = class_json(it.peak);
    document["gap_ms"] = {{"median", quantile(it.gaps_ms, 0.5)},
                          {"p95", quantile(it.gaps_ms, 0.95)}};
    document["resent"] = it.resent;
    document["refusals"] = it.refusals;
    document["answered_work"] = it.answered_work;
    document["offered_work"] = it.offered_work;
    return document;
}

void print_table(const load_result& it)
{
    fmt::print("{:12} {:>6} {:>9} {:>8} {:>7} {:>12} {:>12}\n", "length", "sent",
               "answered", "refused", "failed", "first 50 ms", "first 95 ms");
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        const auto& row = it.classes[i];
        fmt::print("{:12} {:>6} {:>9} {:>8} {:>7} {:>12.0f} {:>12.0f}\n",
                   to_string(static_cast<length_class>(i)), row.sent, row.answered,
                   row.refused, row.failed, quantile(row.first_token_ms, 0.5),
                   quantile(row.first_token_ms, 0.95));
    }
    for (const auto& [name, count] : it.refusals)
    {
        fmt::print("  not answered: {} x {}\n", count, name);
    }
}

} // namespace pistachiopost::standins
