#include "model/overload_model.hpp"

#include <algorithm>
#include <poll.h>
#include <xxhash.h>

namespace pistachiopost::model {

namespace {

constexpr std::size_t zone_count = 3;
constexpr std::uint64_t tokens_per_event = 38;
constexpr model_ms report_interval = 50;    // as in the product, while the load changes
constexpr model_ms link_ms = 3;             // one-way, between availability zones
constexpr model_ms failure_notice_ms = 200; // until all gateways know of a lost engine

std::string engine_name(std::size_t i)
{
    return "engine-" + std::to_string(i);
}

backend_record make_record(std::size_t i, const engine_cost_model& parameters,
                           std::int64_t incarnation, bool leaving)
{
    backend_record it;
    it.id = engine_name(i);
    it.service = service_name;
    it.zone = std::to_string(i % zone_count);
    it.slots = parameters.slots;
    it.start_time_ms = incarnation;
    it.leaving = leaving;
    return it;
}

milliseconds to_milliseconds(double ms)
{
    return milliseconds{static_cast<milliseconds::rep>(ms)};
}

} // namespace

overload_model::overload_model(const overload_scene& scene)
    : scene_(scene), calls_(make_calls(scene)), states_(calls_.size()),
      large_from_(overload_kinds().size()), incarnations_(scene.engines, 1),
      busy_(scene.engines, false), lost_(scene.engines, false), running_(scene.engines),
      unfinished_(calls_.size())
{
    result_.kinds.resize(overload_kinds().size());
    for (std::size_t i = 0; i < overload_kinds().size(); ++i)
    {
        std::vector<std::uint64_t> lengths;
        for (const auto& it : calls_)
        {
            if (it.kind == i)
            {
                lengths.push_back(it.tokens);
            }
        }
        std::sort(lengths.begin(), lengths.end());
        large_from_[i] = lengths.empty() ? 0 : lengths[lengths.size() * 9 / 10];
    }
    for (const auto& it : calls_)
    {
        by_customer_.resize(std::max(by_customer_.size(), it.customer + 1));
    }
    for (std::size_t i = 0; i < scene.engines; ++i)
    {
        engines_.push_back(std::make_unique<engine>(parameters_));
    }
    for (std::size_t i = 0; i < scene.gateways; ++i)
    {
        auto& it = gateways_.emplace_back(std::to_string(i % zone_count),
                                          "g-" + std::to_string(i));
        it.update_registry(at(0), [&](backend_registry& registry) {
            for (std::size_t n = 0; n < scene.engines; ++n)
            {
                registry.upsert(make_record(n, parameters_, 1, false), at(0));
            }
        });
    }
}

overload_result overload_model::run()
{
    for (std::size_t i = 0; i < calls_.size(); ++i)
    {
        const auto& it = calls_[i];
        schedule(it.time, [this, i] { begin_try(i); });
        schedule(deadline(i), [this, i] { end(i, call_outcome::failed); });
        if (it.leaves_at > 0)
        {
            schedule(it.leaves_at, [this, i] { end(i, call_outcome::left); });
        }
    }
    for (const auto& it : scene_.losses)
    {
        for (auto n = it.first; n < it.first + it.count; ++n)
        {
            schedule(it.from, [this, n, until = it.until] { lose(n, until); });
        }
    }
    schedule(0, [this] { exchange_reports(); });
    while (!events_.empty() && unfinished_ > 0)
    {
        auto it = std::move(const_cast<scheduled_event&>(events_.top()));
        events_.pop();
        now_ = it.when;
        it.action();
        handle_wakes();
    }
    for (const auto& [served, all] : by_customer_)
    {
        if (all > 0)
        {
            result_.worst_customer_share =
                std::min(result_.worst_customer_share,
                         static_cast<double>(served) / static_cast<double>(all));
        }
    }
    return std::move(result_);
}

void overload_model::schedule(model_ms when, std::function<void()> action)
{
    events_.push({when, order_++, std::move(action)});
}

time_point overload_model::at(model_ms when) const
{
    // Not at the epoch, which stands for "never" in the product.
    return time_point(std::chrono::hours{1}) +
           std::chrono::duration_cast<steady::duration>(
               std::chrono::duration<double, std::milli>(when));
}

const overload_kind& overload_model::kind_of(std::size_t call) const
{
    return overload_kinds()[calls_[call].kind];
}

model_ms overload_model::deadline(std::size_t call) const
{
    return calls_[call].time + kind_of(call).deadline_ms;
}

void overload_model::exchange_reports()
{
    ++reports_;
    for (std::size_t i = 0; i < gateways_.size(); ++i)
    {
        auto message = gateways_[i].report(at(now_));
        message.gateway = "g-" + std::to_string(i);
        message.boot = 1;
        message.sequence = reports_;
        for (std::size_t to = 0; to < gateways_.size(); ++to)
        {
            if (to != i)
            {
                gateways_[to].apply_report(message, at(now_));
            }
        }
    }
    schedule(now_ + report_interval, [this] { exchange_reports(); });
}

void overload_model::begin_try(std::size_t call)
{
    auto& state = states_[call];
    if (state.ended)
    {
        return;
    }
    const auto& kind = kind_of(call);
    auto it = std::make_shared<attempt>();
    it->call = call;
    const std::array<std::uint64_t, 2> key{call, state.tries++};
    it->gateway = XXH3_64bits(key.data(), sizeof key) % gateways_.size();
    it->arrived = now_;
    it->customer = std::to_string(calls_[call].customer);
    it->criteria.service = service_name;
    it->criteria.priority = kind.priority;
    it->criteria.engine = &parameters_;
    it->criteria.tightest_gap = to_milliseconds(overload_kinds().front().gap_target_ms);
    it->criteria.prompt_tokens = calls_[call].tokens;
    it->criteria.output_tokens = kind.events * tokens_per_event;
    it->criteria.spread = XXH3_64bits(key.data(), sizeof key);
    state.current = it;
    schedule(now_ + patience_ms(kind), [this, it] { expire(it, call_outcome::failed); });
    enqueue(it);
}

void overload_model::enqueue(const std::shared_ptr<attempt>& it)
{
    auto& gateway = gateways_[it->gateway];
    if (auto place = gateway.try_place(it->customer, it->criteria, at(now_)))
    {
        it->place = std::move(place);
        start(it);
        return;
    }
    const auto& kind = kind_of(it->call);
    const auto arrived = at(it->arrived);
    const caller_deadlines deadlines{arrived + to_milliseconds(patience_ms(kind)),
                                     at(deadline(it->call)),
                                     states_[it->call].first_event >= 0};
    it->queued = std::make_unique<queued_request>(
        it->customer, it->criteria, arrived,
        arrived + to_milliseconds(kind.first_event_target_ms), deadlines);
    waiting_.push_back(it);
    gateway.enqueue(*it->queued, at(now_));
    recheck(it);
}

/// Serves a queued request at its recheck time.
void overload_model::recheck(const std::shared_ptr<attempt>& it)
{
    if (!it->queued)
    {
        return;
    }
    const auto due = gateways_[it->gateway].recheck_time(*it->queued);
    if (due == time_point::max())
    {
        return;
    }
    const std::chrono::duration<double, std::milli> left = due - at(now_);
    schedule(now_ + std::max(left.count(), 0.0), [this, it] {
        if (it->queued)
        {
            gateways_[it->gateway].serve(*it->queued, at(now_));
        }
    });
}

void overload_model::handle_wakes()
{
    std::vector<pollfd> entries;
    std::vector<std::shared_ptr<attempt>> list;
    std::erase_if(waiting_, [](const auto& it) { return !it->queued; });
    for (const auto& it : waiting_)
    {
        entries.push_back({it->queued->wake().get(), POLLIN, 0});
        list.push_back(it);
    }
    if (entries.empty() || poll(entries.data(), entries.size(), 0) <= 0)
    {
        return;
    }
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        const auto& it = list[i];
        if ((entries[i].revents & POLLIN) == 0 || !it->queued)
        {
            continue;
        }
        auto& gateway = gateways_[it->gateway];
        if (!gateway.serve(*it->queued, at(now_)))
        {
            if (gateway.rejection(*it->queued))
            {
                reject(it);
                continue;
            }
            recheck(it);
            continue;
        }
        it->place = gateway.dequeue(*it->queued, at(now_));
        it->queued.reset();
        start(it);
    }
}

void overload_model::start(const std::shared_ptr<attempt>& it)
{
    auto& state = states_[it->call];
    const auto& kind = kind_of(it->call);
    const auto& place = *it->place;
    const bool is_long = is_long_prefill(it->criteria);
    long_prefills_ += is_long ? 1 : 0;
    const auto latest_event =
        std::min(it->arrived + patience_ms(kind), deadline(it->call));
    result_.futile_starts +=
        is_long && state.first_event < 0 && now_ + place.first_event_ms > latest_event
            ? 1
            : 0;
    const bool after_target = now_ - it->arrived > kind.first_event_target_ms;
    result_.short_after_target += !is_long && after_target && long_prefills_ > 0 ? 1 : 0;
    std::vector<std::size_t> numbers{engine_number(place.main.backend.id)};
    for (const auto& one : place.helpers)
    {
        numbers.push_back(engine_number(one.backend.id));
    }
    const auto gone = std::find_if(numbers.begin(), numbers.end(),
                                   [this](std::size_t n) { return lost_[n]; });
    if (gone != numbers.end())
    {
        release(it);
        gateways_[it->gateway].update_registry(at(now_), [&](auto& registry) {
            registry.record_failure(engine_name(*gone), at(now_));
        });
        schedule(now_ + 2 * link_ms, [this, it] {
            if (!states_[it->call].ended)
            {
                enqueue(it);
            }
        });
        return;
    }
    auto work = std::make_shared<job>();
    work->prompt_tokens = calls_[it->call].tokens;
    work->output_tokens = kind.events * tokens_per_event;
    work->reserved_tokens = place.main.work.memory_tokens;
    work->pending_parts = numbers.size();
    work->on_event = [this, it](model_ms when) {
        schedule(when + link_ms, [this, it] { on_event(it); });
    };
    work->on_done = [this, it](model_ms when) {
        schedule(when + link_ms, [this, it] { on_done(it); });
    };
    it->work = work;
    schedule(now_ + link_ms, [this, it, numbers, work] {
        if (work->cancelled)
        {
            return;
        }
        const auto tokens = static_cast<double>(work->prompt_tokens);
        const double pairs = parameters_.prefill_ms(work->prompt_tokens) -
                             tokens / parameters_.prefill_tokens_per_ms;
        const auto parts = static_cast<double>(numbers.size());
        engines_[numbers.front()]->add(work);
        for (const auto n : numbers)
        {
            running_[n].push_back(it);
            assign_part(n, work, tokens / parts, pairs / parts, n != numbers.front());
        }
    });
}

void overload_model::assign_part(std::size_t number, const std::shared_ptr<job>& work,
                                 double tokens, double pairs, bool helper)
{
    engines_[number]->add_prompt_part(work, static_cast<std::uint64_t>(tokens), pairs,
                                      helper);
    wake_engine(number);
}

void overload_model::wake_engine(std::size_t number)
{
    if (!busy_[number] && !lost_[number])
    {
        busy_[number] = true;
        next_pass(number, incarnations_[number]);
    }
}

void overload_model::next_pass(std::size_t number, std::uint64_t incarnation)
{
    if (incarnation != incarnations_[number])
    {
        return;
    }
    const auto length = engines_[number]->run_pass(now_);
    if (length == 0)
    {
        busy_[number] = false;
        return;
    }
    schedule(now_ + length,
             [this, number, incarnation] { next_pass(number, incarnation); });
}

/// Loses an engine with all that it runs; it returns empty.
void overload_model::lose(std::size_t number, model_ms until)
{
    lost_[number] = true;
    busy_[number] = false;
    ++incarnations_[number];
    engines_[number] = std::make_unique<engine>(parameters_);
    const auto affected = std::exchange(running_[number], {});
    for (const auto& one : affected)
    {
        const auto it = one.lock();
        if (!it || !it->work || states_[it->call].ended)
        {
            continue;
        }
        auto& state = states_[it->call];
        release(it);
        const bool may_repeat = state.first_event < 0 || kind_of(it->call).resumable;
        if (!may_repeat || std::exchange(state.repeated, true))
        {
            end(it->call, call_outcome::failed);
            continue;
        }
        gateways_[it->gateway].update_registry(at(now_), [&](auto& registry) {
            registry.record_failure(engine_name(number), at(now_));
        });
        enqueue(it);
    }
    const auto announce = [this, number](bool leaving) {
        for (auto& it : gateways_)
        {
            it.update_registry(at(now_), [&](auto& registry) {
                registry.upsert(
                    make_record(number, parameters_,
                                static_cast<std::int64_t>(incarnations_[number]),
                                leaving),
                    at(now_));
            });
        }
    };
    schedule(now_ + failure_notice_ms, [announce] { announce(true); });
    schedule(until, [this, number, announce] {
        ++incarnations_[number];
        lost_[number] = false;
        announce(false);
    });
}

} // namespace pistachiopost::model
