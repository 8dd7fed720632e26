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
    std::size_t asked = 0;
    std::size_t served = 0;      ///< Complete answers.
    std::size_t on_time = 0;     ///< First event and all gaps within the targets.
    std::size_t late_pauses = 0; ///< Answers with a gap over the target.
    std::vector<double> first_event_ms;
};

/// Results of one simulation run.
struct run_result
{
    std::vector<kind_result> kinds;
    std::array<std::size_t, customers> asked{};   ///< By customer.
    std::array<std::size_t, customers> on_time{}; ///< By customer.
    std::vector<std::size_t> asked_in_second;
    std::vector<std::size_t> on_time_in_second;
    double tokens_in_vain = 0; ///< Of requests abandoned after their start on an engine.
};

/// Returns the parameters of the largest engine type in the platform's data sheets.
engine_model sheet_engine();
/// Returns the time after which a caller that got no event leaves.
double patience_ms(const prompt_kind& kind);
/// Returns earned worth over total worth requested, by the platform's scoring.
double earned_worth(const run_result& result);
/// Returns the result as rows of a Markdown table.
std::string to_table(std::string_view policy, const run_result& result);

/// Simulates one load; `run` may be called once.
template <model_policy Policy>
class fleet_model
{
public:
    fleet_model(Policy policy, const engine_model& sheet, std::size_t engines,
                std::vector<arrival> load)
        : policy_(std::move(policy)), sheet_(sheet), engines_(engines, engine(sheet)),
          busy_(engines, false), load_(std::move(load)), states_(load_.size())
    {
        result_.kinds.resize(prompt_kinds().size());
    }

    run_result run()
    {
        for (std::size_t i = 0; i < load_.size(); ++i)
        {
            at(load_[i].at, [this, i] { arrive(i); });
        }
        at(0, [this] { tell_peers(); });
        while (!events_.empty() && left_ > 0)
        {
            auto it = std::move(const_cast<timed&>(events_.top()));
            events_.pop();
            now_ = it.when;
            it.action();
            place_all();
        }
        return std::move(result_);
    }

private:
    // Interval of load reports between gateways, as in the product.
    static constexpr model_ms report_interval = 50;
    // One-way latency between a gateway and an engine.
    static constexpr model_ms link_ms = 1;
    // Tokens per event.
    static constexpr std::uint64_t event_tokens = 43;

    struct timed
    {
        model_ms when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const timed& other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    struct state
    {
        std::shared_ptr<job> work;
        std::size_t main = 0; ///< Engine that writes the answer.
        double last_event = 0;
        double longest_pause = 0;
        double first_event = -1;
        bool ended = false;
    };

    void at(model_ms when, std::function<void()> action)
    {
        events_.push({when, order_++, std::move(action)});
    }

    [[nodiscard]] time_point clock() const
    {
        return time_point(std::chrono::duration_cast<steady::duration>(
            std::chrono::duration<double, std::milli>(now_)));
    }

    void tell_peers()
    {
        policy_.tell_peers(clock());
        at(now_ + report_interval, [this] { tell_peers(); });
    }

    void arrive(std::size_t i)
    {
        const auto& it = load_[i];
        ++result_.kinds[it.kind].asked;
        ++result_.asked[it.customer];
        count(result_.asked_in_second, it);
        policy_.arrive(i, it, clock());
        at(it.at + patience_ms(prompt_kinds()[it.kind]), [this, i] { lose_patience(i); });
    }

    void lose_patience(std::size_t i)
    {
        auto& it = states_[i];
        if (it.ended || it.first_event >= 0)
        {
            return;
        }
        it.ended = true;
        --left_;
        if (it.work)
        {
            it.work->cancelled = true;
            result_.tokens_in_vain += static_cast<double>(it.work->prompt_tokens);
        }
        policy_.leave(i, clock());
    }

    void place_all()
    {
        for (auto& [i, place] : policy_.take_placed(clock()))
        {
            at(now_ + link_ms,
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
        work->output_tokens = prompt_kinds()[load_[i].kind].events * event_tokens;
        work->memory_here = place.main.work.memory_tokens;
        work->parts_left = place.helpers.size() + 1;
        work->event = [this, i](model_ms when) { at(when, [this, i] { event(i); }); };
        work->done = [this, i](model_ms when) { at(when, [this, i] { done(i); }); };
        states_[i].work = work;
        const auto tokens = static_cast<double>(work->prompt_tokens);
        const double pairs =
            sheet_.read_ms(work->prompt_tokens) - tokens / sheet_.read_tokens_per_ms;
        const auto parts = static_cast<double>(work->parts_left);
        const auto main = engine_number(place.main.backend.id);
        states_[i].main = main;
        engines_[main].add(work);
        give_part(main, work, tokens / parts, pairs / parts, false);
        for (const auto& it : place.helpers)
        {
            give_part(engine_number(it.backend.id), work, tokens / parts, pairs / parts,
                      true);
        }
    }

    void give_part(std::size_t which, const std::shared_ptr<job>& work, double tokens,
                   double pairs, bool for_another)
    {
        engines_[which].read_part(work, static_cast<std::uint64_t>(tokens), pairs,
                                  for_another);
        wake(which);
    }

    void wake(std::size_t which)
    {
        if (!busy_[which])
        {
            busy_[which] = true;
            next_pass(which);
        }
    }

    void next_pass(std::size_t which)
    {
        const auto length = engines_[which].pass(now_);
        if (length == 0)
        {
            busy_[which] = false;
            return;
        }
        at(now_ + length, [this, which] { next_pass(which); });
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
            it.first_event = now_ - load_[i].at;
            result_.kinds[load_[i].kind].first_event_ms.push_back(it.first_event);
            policy_.first_event(i, clock());
            wake(it.main); // it is idle if a helper read the last part
        }
        else
        {
            it.longest_pause = std::max(it.longest_pause, now_ - it.last_event);
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
        --left_;
        policy_.finish(i, clock());
        const auto& what = load_[i];
        const auto& kind = prompt_kinds()[what.kind];
        auto& into = result_.kinds[what.kind];
        ++into.served;
        const bool paused = it.longest_pause > kind.pause_ms;
        into.late_pauses += paused ? 1 : 0;
        if (!paused && it.first_event <= kind.target_ms)
        {
            ++into.on_time;
            ++result_.on_time[what.customer];
            count(result_.on_time_in_second, what);
        }
    }

    static void count(std::vector<std::size_t>& seconds, const arrival& what)
    {
        const auto n = static_cast<std::size_t>(what.at / 1'000);
        seconds.resize(std::max(seconds.size(), n + 1));
        ++seconds[n];
    }

    Policy policy_;
    const engine_model& sheet_;
    std::vector<engine> engines_;
    std::vector<bool> busy_;
    std::vector<arrival> load_;
    std::vector<state> states_;
    std::size_t left_ = load_.size();
    std::priority_queue<timed> events_;
    std::uint64_t order_ = 0;
    model_ms now_ = 0;
    run_result result_;
};

} // namespace pistachiopost::model
