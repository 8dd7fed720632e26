/// \file
/// Discrete-event simulation of a load on a fleet of engines under one policy.
#pragma once

#include "model/policies.hpp"

#include <algorithm>
#include <array>
#include <queue>

namespace pistachiopost::model {

/// Results for the prompts of one kind.
struct kind_result
{
    std::size_t requests = 0;
    std::size_t served = 0;    ///< Complete answers.
    std::size_t on_time = 0;   ///< First event and all gaps within the targets.
    std::size_t late_gaps = 0; ///< Answers with a gap over the target.
    std::vector<double> first_event_ms;
};

/// Results of one simulation run.
struct run_result
{
    std::vector<kind_result> kinds;
    std::array<std::size_t, customer_count> requests_by_customer{};
    std::array<std::size_t, customer_count> on_time_by_customer{};
    std::vector<std::size_t> requests_per_second;
    std::vector<std::size_t> on_time_per_second;
    double wasted_prompt_tokens =
        0; ///< Of requests abandoned after their start on an engine.
};

/// Returns the parameters of the largest engine type in the platform's data sheets.
engine_cost_model largest_engine();
/// Returns the time after engine_index a caller that got no event leaves.
double caller_timeout_ms(const prompt_kind& kind);
/// Returns earned worth over total worth requested, by the platform's scoring.
double earned_worth(const run_result& result);
/// Returns the result as rows of a Markdown table.
std::string to_table(std::string_view policy, const run_result& result);

/// Simulates one load; `run` may be called once.
template <model_policy Policy>
class fleet_model
{
public:
    fleet_model(Policy policy, const engine_cost_model& parameters, std::size_t engines,
                std::vector<arrival> load)
        : policy_(std::move(policy)), parameters_(parameters),
          engines_(engines, engine(parameters)), busy_(engines, false),
          load_(std::move(load)), states_(load_.size())
    {
        result_.kinds.resize(prompt_kinds().size());
    }

    run_result run()
    {
        for (std::size_t i = 0; i < load_.size(); ++i)
        {
            schedule(load_[i].time, [this, i] { arrive(i); });
        }
        schedule(0, [this] { exchange_load_reports(); });
        while (!events_.empty() && unfinished_ > 0)
        {
            auto it = std::move(const_cast<scheduled_event&>(events_.top()));
            events_.pop();
            now_ = it.when;
            it.action();
            start_placed();
        }
        return std::move(result_);
    }

private:
    // Interval of load reports between gateways, as in the product.
    static constexpr model_ms report_interval = 50;
    // One-way latency between a gateway and an engine.
    static constexpr model_ms link_ms = 1;
    // Tokens per event.
    static constexpr std::uint64_t tokens_per_event = 43;

    struct scheduled_event
    {
        model_ms when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const scheduled_event& other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    struct request_state
    {
        std::shared_ptr<job> work;
        std::size_t main = 0; ///< Engine that writes the answer.
        double last_event = 0;
        double longest_gap = 0;
        double first_event = -1;
        bool ended = false;
    };

    void schedule(model_ms when, std::function<void()> action)
    {
        events_.push({when, order_++, std::move(action)});
    }

    [[nodiscard]] time_point current_time() const
    {
        return time_point(std::chrono::duration_cast<steady::duration>(
            std::chrono::duration<double, std::milli>(now_)));
    }

    void exchange_load_reports()
    {
        policy_.exchange_load_reports(current_time());
        schedule(now_ + report_interval, [this] { exchange_load_reports(); });
    }

    void arrive(std::size_t i)
    {
        const auto& it = load_[i];
        ++result_.kinds[it.kind].requests;
        ++result_.requests_by_customer[it.customer];
        count(result_.requests_per_second, it);
        policy_.on_arrival(i, it, current_time());
        schedule(it.time + caller_timeout_ms(prompt_kinds()[it.kind]),
                 [this, i] { time_out(i); });
    }

    void time_out(std::size_t i)
    {
        auto& it = states_[i];
        if (it.ended || it.first_event >= 0)
        {
            return;
        }
        it.ended = true;
        --unfinished_;
        if (it.work)
        {
            it.work->cancelled = true;
            result_.wasted_prompt_tokens += static_cast<double>(it.work->prompt_tokens);
        }
        policy_.on_departure(i, current_time());
    }

    void start_placed()
    {
        for (auto& [i, place] : policy_.take_placed(current_time()))
        {
            schedule(now_ + link_ms,
                     [this, number = i, where = place] { start(number, where); });
        }
    }

    void start(std::size_t i, const placement& place)
    {
        if (states_[i].ended)
        {
            return;
        }
        auto work = std::make_shared<job>();
        work->prompt_tokens = load_[i].tokens;
        work->output_tokens = prompt_kinds()[load_[i].kind].events * tokens_per_event;
        work->reserved_tokens = place.main.work.memory_tokens;
        work->pending_parts = place.helpers.size() + 1;
        work->on_event = [this, i](model_ms when) {
            schedule(when, [this, i] { event(i); });
        };
        work->on_done = [this, i](model_ms when) {
            schedule(when, [this, i] { done(i); });
        };
        states_[i].work = work;
        const auto tokens = static_cast<double>(work->prompt_tokens);
        const double pairs = parameters_.prefill_ms(work->prompt_tokens) -
                             tokens / parameters_.prefill_tokens_per_ms;
        const auto parts = static_cast<double>(work->pending_parts);
        const auto main = engine_number(place.main.backend.id);
        states_[i].main = main;
        engines_[main].add(work);
        assign_part(main, work, tokens / parts, pairs / parts, false);
        for (const auto& it : place.helpers)
        {
            assign_part(engine_number(it.backend.id), work, tokens / parts, pairs / parts,
                        true);
        }
    }

    void assign_part(std::size_t engine_index, const std::shared_ptr<job>& work,
                     double tokens, double pairs, bool for_other_engine)
    {
        engines_[engine_index].add_prompt_part(work, static_cast<std::uint64_t>(tokens),
                                               pairs, for_other_engine);
        wake(engine_index);
    }

    void wake(std::size_t engine_index)
    {
        if (!busy_[engine_index])
        {
            busy_[engine_index] = true;
            next_pass(engine_index);
        }
    }

    void next_pass(std::size_t engine_index)
    {
        const auto length = engines_[engine_index].run_pass(now_);
        if (length == 0)
        {
            busy_[engine_index] = false;
            return;
        }
        schedule(now_ + length, [this, engine_index] { next_pass(engine_index); });
    }

    void event(std::size_t i)
    {
        auto& it = states_[i];
        if (it.ended)
        {
            return;
        }
        if (it.first_event < 0)
        {
            it.first_event = now_ - load_[i].time;
            result_.kinds[load_[i].kind].first_event_ms.push_back(it.first_event);
            policy_.on_first_event(i, current_time());
            wake(it.main); // it is idle if a helper read the last part
        }
        else
        {
            it.longest_gap = std::max(it.longest_gap, now_ - it.last_event);
        }
        it.last_event = now_;
    }

    void done(std::size_t i)
    {
        auto& it = states_[i];
        if (it.ended)
        {
            return;
        }
        it.ended = true;
        --unfinished_;
        policy_.on_finish(i, current_time());
        const auto& prompt = load_[i];
        const auto& kind = prompt_kinds()[prompt.kind];
        auto& totals = result_.kinds[prompt.kind];
        ++totals.served;
        const bool gap_exceeded = it.longest_gap > kind.gap_target_ms;
        totals.late_gaps += gap_exceeded ? 1 : 0;
        if (!gap_exceeded && it.first_event <= kind.first_event_target_ms)
        {
            ++totals.on_time;
            ++result_.on_time_by_customer[prompt.customer];
            count(result_.on_time_per_second, prompt);
        }
    }

    static void count(std::vector<std::size_t>& seconds, const arrival& prompt)
    {
        const auto n = static_cast<std::size_t>(prompt.time / 1'000);
        seconds.resize(std::max(seconds.size(), n + 1));
        ++seconds[n];
    }

    Policy policy_;
    const engine_cost_model& parameters_;
    std::vector<engine> engines_;
    std::vector<bool> busy_;
    std::vector<arrival> load_;
    std::vector<request_state> states_;
    std::size_t unfinished_ = load_.size();
    std::priority_queue<scheduled_event> events_;
    std::uint64_t order_ = 0;
    model_ms now_ = 0;
    run_result result_;
};

} // namespace pistachiopost::model
