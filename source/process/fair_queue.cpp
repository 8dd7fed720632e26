#include "process/fair_queue.hpp"

#include <algorithm>
#include <numeric>

namespace pistachiopost {

namespace {

constexpr std::size_t prune_threshold = 1'024;    // customers, idle ones included
constexpr milliseconds starvation_threshold{300}; // wait after which memory is reserved
constexpr double max_shorter_lead = 200'000;      // tokens per unit of weight

std::size_t index(length_class prompt_class)
{
    return static_cast<std::size_t>(prompt_class);
}

} // namespace

fair_queue::fair_queue(const dispatch_limits& limits) : window_(limits) {}

std::optional<refusal> fair_queue::check_admission(const queue_ticket& ticket,
                                                   time_point now) const
{
    if (auto why = refuse_if_oversized(window_, queued_, ticket))
    {
        return why;
    }
    if (ticket.reserved_tokens > 0)
    {
        return std::nullopt; // a reservation needs memory but no prefill
    }
    return refuse_if_late(window_, ahead_of(ticket, now), ticket, now);
}

void fair_queue::push(const queue_ticket& ticket, time_point now)
{
    arrivals_.add(ticket.size_class(), ticket.prompt_tokens, now);
    if (queued_ == 0)
    {
        customers_.clear();
        virtual_time_ = 0;
    }
    prune_idle_customers();
    auto [it, is_new] = customers_.try_emplace(ticket.customer);
    auto& customer = it->second;
    customer.weight = std::max(ticket.weight, 1U);
    if (customer.waiting == 0)
    {
        customer.served = std::max(customer.served, lowest_counter());
    }
    const auto class_index = index(ticket.size_class());
    customer.queues[class_index].push_back(ticket);
    customer.queues[class_index].back().queued_at = now;
    customer.queued_tokens[class_index] += ticket.prompt_tokens;
    ++customer.waiting;
    ++queued_;
    customer_of_.emplace(ticket.id, ticket.customer);
}

std::optional<ticket_id> fair_queue::take(time_point now)
{
    const auto starvation_memory = starvation_reserve(now);
    for (std::size_t class_index = 0; class_index < length_class_count; ++class_index)
    {
        const auto reserve =
            class_index < index(length_class::huge) ? starvation_memory : 0;
        const auto it = next_customer(class_index, reserve);
        if (it == customers_.end() || must_yield(it->second, class_index))
        {
            continue;
        }
        const auto ticket = it->second.queues[class_index].front();
        virtual_time_ = std::max(virtual_time_, it->second.served);
        it->second.served +=
            static_cast<double>(ticket.cost()) / std::max(ticket.weight, 1U);
        remove_front(it, class_index);
        window_.start(ticket, now);
        return ticket.id;
    }
    return std::nullopt;
}

bool fair_queue::erase(ticket_id id)
{
    const auto found = customer_of_.find(id);
    if (found == customer_of_.end())
    {
        return false;
    }
    auto& customer = customers_.find(found->second)->second;
    for (std::size_t class_index = 0; class_index < length_class_count; ++class_index)
    {
        auto& queue = customer.queues[class_index];
        const auto it =
            std::find_if(queue.begin(), queue.end(),
                         [id](const queue_ticket& ticket) { return ticket.id == id; });
        if (it != queue.end())
        {
            customer.queued_tokens[class_index] -= it->prompt_tokens;
            queue.erase(it);
            --customer.waiting;
            --queued_;
            break;
        }
    }
    customer_of_.erase(found);
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

work_ahead fair_queue::ahead_of_new_customer(length_class prompt_class,
                                             time_point now) const
{
    queue_ticket probe;
    probe.prompt_tokens = prompt_class == length_class::brief    ? 1'000
                          : prompt_class == length_class::medium ? 4'000
                          : prompt_class == length_class::large  ? 32'000
                                                                 : 100'000;
    return ahead_of(probe, now);
}

/// Adds up the running prefill, the customer's own queue and, for each other customer,
/// the work that is served before its counter reaches that of the attempt.
work_ahead fair_queue::ahead_of(const queue_ticket& ticket, time_point now) const
{
    const auto class_index = index(ticket.size_class());
    const auto running = window_.unfinished_prefill(ticket.size_class());
    const auto* own = find_customer(ticket.customer);
    const auto own_tokens = own == nullptr ? 0 : queued_up_to(*own, class_index);
    const auto counter =
        own != nullptr && own->waiting > 0 ? own->served : lowest_counter();
    const auto weight = static_cast<double>(std::max(ticket.weight, 1U));
    const auto turn =
        counter + static_cast<double>(own_tokens + ticket.prompt_tokens) / weight;
    work_ahead ahead{running + own_tokens, 0, busy_share(ticket, now),
                     running + own_tokens};
    for (const auto& [name, customer] : customers_)
    {
        ahead.attempts += attempts_up_to(customer, class_index);
        if (&customer == own || customer.waiting == 0)
        {
            continue;
        }
        const auto passes = tokens_until(customer, turn);
        ahead.prefill_tokens += std::min(queued_up_to(customer, class_index), passes);
        ahead.max_tokens_ahead += tokens_until(customer, turn + max_shorter_lead);
    }
    return ahead;
}

const fair_queue::customer_state* fair_queue::find_customer(std::string_view name) const
{
    const auto it = customers_.find(name);
    return it == customers_.end() ? nullptr : &it->second;
}

std::uint64_t fair_queue::queued_up_to(const customer_state& it, std::size_t class_index)
{
    const auto end =
        it.queued_tokens.begin() + static_cast<std::ptrdiff_t>(class_index) + 1;
    return std::accumulate(it.queued_tokens.begin(), end, std::uint64_t{0});
}

std::uint32_t fair_queue::attempts_up_to(const customer_state& it,
                                         std::size_t class_index)
{
    std::size_t n = 0;
    for (std::size_t i = 0; i <= class_index; ++i)
    {
        n += it.queues[i].size();
    }
    return static_cast<std::uint32_t>(n);
}

/// Returns the work that brings the customer's counter to `counter`.
std::uint64_t fair_queue::tokens_until(const customer_state& it, double counter)
{
    const auto tokens = (counter - it.served) * it.weight;
    return tokens > 0 ? static_cast<std::uint64_t>(tokens) : 0;
}

double fair_queue::lowest_counter() const
{
    double lowest = virtual_time_;
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

/// Returns whether the customer leads one with longer prompts waiting by more than
/// max_shorter_lead. Prompts under 4,000 tokens never yield.
bool fair_queue::must_yield(const customer_state& customer, std::size_t class_index) const
{
    if (class_index == index(length_class::brief))
    {
        return false;
    }
    for (const auto& [name, other] : customers_)
    {
        for (auto longer = class_index + 1; longer < length_class_count; ++longer)
        {
            const bool waits = !other.queues[longer].empty();
            if (waits && other.served + max_shorter_lead < customer.served)
            {
                return true;
            }
        }
    }
    return false;
}

/// Returns the memory to reserve for the longest-waiting huge prompt, or 0 before the
/// starvation threshold. Without it, a stream of smaller prompts could starve the huge
/// one.
std::uint64_t fair_queue::starvation_reserve(time_point now) const
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
    const bool starving =
        oldest != nullptr && now - oldest->queued_at > starvation_threshold;
    return starving ? oldest->memory() : 0;
}

fair_queue::customer_map::iterator fair_queue::next_customer(std::size_t class_index,
                                                             std::uint64_t reserve)
{
    auto best = customers_.end();
    for (auto it = customers_.begin(); it != customers_.end(); ++it)
    {
        const auto& queue = it->second.queues[class_index];
        if (queue.empty() || !window_.fits(queue.front(), reserve))
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

void fair_queue::remove_front(customer_map::iterator customer, std::size_t class_index)
{
    auto& state = customer->second;
    const auto& ticket = state.queues[class_index].front();
    state.queued_tokens[class_index] -= ticket.prompt_tokens;
    customer_of_.erase(ticket.id);
    state.queues[class_index].pop_front();
    --state.waiting;
    --queued_;
}

/// Drops idle customers whose counter is not above those of the waiting ones; their
/// state no longer affects scheduling.
void fair_queue::prune_idle_customers()
{
    if (customers_.size() < prune_threshold)
    {
        return;
    }
    const auto lowest = lowest_counter();
    std::erase_if(customers_, [lowest](const auto& it) {
        return it.second.waiting == 0 && it.second.served <= lowest;
    });
}

} // namespace pistachiopost
