#include "process/fair_queue.hpp"

#include <algorithm>

namespace pistachiopost {

namespace {

constexpr std::size_t remembered_customers = 1'024; // idle customers kept before pruning
constexpr milliseconds patience{300}; // before memory is kept free for a huge prompt

std::size_t index(length_class which)
{
    return static_cast<std::size_t>(which);
}

} // namespace

fair_queue::fair_queue(const dispatch_limits& limits) : window_(limits) {}

std::optional<refusal> fair_queue::refuses(const queue_ticket& ticket,
                                           time_point now) const
{
    if (auto why = refuse_if_oversized(window_, queued_, ticket))
    {
        return why;
    }
    if (ticket.reserved_tokens > 0)
    {
        return std::nullopt; // it needs memory, not the time of this engine
    }
    return refuse_if_late(window_, ahead_of(ticket, now), ticket, now);
}

void fair_queue::push(const queue_ticket& ticket, time_point now)
{
    arrivals_.add(ticket.size_class(), ticket.prompt_tokens, now);
    if (queued_ == 0)
    {
        customers_.clear();
        floor_ = 0;
    }
    forget_settled_customers();
    auto [it, is_new] = customers_.try_emplace(ticket.customer);
    auto& customer = it->second;
    if (customer.waiting == 0)
    {
        customer.served = std::max(customer.served, lowest_counter());
    }
    const auto which = index(ticket.size_class());
    customer.queues[which].push_back(ticket);
    customer.queues[which].back().queued_at = now;
    customer.queued_tokens[which] += ticket.prompt_tokens;
    ++customer.waiting;
    ++queued_;
    owners_.emplace(ticket.id, ticket.customer);
}

std::optional<ticket_id> fair_queue::take(time_point now)
{
    const auto impatient = impatient_memory(now);
    for (std::size_t which = 0; which < length_class_count; ++which)
    {
        const auto kept = which < index(length_class::huge) ? impatient : 0;
        const auto it = next_customer(which, kept);
        if (it == customers_.end())
        {
            continue;
        }
        const auto ticket = it->second.queues[which].front();
        floor_ = std::max(floor_, it->second.served);
        it->second.served +=
            static_cast<double>(ticket.cost()) / std::max(ticket.weight, 1U);
        remove_front(it, which);
        window_.start(ticket, now);
        return ticket.id;
    }
    return std::nullopt;
}

bool fair_queue::erase(ticket_id id)
{
    const auto owner = owners_.find(id);
    if (owner == owners_.end())
    {
        return false;
    }
    auto& customer = customers_.find(owner->second)->second;
    for (std::size_t which = 0; which < length_class_count; ++which)
    {
        auto& queue = customer.queues[which];
        const auto it =
            std::find_if(queue.begin(), queue.end(),
                         [id](const queue_ticket& ticket) { return ticket.id == id; });
        if (it != queue.end())
        {
            customer.queued_tokens[which] -= it->prompt_tokens;
            queue.erase(it);
            --customer.waiting;
            --queued_;
            break;
        }
    }
    owners_.erase(owner);
    return true;
}

std::vector<ticket_id> fair_queue::expired(time_point now)
{
    std::vector<ticket_id> late;
    for (const auto& [name, customer] : customers_)
    {
        for (const auto& queue : customer.queues)
        {
            for (const auto& ticket : queue)
            {
                if (latest_start(ticket, now) <= now)
                {
                    late.push_back(ticket.id);
                }
            }
        }
    }
    for (const auto id : late)
    {
        erase(id);
    }
    return late;
}

std::optional<time_point> fair_queue::next_expiry(time_point now) const
{
    std::optional<time_point> earliest;
    for (const auto& [name, customer] : customers_)
    {
        for (const auto& queue : customer.queues)
        {
            for (const auto& ticket : queue)
            {
                const auto expiry = latest_start(ticket, now);
                earliest = std::min(earliest.value_or(expiry), expiry);
            }
        }
    }
    return earliest;
}

time_point fair_queue::latest_start(const queue_ticket& ticket, time_point now) const
{
    return window_.latest_start(ticket, busy_share(ticket, now));
}

/// Returns the share of the engine's time that shorter prompts take.
double fair_queue::busy_share(const queue_ticket& ticket, time_point now) const
{
    return arrivals_.rate_below(ticket.size_class(), now) / window_.prefill_rate();
}

work_ahead fair_queue::ahead_of_newcomer(length_class which, time_point now) const
{
    queue_ticket newcomer;
    newcomer.prompt_tokens = which == length_class::brief    ? 1'000
                             : which == length_class::medium ? 4'000
                             : which == length_class::large  ? 32'000
                                                             : 100'000;
    return ahead_of(newcomer, now);
}

/// A newcomer is served after running prefill, its customer's own queue, and at
/// most as much of each other customer's queue as its own customer will have had.
work_ahead fair_queue::ahead_of(const queue_ticket& ticket, time_point now) const
{
    const auto which = index(ticket.size_class());
    std::uint64_t own = ticket.prompt_tokens;
    if (const auto it = customers_.find(ticket.customer); it != customers_.end())
    {
        own += it->second.queued_tokens[which];
    }
    work_ahead ahead{window_.unfinished_prefill(ticket.size_class()), 0,
                     arrivals_.rate_below(ticket.size_class(), now) /
                         window_.prefill_rate()};
    ahead.prefill_tokens += own - ticket.prompt_tokens;
    for (const auto& [name, customer] : customers_)
    {
        const bool is_own = name == ticket.customer;
        for (std::size_t shorter = 0; shorter <= which; ++shorter)
        {
            const auto tokens = customer.queued_tokens[shorter];
            ahead.attempts += static_cast<std::uint32_t>(customer.queues[shorter].size());
            if (shorter < which)
            {
                ahead.prefill_tokens += tokens;
            }
            else if (!is_own)
            {
                ahead.prefill_tokens += std::min(tokens, own);
            }
        }
    }
    return ahead;
}

double fair_queue::lowest_counter() const
{
    double lowest = floor_;
    bool found = false;
    for (const auto& [name, customer] : customers_)
    {
        if (customer.waiting > 0 && (!found || customer.served < lowest))
        {
            lowest = customer.served;
            found = true;
        }
    }
    return lowest;
}

/// Returns the memory of the longest-waiting huge prompt if it has waited long: it
/// is then kept free, so that a stream of smaller prompts cannot starve it.
std::uint64_t fair_queue::impatient_memory(time_point now) const
{
    const queue_ticket* oldest = nullptr;
    for (const auto& [name, customer] : customers_)
    {
        const auto& queue = customer.queues[index(length_class::huge)];
        if (!queue.empty() &&
            (oldest == nullptr || queue.front().queued_at < oldest->queued_at))
        {
            oldest = &queue.front();
        }
    }
    const bool waits_long = oldest != nullptr && now - oldest->queued_at > patience;
    return waits_long ? oldest->memory() : 0;
}

fair_queue::customer_map::iterator fair_queue::next_customer(std::size_t which,
                                                             std::uint64_t kept)
{
    auto best = customers_.end();
    for (auto it = customers_.begin(); it != customers_.end(); ++it)
    {
        const auto& queue = it->second.queues[which];
        if (queue.empty() || !window_.fits(queue.front(), kept))
        {
            continue;
        }
        if (best == customers_.end() || it->second.served < best->second.served)
        {
            best = it;
        }
    }
    return best;
}

void fair_queue::remove_front(customer_map::iterator customer, std::size_t which)
{
    auto& state = customer->second;
    const auto& ticket = state.queues[which].front();
    state.queued_tokens[which] -= ticket.prompt_tokens;
    owners_.erase(ticket.id);
    state.queues[which].pop_front();
    --state.waiting;
    --queued_;
}

/// Drops idle customers whose counter no longer sets them back.
void fair_queue::forget_settled_customers()
{
    if (customers_.size() < remembered_customers)
    {
        return;
    }
    const auto lowest = lowest_counter();
    std::erase_if(customers_, [lowest](const auto& it) {
        return it.second.waiting == 0 && it.second.served <= lowest;
    });
}

} // namespace pistachiopost
