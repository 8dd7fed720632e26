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
            tasks_.emplace_back([this, i] { work(i); });
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
    void send_poison(std::uint64_t n)
    {
        auto it = prompt_call(n, 1);
        it.prompt += poison_mark;
        add({it, make_call(it), true});
    }

private:
    call prompt_call(std::uint64_t n, std::size_t entry) const
    {
        call it;
        it.entry = fleet_.where(fmt::format("entry-{}", entry));
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
        it.entry = fleet_.where(fmt::format("entry-{}", entry));
        it.key = fleet_.keys()[0];
        it.service_path = "rope-registry/notices";
        it.prompt = fmt::format("notice {}", n);
        it.idempotency_key = fmt::format("key {}", n);
        it.deadline_ms = deadline_ms;
        return it;
    }

    /// Sends prompts and notices. Each notice is repeated at the other entry with the
    /// same idempotency key, like a caller that retries.
    void work(int caller)
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
class fault_maker
{
public:
    fault_maker(fleet& processes, caller_group& group, std::uint64_t seed)
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
    [[nodiscard]] const std::string& story() const { return story_; }

private:
    /// An active fault. Without a victim there is no process to resume or restart.
    struct fault
    {
        std::uint64_t kind;
        std::string victim;
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
            story_ += " table service down;";
            tell(fleet_.where("table"), "/faults", {{"down", true}});
            return {kind, ""};
        case 5:
            story_ += " write replies dropped;";
            tell(fleet_.where("table"), "/faults", {{"lose_answers", 3}});
            return {kind, ""};
        default:
            story_ += " poisonous request;";
            group_.send_poison(choice % 1'000'000);
            return {kind, ""};
        }
    }

    fault kill(std::string_view prefix, std::uint64_t choice)
    {
        const auto victim = pick(prefix, choice);
        if (!down_.insert(victim).second)
        {
            return {99, ""};
        }
        story_ += " kill " + victim + ";";
        fleet_.signal(victim, SIGKILL);
        fleet_.wait_exit(victim);
        return {0, victim};
    }

    fault pause(std::uint64_t choice)
    {
        const auto victim = pick("agent-", choice);
        if (!down_.insert(victim).second)
        {
            return {99, ""};
        }
        story_ += " pause " + victim + ";";
        fleet_.signal(victim, SIGSTOP);
        return {3, victim};
    }

    void end(const fault& it)
    {
        if (it.kind == 4)
        {
            tell(fleet_.where("table"), "/faults", {{"down", false}});
        }
        else if (it.kind == 3)
        {
            wait(3'500); // longer than the time-out that closes an unresponsive link
            fleet_.signal(it.victim, SIGCONT);
            down_.erase(it.victim);
        }
        else if (!it.victim.empty())
        {
            fleet_.start(it.victim);
            down_.erase(it.victim);
        }
        revive_engines();
    }

    /// Restarts engines that crashed on a poisonous request.
    void revive_engines()
    {
        for (const auto& name : fleet_.names("engine-"))
        {
            if (!down_.contains(name) && fleet_.has_died(name))
            {
                ++crashed_engines_;
                fleet_.start(name);
            }
        }
    }

    std::string pick(std::string_view prefix, std::uint64_t choice) const
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
    std::set<std::string> down_;
    std::string story_;
    bool entry_died_ = false;
    int crashed_engines_ = 0;
};

/// Compares the results of callers with the executions recorded by services. Returns
/// the violated guarantees.
std::vector<std::string> check(const fleet& processes, const std::vector<record>& records,
                               bool entry_died)
{
    std::map<std::string, std::uint64_t> runs;
    for (const auto& name : processes.names("service-"))
    {
        const auto ran = ask(processes.where(name), "/records");
        for (const auto& [body, n] : ran.items())
        {
            runs[body] += n.get<std::uint64_t>();
        }
    }
    std::vector<std::string> broken;
    for (const auto& [body, n] : runs)
    {
        if (n > 1)
        {
            broken.push_back(fmt::format("{} was executed {} times", body, n));
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
            broken.push_back(it.asked.prompt +
                             " was answered but not executed exactly once");
        }
        if (it.got.total_ms > deadline_ms)
        {
            broken.push_back(fmt::format(
                "a call ended after {:.0f} ms, past its deadline", it.got.total_ms));
        }
        if (it.got.status == 200 && it.got.type.empty() && !it.got.whole)
        {
            broken.push_back("an answer differs from the expected one: " + it.got.detail);
        }
        const bool lost = prompt && kind == "failed" && !it.got.broken();
        if (lost && !it.poisonous && !entry_died)
        {
            broken.push_back(
                fmt::format("a prompt failed: {} ({})", it.got.type, it.got.execution));
        }
        if (it.got.broken() && !entry_died)
        {
            broken.push_back("a call got no response: " + it.got.detail);
        }
    }
    for (const auto& it : records)
    {
        const auto& body = it.asked.prompt;
        const bool said_not_run = it.asked.model.empty() && it.got.execution == "not_run";
        if (said_not_run && runs[body] > 0 && !answered[body])
        {
            broken.push_back(body +
                             " was executed although its callers were told not_run");
        }
    }
    return broken;
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
    fault_maker faults(processes, group, options.seed);
    faults.run(options.faults);
    const auto records = group.finish();
    auto broken = check(processes, records, faults.entry_died());
    try
    {
        steps.run(json::array({{{"wait_released", true}}}));
    }
    catch (const scenario_error& it)
    {
        broken.emplace_back(it.what());
    }
    const auto answered =
        std::count_if(records.begin(), records.end(),
                      [](const record& it) { return it.got.kind() == "answered"; });
    fmt::print("seed {}: {} of {} calls answered, {} violations;{}\n", options.seed,
               answered, records.size(), broken.size(), faults.story());
    for (const auto& it : broken)
    {
        fmt::print("  violation: {}\n", it);
    }
    return broken.empty() ? 0 : 1;
}

} // namespace pistachiopost::standins
