#include "standins/engine.hpp"

#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "process/task.hpp"
#include "standins/model_answer.hpp"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <random>
#include <thread>

namespace pistachiopost::standins {

namespace {

using nlohmann::json;

constexpr std::size_t block_bytes = 5'000; // 1,000 tokens

} // namespace

engine::engine(engine_options options) : options_(options)
{
    std::random_device random;
    boot_ = fmt::format("{:08x}{:08x}", random(), random());
}

std::shared_ptr<engine_job> engine::add(engine_job job, std::string_view prompt)
{
    const std::lock_guard lock(mutex_);
    if (job.memory() > options_.memory_tokens)
    {
        return nullptr;
    }
    job.arrival = ++logical_clock_;
    const auto local_tokens =
        job.prompt_tokens - std::min(job.prompt_tokens, job.held_elsewhere);
    job.prefill_remaining = local_tokens - std::min(local_tokens, cached_tokens(prompt));
    job.wrong_id = wrong_id_count_ > 0 && wrong_id_count_-- > 0;
    ++starts_[job.id.substr(0, job.id.find_last_of('.'))];
    auto shared = std::make_shared<engine_job>(std::move(job));
    jobs_.insert_or_assign(shared->id, shared);
    changed_.notify_all();
    return shared;
}

bool engine::reserve(const std::string& id, const std::string& owner,
                     std::uint64_t tokens)
{
    const std::lock_guard lock(mutex_);
    if (memory_used_ + tokens > options_.memory_tokens)
    {
        return false;
    }
    auto job = std::make_shared<engine_job>();
    job->id = id;
    job->owner = owner;
    job->prompt_tokens = tokens;
    job->admitted = true;
    job->reservation = true;
    memory_used_ += tokens;
    jobs_.insert_or_assign(id, std::move(job));
    return true;
}

std::uint64_t engine::start_prefill(std::string_view id)
{
    const std::lock_guard lock(mutex_);
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
    {
        return 0;
    }
    it->second->prefill_started = true;
    it->second->arrival = ++logical_clock_;
    it->second->prefill_remaining = it->second->prompt_tokens;
    changed_.notify_all();
    return it->second->prompt_tokens;
}

std::uint64_t engine::wait_prefilled(std::string_view id)
{
    std::unique_lock lock(mutex_);
    std::uint64_t tokens = 0;
    changed_.wait(lock, [&] {
        const auto it = jobs_.find(id);
        tokens = it == jobs_.end() ? 0 : it->second->prompt_tokens;
        return it == jobs_.end() ||
               (it->second->prefill_started && it->second->prefill_remaining == 0);
    });
    return tokens;
}

void engine::mark_kv_imported(engine_job& job)
{
    const std::lock_guard lock(mutex_);
    job.kv_imported = true;
    changed_.notify_all();
}

std::uint64_t engine::wait_for_more(const engine_job& job, std::uint64_t sent)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return job.next_offset > sent || job.cancelled; });
    return job.cancelled ? sent : job.next_offset;
}

void engine::cancel(std::string_view id)
{
    const std::lock_guard lock(mutex_);
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
    {
        return;
    }
    it->second->cancelled = true;
    if (it->second->admitted)
    {
        memory_used_ -= it->second->memory();
    }
    jobs_.erase(it);
    changed_.notify_all();
}

std::string engine::state_json()
{
    const std::lock_guard lock(mutex_);
    auto streams = json::array();
    for (const auto& [id, job] : jobs_)
    {
        streams.push_back({{"id", id}, {"owner", job->owner}});
    }
    return json{{"boot", boot_},
                {"memory_tokens", options_.memory_tokens},
                {"memory_used", memory_used_},
                {"slots", options_.slots},
                {"prefill_tokens_per_s", options_.prefill_rate},
                {"cached_tokens_used", cached_tokens_used_},
                {"starts", starts_},
                {"streams", std::move(streams)}}
        .dump();
}

void engine::set_faults(std::string_view text)
{
    const auto faults = json::parse(text);
    if (faults.value("die", false))
    {
        ::_exit(3);
    }
    const std::lock_guard lock(mutex_);
    hung_ = faults.value("hang", hung_);
    slowdown_factor_ = faults.value("slow", slowdown_factor_);
    wrong_id_count_ = faults.value("crossed", wrong_id_count_);
    changed_.notify_all();
}

void engine::run_steps()
{
    while (true)
    {
        std::unordered_map<const engine_job*, std::uint64_t> prefill;
        microseconds length{0};
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] {
                return !hung_ &&
                       std::any_of(jobs_.begin(), jobs_.end(),
                                   [](const auto& it) { return it.second->active(); });
            });
            auto batch = admit();
            length = plan_step(batch, prefill);
        }
        std::this_thread::sleep_for(length);
        const std::lock_guard lock(mutex_);
        finish_step(prefill);
        changed_.notify_all();
    }
}

/// Admits waiting streams by priority as far as memory and slots allow. Returns the
/// batch: the active streams in order of prefill.
std::vector<std::shared_ptr<engine_job>> engine::admit()
{
    std::vector<std::shared_ptr<engine_job>> order;
    for (const auto& [id, job] : jobs_)
    {
        order.push_back(job);
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
        return std::pair(-a->priority, a->arrival) < std::pair(-b->priority, b->arrival);
    });
    std::size_t running = 0;
    std::vector<std::shared_ptr<engine_job>> batch;
    for (const auto& job : order)
    {
        const auto needed = job->memory();
        if (!job->admitted && running < options_.slots &&
            memory_used_ + needed <= options_.memory_tokens)
        {
            job->admitted = true;
            memory_used_ += needed;
        }
        if (job->admitted && job->active())
        {
            ++running;
            batch.push_back(job);
        }
    }
    return batch;
}

microseconds
engine::plan_step(std::vector<std::shared_ptr<engine_job>>& batch,
                  std::unordered_map<const engine_job*, std::uint64_t>& prefill)
{
    auto budget = options_.step_tokens;
    std::uint64_t planned_tokens = 0;
    std::int64_t generating = 0;
    for (const auto& job : batch)
    {
        if (job->prefill_remaining == 0)
        {
            ++generating;
            continue;
        }
        if (job->poisonous)
        {
            ::_exit(3);
        }
        const auto chunk = std::min(budget, job->prefill_remaining);
        prefill[job.get()] = chunk;
        budget -= chunk;
        planned_tokens += chunk;
    }
    const auto compute = static_cast<std::int64_t>(
        1e6 * static_cast<double>(planned_tokens) / options_.prefill_rate);
    const auto length = options_.step_base + options_.step_per_stream * generating +
                        microseconds{compute};
    return microseconds{static_cast<std::int64_t>(static_cast<double>(length.count()) *
                                                  slowdown_factor_)};
}

void engine::finish_step(
    const std::unordered_map<const engine_job*, std::uint64_t>& prefill)
{
    for (const auto& [id, job] : jobs_)
    {
        if (!job->admitted || !job->active())
        {
            continue;
        }
        if (const auto it = prefill.find(job.get()); it != prefill.end())
        {
            job->prefill_remaining -= it->second;
            if (job->prefill_remaining > 0 || it->second == 0)
            {
                continue;
            }
        }
        if (!job->reservation && job->kv_imported)
        {
            ++job->next_offset;
        }
    }
}

/// Returns the length of the cached prompt prefix, in tokens, and adds the remaining
/// full blocks to the cache.
std::uint64_t engine::cached_tokens(std::string_view prompt)
{
    std::uint64_t cached_prefix_blocks = 0;
    std::uint64_t hash = 0;
    bool prefix_cached = true;
    for (std::size_t i = 0; i + block_bytes < prompt.size(); i += block_bytes)
    {
        hash = XXH3_64bits_withSeed(prompt.data() + i, block_bytes, hash);
        prefix_cached = prefix_cached && cache_.contains(hash);
        cached_prefix_blocks += prefix_cached ? 1 : 0;
        cache_[hash] = ++logical_clock_;
    }
    while (cache_.size() > options_.cached_blocks)
    {
        cache_.erase(std::min_element(cache_.begin(), cache_.end(), [](auto& a, auto& b) {
            return a.second < b.second;
        }));
    }
    cached_tokens_used_ += cached_prefix_blocks * 1'000;
    return cached_prefix_blocks * 1'000;
}

} // namespace pistachiopost::standins
