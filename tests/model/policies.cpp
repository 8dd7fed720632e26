#include "model/policies.hpp"

#include "request/length_class.hpp"

#include <algorithm>
#include <poll.h>

namespace pistachiopost::model {

namespace {

constexpr std::string_view service_name = "model";
// Tokens per event of an answer, as in the platform's data sheets.
constexpr std::uint64_t tokens_per_event = 43;
constexpr std::size_t zone_count = 3;

backend_record make_record(std::size_t i, const engine_cost_model& parameters)
{
    backend_record it;
    it.id = engine_name(i);
    it.service = service_name;
    it.zone = std::to_string(i % zone_count);
    it.slots = parameters.slots;
    it.start_time_ms = 1;
    return it;
}

bool is_readable(int fd)
{
    pollfd it{fd, POLLIN, 0};
    return poll(&it, 1, 0) == 1;
}

milliseconds to_milliseconds(double ms)
{
    return milliseconds{static_cast<milliseconds::rep>(ms)};
}

} // namespace

std::string engine_name(std::size_t i)
{
    return "engine-" + std::to_string(i);
}

std::size_t engine_number(std::string_view name)
{
    return std::stoul(std::string(name.substr(name.find('-') + 1)));
}

product_policy::product_policy(const engine_cost_model& parameters, std::size_t engines,
                               std::size_t gateways)
    : parameters_(parameters)
{
    for (std::size_t i = 0; i < gateways; ++i)
    {
        auto& it = gateways_.emplace_back(std::to_string(i % zone_count));
        it.update_registry(time_point(), [&](backend_registry& registry) {
            for (std::size_t n = 0; n < engines; ++n)
            {
                registry.upsert(make_record(n, parameters), time_point());
            }
        });
    }
}

void product_policy::on_arrival(std::size_t number, const arrival& prompt, time_point now)
{
    const auto& kind = prompt_kinds()[prompt.kind];
    auto& it = requests_[number];
    it.gateway = prompt.gateway;
    it.customer = std::to_string(prompt.customer);
    it.criteria.service = service_name;
    it.criteria.engine = &parameters_;
    it.criteria.tightest_gap = to_milliseconds(prompt_kinds().front().gap_target_ms);
    it.criteria.prompt_tokens = prompt.tokens;
    it.criteria.output_tokens = kind.events * tokens_per_event;
    auto& gateway = gateways_[it.gateway];
    if (auto place = gateway.try_place(it.customer, it.criteria, now))
    {
        it.place = place;
        placed_.emplace_back(number, *place);
        return;
    }
    route target;
    target.kind = call_kind::stream;
    target.latency_target = to_milliseconds(kind.first_event_target_ms);
    target.event_gap_target = to_milliseconds(kind.gap_target_ms);
    // Callers of this model leave without being rejected.
    const caller_deadlines deadlines{now + target.caller_timeout(), time_point::max(),
                                     true};
    it.waiter = std::make_unique<queued_request>(it.customer, it.criteria, now,
                                                 now + target.latency_target, deadlines);
    gateway.enqueue(*it.waiter, now);
}

std::vector<placed_request> product_policy::take_placed(time_point now)
{
    for (auto& [number, it] : requests_)
    {
        // A wake may also announce an earlier recheck time.
        if (it.waiter && is_readable(it.waiter->wake().get()) &&
            gateways_[it.gateway].serve(*it.waiter, now))
        {
            it.place = gateways_[it.gateway].dequeue(*it.waiter, now);
            it.waiter.reset();
            placed_.emplace_back(number, *it.place);
        }
    }
    return std::exchange(placed_, {});
}

void product_policy::on_first_event(std::size_t number, time_point now)
{
    auto& it = requests_.at(number);
    if (!std::exchange(it.prompt_read, true))
    {
        gateways_[it.gateway].prefill_done(*it.place, now);
    }
}

void product_policy::on_finish(std::size_t number, time_point now)
{
    on_first_event(number, now);
    const auto found = requests_.find(number);
    gateways_[found->second.gateway].release(*found->second.place, now);
    requests_.erase(found);
}

void product_policy::on_departure(std::size_t number, time_point now)
{
    auto& it = requests_.at(number);
    if (it.waiter)
    {
        it.place = gateways_[it.gateway].dequeue(*it.waiter, now);
    }
    if (it.place)
    {
        on_finish(number, now);
        return;
    }
    requests_.erase(number);
}

void product_policy::exchange_load_reports(time_point now)
{
    ++reports_sent_;
    for (std::size_t i = 0; i < gateways_.size(); ++i)
    {
        auto message = gateways_[i].report(now);
        message.gateway = std::to_string(i);
        message.boot = 1;
        message.sequence = reports_sent_;
        for (std::size_t to = 0; to < gateways_.size(); ++to)
        {
            if (to != i)
            {
                gateways_[to].apply_report(message, now);
            }
        }
    }
}

void fifo_policy::on_arrival(std::size_t number, const arrival& prompt,
                             time_point /*now*/)
{
    queue_.push_back({number, prompt.tokens});
    dispatch_queued();
}

void fifo_policy::on_finish(std::size_t number, time_point /*now*/)
{
    const auto it = engine_of_.find(number);
    --running_[it->second];
    engine_of_.erase(it);
    dispatch_queued();
}

void fifo_policy::on_departure(std::size_t number, time_point now)
{
    if (engine_of_.contains(number))
    {
        on_finish(number, now);
        return;
    }
    std::erase_if(queue_, [&](const auto& it) { return it.number == number; });
}

void fifo_policy::dispatch_queued()
{
    while (!queue_.empty())
    {
        const auto engine = select_engine();
        if (!engine)
        {
            return;
        }
        const auto it = queue_.front();
        queue_.pop_front();
        ++running_[*engine];
        engine_of_[it.number] = *engine;
        placement place;
        place.main.backend = make_record(*engine, parameters_);
        place.main.work.memory_tokens = it.tokens;
        placed_.emplace_back(it.number, place);
    }
}

std::optional<std::size_t> fifo_policy::select_engine()
{
    const auto has_slot = [&](std::size_t i) { return running_[i] < parameters_.slots; };
    if (selection_ == engine_selection::least_loaded)
    {
        const auto it = std::min_element(running_.begin(), running_.end());
        const auto i = static_cast<std::size_t>(it - running_.begin());
        return has_slot(i) ? std::optional(i) : std::nullopt;
    }
    for (std::size_t tried = 0; tried < running_.size(); ++tried)
    {
        const auto i = next_engine_++ % running_.size();
        if (has_slot(i))
        {
            return i;
        }
    }
    return std::nullopt;
}

} // namespace pistachiopost::model
