#include "model/policies.hpp"

#include "request/length_class.hpp"

#include <algorithm>
#include <poll.h>

namespace pistachiopost::model {

namespace {

constexpr std::string_view service_name = "model";
// Tokens per event of an answer, as in the platform's data sheets.
constexpr std::uint64_t event_tokens = 43;
constexpr std::size_t zones = 3;

backend_record record_of(std::size_t i, const engine_model& sheet)
{
    backend_record it;
    it.id = engine_name(i);
    it.service = service_name;
    it.zone = std::to_string(i % zones);
    it.slots = sheet.slots;
    it.born_ms = 1;
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

product_policy::product_policy(const engine_model& sheet, std::size_t engines,
                               std::size_t gateways)
    : sheet_(sheet)
{
    for (std::size_t i = 0; i < gateways; ++i)
    {
        auto& it = gateways_.emplace_back(std::to_string(i % zones));
        it.change_roster(time_point(), [&](backend_roster& roster) {
            for (std::size_t n = 0; n < engines; ++n)
            {
                roster.put(record_of(n, sheet), time_point());
            }
        });
    }
}

void product_policy::arrive(std::size_t number, const arrival& what, time_point now)
{
    const auto& kind = prompt_kinds()[what.kind];
    auto& it = requests_[number];
    it.gateway = what.gateway;
    it.customer = std::to_string(what.customer);
    it.wanted.service = service_name;
    it.wanted.engine = &sheet_;
    it.wanted.tightest_gap = to_milliseconds(prompt_kinds().front().pause_ms);
    it.wanted.prompt_tokens = what.tokens;
    it.wanted.output_tokens = kind.events * event_tokens;
    auto& gateway = gateways_[it.gateway];
    if (auto place = gateway.try_take(it.customer, it.wanted, now))
    {
        it.place = place;
        placed_.emplace_back(number, *place);
        return;
    }
    constexpr double urgent_share = 0.2; // same as in the product's gateway
    route way;
    way.kind = call_kind::stream;
    way.latency_target = to_milliseconds(kind.target_ms);
    way.event_gap_target = to_milliseconds(kind.pause_ms);
    const auto urgent = to_milliseconds(
        static_cast<double>(way.caller_patience().count()) * urgent_share);
    it.waiter = std::make_unique<place_waiter>(it.customer, it.wanted, now,
                                               now + way.latency_target, now + urgent);
    gateway.wait(*it.waiter, now);
}

std::vector<placed_request> product_policy::take_placed(time_point now)
{
    for (auto& [number, it] : requests_)
    {
        if (it.waiter && is_readable(it.waiter->wake().get()))
        {
            it.place = gateways_[it.gateway].leave(*it.waiter, now);
            it.waiter.reset();
            placed_.emplace_back(number, *it.place);
        }
    }
    return std::exchange(placed_, {});
}

void product_policy::first_event(std::size_t number, time_point now)
{
    auto& it = requests_.at(number);
    if (!std::exchange(it.read, true))
    {
        gateways_[it.gateway].reading_done(*it.place, now);
    }
}

void product_policy::finish(std::size_t number, time_point now)
{
    first_event(number, now);
    const auto found = requests_.find(number);
    gateways_[found->second.gateway].release(*found->second.place, now);
    requests_.erase(found);
}

void product_policy::leave(std::size_t number, time_point now)
{
    auto& it = requests_.at(number);
    if (it.waiter)
    {
        it.place = gateways_[it.gateway].leave(*it.waiter, now);
    }
    if (it.place)
    {
        finish(number, now);
        return;
    }
    requests_.erase(number);
}

void product_policy::tell_peers(time_point now)
{
    ++told_;
    for (std::size_t i = 0; i < gateways_.size(); ++i)
    {
        auto message = gateways_[i].report(now);
        message.gateway = std::to_string(i);
        message.boot = 1;
        message.count = told_;
        for (std::size_t to = 0; to < gateways_.size(); ++to)
        {
            if (to != i)
            {
                gateways_[to].hear(message, now);
            }
        }
    }
}

void fifo_policy::arrive(std::size_t number, const arrival& what, time_point /*now*/)
{
    line_.push_back({number, what.tokens});
    serve_line();
}

void fifo_policy::finish(std::size_t number, time_point /*now*/)
{
    const auto it = engine_of_.find(number);
    --running_[it->second];
    engine_of_.erase(it);
    serve_line();
}

void fifo_policy::leave(std::size_t number, time_point now)
{
    if (engine_of_.contains(number))
    {
        finish(number, now);
        return;
    }
    std::erase_if(line_, [&](const auto& it) { return it.number == number; });
}

void fifo_policy::serve_line()
{
    while (!line_.empty())
    {
        const auto engine = choose();
        if (!engine)
        {
            return;
        }
        const auto it = line_.front();
        line_.pop_front();
        ++running_[*engine];
        engine_of_[it.number] = *engine;
        placement place;
        place.main.backend = record_of(*engine, sheet_);
        place.main.work.memory_tokens = it.tokens;
        placed_.emplace_back(it.number, place);
    }
}

std::optional<std::size_t> fifo_policy::choose()
{
    const auto has_slot = [&](std::size_t i) { return running_[i] < sheet_.slots; };
    if (choice_ == simple_choice::least_loaded)
    {
        const auto it = std::min_element(running_.begin(), running_.end());
        const auto i = static_cast<std::size_t>(it - running_.begin());
        return has_slot(i) ? std::optional(i) : std::nullopt;
    }
    for (std::size_t tried = 0; tried < running_.size(); ++tried)
    {
        const auto i = next_++ % running_.size();
        if (has_slot(i))
        {
            return i;
        }
    }
    return std::nullopt;
}

} // namespace pistachiopost::model
