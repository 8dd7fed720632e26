#include "standins/fault_run.hpp"

#include "process/task.hpp"
#include "standins/caller.hpp"
#include "standins/fleet.hpp"
#include "standins/model_answer.hpp"
#include "standins/scenario.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>

namespace pistachiopost::standins {

namespace {

using nlohmann::json;

constexpr std::uint32_t deadline_ms = 20'000;
constexpr int callers = 6;

/// One call with the result its caller received.
struct record
{
    call asked;
    outcome got;
    bool poisonous = false;
};

/// Concurrent callers that send prompts and notices until stopped.
class caller_group
{
public:
    caller_group(const fleet& processes, std::uint64_t seed)
        : fleet_(processes), seed_(seed)
    {
        for (int i = 0; i < callers; ++i)
        {
            tasks_.emplace_back([this, i] { run_caller(i); });
        }
    }

    /// Stops all callers and returns their records.
    std::vector<record> finish()
    {
        stopped_ = true;
        for (auto& it : tasks_)
        {
            it.join();
        }
        return std::move(records_);
    }

    /// Sends one prompt that crashes the engines it runs on.
    void send_poisonous_request(std::uint64_t n)
    {
        auto it = prompt_call(n, 1);
        it.prompt += poison_mark;
        add({it, make_call(it), true});
    }

private:
    call prompt_call(std::uint64_t n, std::size_t entry) const
    {
        call it;
        it.entry = fleet_.endpoint_of(fmt::format("entry-{}", entry));
        it.key = fleet_.keys()[n % 10];
        it.model = "lens-model";
        it.prompt = make_prompt(1'000 + n % 7'000, seed_ * 100'000 + n);
        it.output_tokens = 20 + static_cast<std::uint32_t>(n % 40);
        it.deadline_ms = deadline_ms;
        return it;
    }

    call notice_call(std::uint64_t n, std::size_t entry) const
    {
        call it;
        it.entry = fleet_.endpoint_of(fmt::format("entry-{}", entry));
        it.key = fleet_.keys()[0];
        it.service_path = "rope-registry/notices";
        it.prompt = fmt::format("notice {}", n);
        it.idempotency_key = fmt::format("key {}", n);
        it.deadline_ms = deadline_ms;
        return it;
    }

    /// Sends prompts and notices. Each notice is repeated at the other entry with the
    /// same idempotency key, like a caller that retries.
    void run_caller(int caller)
    {
        std::mt19937_64 random(seed_ * 1'000 + static_cast<std::uint64_t>(caller));
        for (std::uint64_t i = 0; !stopped_; ++i)
        {
            const auto n = i * callers + static_cast<std::uint64_t>(caller);
            const auto entry = 1 + random() % 2;
            if (random() % 3 != 0)
            {
                const auto it = prompt_call(n, entry);
                add({it, make_call(it)});
                continue;
            }
            for (const auto at : {entry, 3 - entry})
            {
                const auto it = notice_call(n, at);
                add({it, make_call(it)});
            }
        }
    }

    void add(record it)
    {
        const std::lock_guard lock(mutex_);
        records_.push_back(std::move(it));
    }

    const fleet& fleet_;
    std::uint64_t seed_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<record> records_;
    std::vector<task> tasks_;
};

/// Injects faults and removes each after a random delay.
class fault_injector
{
public:
    fault_injector(fleet& processes, caller_group& group, std::uint64_t seed)
        : fleet_(processes), group_(group), random_(seed)
    {
    }

    /// Injects `count` faults in sequence, each at random overlapped by a second one.
    void run(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            const auto kind = random_() % 7;
            const auto first = begin(kind, random_());
            wait(100 + random_() % 500);
            if (random_() % 2 == 0)
            {
                const auto second = begin(random_() % 6, random_());
                wait(random_() % 300);
                end(second);
            }
            end(first);
            wait(200 + random_() % 400);
        }
    }

    [[nodiscard]] bool entry_died() const { return entry_died_; }
    [[nodiscard]] const std::string& fault_log() const { return fault_log_; }

private:
    /// An active fault. Without a target there is no process to resume or restart.
    struct fault
    {
        std::uint64_t kind;
        std::string target;
    };

    fault begin(std::uint64_t kind, std::uint64_t choice)
    {
        switch (kind)
        {
        case 0:
            return kill("engine-", choice);
        case 1:
            return kill("agent-", choice);
        case 2:
            entry_died_ = true;
            return kill("entry-", choice);
        case 3:
            return pause(choice);
        case 4:
            fault_log_ += " table service down;";
            post_json(fleet_.endpoint_of("table"), "/faults", {{"down", true}});
            return {kind, ""};
        case 5:
            fault_log_ += " write replies dropped;";
            post_json(fleet_.endpoint_of("table"), "/faults", {{"lose_answers", 3}});
            return {kind, ""};
        default:
            fault_log_ += " poisonous request;";
            group_.send_poisonous_request(choice % 1'000'000);
            return {kind, ""};
        }
    }

    fault kill(std::string_view prefix, std::uint64_t choice)
    {
        const auto target = select_process(prefix, choice);
        if (!affected_.insert(target).second)
        {
            return {99, ""};
        }
        fault_log_ += " kill " + target + ";";
        fleet_.signal(target, SIGKILL);
        fleet_.wait_exit(target);
        return {0, target};
    }

    fault pause(std::uint64_t choice)
    {
        const auto target = select_process("agent-", choice);
        if (!affected_.insert(target).second)
        {
            return {99, ""};
        }
        fault_log_ += " pause " + target + ";";
        fleet_.signal(target, SIGSTOP);
        return {3, target};
    }

    void end(const fault& it)
    {
        if (it.kind == 4)
        {
            post_json(fleet_.endpoint_of("table"), "/faults", {{"down", false}});
        }
        else if (it.kind == 3)
        {
            wait(3'500); // longer than the time-out that closes an unresponsive link
            fleet_.signal(it.target, SIGCONT);
            affected_.erase(it.target);
        }
        else if (!it.target.empty())
        {
            fleet_.start(it.target);
            affected_.erase(it.target);
        }
        restart_crashed_engines();
    }

    /// Restarts engines that crashed on a poisonous request.
    void restart_crashed_engines()
    {
        for (const auto& name : fleet_.names("engine-"))
        {
            if (!affected_.contains(name) && fleet_.reap_if_exited(name))
            {
                ++crashed_engines_;
                fleet_.start(name);
            }
        }
    }

    std::string select_process(std::string_view prefix, std::uint64_t choice) const
    {
        const auto all = fleet_.names(prefix);
        return all[choice % all.size()];
    }

    static void wait(std::uint64_t ms)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }

    fleet& fleet_;
    caller_group& group_;
    std::mt19937_64 random_;
    std::set<std::string> affected_;
    std::string fault_log_;
    bool entry_died_ = false;
    int crashed_engines_ = 0;
};

/// Compares the results of callers with the executions recorded by services. Returns
/// the violated guarantees.
std::vector<std::string> find_violations(const fleet& processes,
                                         const std::vector<record>& records,
                                         bool entry_died)
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto& name : processes.names("service-"))
    {
        const auto ran = get_json(processes.endpoint_of(name), "/records");
        for (const auto& [body, n] : ran.items())
        {
            runs[body] += n.get<std::uint64_t>();
        }
    }
    std::vector<std::string> violations;
    for (const auto& [body, n] : runs)
    {
        if (n > 1)
        {
            violations.push_back(fmt::format("{} was executed {} times", body, n));
        }
    }
    std::map<std::string, bool> answered;
    for (const auto& it : records)
    {
        const bool prompt = !it.asked.model.empty();
        const auto kind = it.got.kind();
        if (!prompt && kind == "answered")
        {
            answered[it.asked.prompt] = true;
        }
        if (!prompt && kind == "answered" && runs[it.asked.prompt] != 1)
        {
            violations.push_back(it.asked.prompt +
                                 " was answered but not executed exactly once");
        }
        if (it.got.total_ms > deadline_ms)
        {
            violations.push_back(fmt::format(
                "a call ended after {:.0f} ms, past its deadline", it.got.total_ms));
        }
        if (it.got.status == 200 && it.got.type.empty() && !it.got.complete)
        {
            violations.push_back("an answer differs from the expected one: " +
                                 it.got.detail);
        }
        const bool prompt_failed =
            prompt && kind == "failed" && !it.got.connection_lost();
        if (prompt_failed && !it.poisonous && !entry_died)
        {
            violations.push_back(
                fmt::format("a prompt failed: {} ({})", it.got.type, it.got.execution));
        }
        if (it.got.connection_lost() && !entry_died)
        {
            violations.push_back("a call got no response: " + it.got.detail);
        }
    }
    for (const auto& it : records)
    {
        const auto& body = it.asked.prompt;
        const bool reported_not_run =
            it.asked.model.empty() && it.got.execution == "not_run";
        if (reported_not_run && runs[body] > 0 && !answered[body])
        {
            violations.push_back(body +
                                 " was executed although its callers were told not_run");
        }
    }
    return violations;
}

} // namespace

int run_faults(const fault_run_options& options)
{
    const json description{{"entries", 2},
                           {"engines", 4},
                           {"services", 2},
                           {"entry", {{"log_level", "warn"}}},
                           {"agent", {{"log_level", "warn"}}}};
    fleet processes(description, options.product, options.standins, options.work);
    processes.start_all();
    scenario steps(processes, options.seed);
    steps.run(json::array({{{"wait_ready", true}}}));
    caller_group group(processes, options.seed);
    fault_injector faults(processes, group, options.seed);
    faults.run(options.faults);
    const auto records = group.finish();
    auto violations = find_violations(processes, records, faults.entry_died());
    try
    {
        steps.run(json::array({{{"wait_released", true}}}));
    }
    catch (const scenario_error& it)
    {
        violations.emplace_back(it.what());
    }
    const auto answered =
        std::count_if(records.begin(), records.end(),
                      [](const record& it) { return it.got.kind() == "answered"; });
    fmt::print("seed {}: {} of {} calls answered, {} violations;{}\n", options.seed,
               answered, records.size(), violations.size(), faults.fault_log());
    for (const auto& it : violations)
    {
        fmt::print("  violation: {}\n", it);
    }
    return violations.empty() ? 0 : 1;
}

} // namespace pistachiopost::standins
