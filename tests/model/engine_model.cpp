#include "model/engine_model.hpp"

#include <algorithm>

namespace pistachiopost::model {

void engine::add(std::shared_ptr<job> it)
{
    waiting_.push_back(std::move(it));
}

void engine::add_prompt_part(std::shared_ptr<job> it, std::uint64_t tokens,
                             double attention_ms, bool for_other_engine)
{
    prompt_part one{std::move(it), static_cast<double>(tokens), attention_ms};
    if (for_other_engine)
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
        held += it->reserved_tokens;
    }
    while (!waiting_.empty() && running_.size() < parameters_.slots &&
           held + waiting_.front()->reserved_tokens <= parameters_.memory_tokens)
    {
        held += waiting_.front()->reserved_tokens;
        running_.splice(running_.end(), waiting_, waiting_.begin());
    }
}

double engine::decode_step_ms() const
{
    double it = parameters_.step_ms;
    for (const auto& one : running_)
    {
        if (one->pending_parts == 0)
        {
            const auto context = one->prompt_tokens + one->generated_tokens;
            it += parameters_.step_ms_per_sequence + parameters_.step_ms_per_1k_context *
                                                         static_cast<double>(context) /
                                                         1'000;
        }
    }
    return it;
}

double engine::prefill(double budget, std::vector<std::shared_ptr<job>>& finished)
{
    double spent = 0;
    for (auto it = parts_.begin(); it != parts_.end() && budget > 0;)
    {
        const bool queued =
            std::find(waiting_.begin(), waiting_.end(), it->owner) != waiting_.end();
        if (it->owner->cancelled)
        {
            it = parts_.erase(it);
            continue;
        }
        if (queued) // its request has not been admitted yet
        {
            ++it;
            continue;
        }
        const double n = std::min(budget, it->tokens);
        const double pairs = it->tokens > 0 ? it->attention_ms * n / it->tokens : 0;
        spent += n / parameters_.prefill_tokens_per_ms + pairs;
        budget -= n;
        it->tokens -= n;
        it->attention_ms -= pairs;
        if (it->tokens > 0)
        {
            return spent;
        }
        finished.push_back(it->owner);
        it = parts_.erase(it);
    }
    return spent;
}

model_ms engine::run_pass(model_ms now)
{
    const auto is_cancelled = [](const auto& it) { return it->cancelled; };
    waiting_.remove_if(is_cancelled);
    running_.remove_if(is_cancelled);
    admit();
    std::vector<std::shared_ptr<job>> decoding;
    for (const auto& it : running_)
    {
        if (it->pending_parts == 0)
        {
            decoding.push_back(it);
        }
    }
    const double steps = decoding.empty() ? 1 : parameters_.steps_per_pass;
    std::vector<std::shared_ptr<job>> finished;
    const double reading = prefill(steps * parameters_.prefill_chunk_tokens, finished);
    if (decoding.empty() && reading == 0)
    {
        return 0;
    }
    const model_ms length = reading + steps * decode_step_ms();
    const model_ms end = now + length;
    for (const auto& it : finished)
    {
        if (--it->pending_parts == 0)
        {
            it->on_event(end); // first token, once the whole prompt is read
        }
    }
    for (const auto& it : decoding)
    {
        it->generated_tokens += parameters_.steps_per_pass;
        it->on_event(end);
        if (it->generated_tokens >= it->output_tokens)
        {
            running_.remove(it);
            it->on_done(end);
        }
    }
    return length;
}

} // namespace pistachiopost::model
