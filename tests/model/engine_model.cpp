#include "model/engine_model.hpp"

#include <algorithm>

namespace pistachiopost::model {

void engine::add(std::shared_ptr<job> it)
{
    waiting_.push_back(std::move(it));
}

void engine::read_part(std::shared_ptr<job> it, std::uint64_t tokens, double pairs_ms,
                       bool for_another)
{
    part one{std::move(it), static_cast<double>(tokens), pairs_ms};
    if (for_another)
    {
        parts_.push_front(std::move(one));
        return;
    }
    parts_.push_back(std::move(one));
}

void engine::admit()
{
    std::uint64_t held = 0;
    for (const auto& it : running_)
    {
        held += it->memory_here;
    }
    while (!waiting_.empty() && running_.size() < sheet_.slots &&
           held + waiting_.front()->memory_here <= sheet_.memory_tokens)
    {
        held += waiting_.front()->memory_here;
        running_.splice(running_.end(), waiting_, waiting_.begin());
    }
}

double engine::step_ms() const
{
    double it = sheet_.step_ms;
    for (const auto& one : running_)
    {
        if (one->parts_left == 0)
        {
            const auto context = one->prompt_tokens + one->written;
            it += sheet_.step_ms_per_writer +
                  sheet_.step_ms_per_1k * static_cast<double>(context) / 1'000;
        }
    }
    return it;
}

double engine::read(double budget, std::vector<std::shared_ptr<job>>& finished)
{
    double spent = 0;
    for (auto it = parts_.begin(); it != parts_.end() && budget > 0;)
    {
        const bool own =
            std::find(waiting_.begin(), waiting_.end(), it->owner) != waiting_.end();
        if (it->owner->cancelled)
        {
            it = parts_.erase(it);
            continue;
        }
        if (own) // its request has not been admitted yet
        {
            ++it;
            continue;
        }
        const double n = std::min(budget, it->tokens);
        const double pairs = it->tokens > 0 ? it->pairs_ms * n / it->tokens : 0;
        spent += n / sheet_.read_tokens_per_ms + pairs;
        budget -= n;
        it->tokens -= n;
        it->pairs_ms -= pairs;
        if (it->tokens > 0)
        {
            return spent;
        }
        finished.push_back(it->owner);
        it = parts_.erase(it);
    }
    return spent;
}

model_ms engine::pass(model_ms now)
{
    const auto dropped = [](const auto& it) { return it->cancelled; };
    waiting_.remove_if(dropped);
    running_.remove_if(dropped);
    admit();
    std::vector<std::shared_ptr<job>> writers;
    for (const auto& it : running_)
    {
        if (it->parts_left == 0)
        {
            writers.push_back(it);
        }
    }
    const double steps = writers.empty() ? 1 : sheet_.steps_per_pass;
    std::vector<std::shared_ptr<job>> finished;
    const double reading = read(steps * sheet_.read_chunk, finished);
    if (writers.empty() && reading == 0)
    {
        return 0;
    }
    const model_ms length = reading + steps * step_ms();
    const model_ms end = now + length;
    for (const auto& it : finished)
    {
        if (--it->parts_left == 0)
        {
            it->event(end); // the first token is generated once the whole prompt is read
        }
    }
    for (const auto& it : writers)
    {
        it->written += sheet_.steps_per_pass;
        it->event(end);
        if (it->written >= it->output_tokens)
        {
            running_.remove(it);
            it->done(end);
        }
    }
    return length;
}

} // namespace pistachiopost::model
