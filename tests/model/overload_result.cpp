#include "model/overload_model.hpp"

#include <fmt/format.h>

#include <numeric>

namespace pistachiopost::model {

namespace {

std::string to_row(std::string_view kind, std::string_view size, const outcome_counts& it)
{
    std::string out = fmt::format("| {} | {} | {} |", kind, size, it.total());
    for (const auto n : it.calls)
    {
        out += fmt::format(" {} |", n);
    }
    const double due = it.worth_due > 0 ? it.worth_due : 1;
    return out + fmt::format(" {:.3f} | {:.3f} | {:.1f} |\n", it.worth / due,
                             it.worth_held / due, it.wasted_ms / 1'000);
}

outcome_counts sum_of(const overload_result& result)
{
    outcome_counts sum;
    for (const auto& it : result.kinds)
    {
        sum += it.usual;
        sum += it.largest;
    }
    return sum;
}

} // namespace

std::size_t outcome_counts::total() const
{
    return std::accumulate(calls.begin(), calls.end(), std::size_t{0});
}

double outcome_counts::served_share() const
{
    const auto asked = total() - count(call_outcome::left);
    const auto served = count(call_outcome::on_time) + count(call_outcome::late);
    return asked == 0 ? 1 : static_cast<double>(served) / static_cast<double>(asked);
}

outcome_counts& outcome_counts::operator+=(const outcome_counts& other)
{
    for (std::size_t i = 0; i < outcome_count; ++i)
    {
        calls[i] += other.calls[i];
    }
    worth += other.worth;
    worth_due += other.worth_due;
    worth_held += other.worth_held;
    wasted_ms += other.wasted_ms;
    return *this;
}

double overload_result::worth_share() const
{
    const auto sum = sum_of(*this);
    return sum.worth_due > 0 ? sum.worth / sum.worth_due : 1;
}

double overload_result::held_share() const
{
    const auto sum = sum_of(*this);
    return sum.worth_due > 0 ? sum.worth_held / sum.worth_due : 0;
}

std::string to_table(const overload_result& result)
{
    std::string out =
        "| kind | size | calls | on time | late | rejected at once | rejected late | "
        "failed | left | worth | held | wasted s |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (std::size_t i = 0; i < result.kinds.size(); ++i)
    {
        const auto& it = result.kinds[i];
        out += to_row(overload_kinds()[i].name, "nine tenths", it.usual);
        out += to_row(overload_kinds()[i].name, "largest tenth", it.largest);
    }
    out += to_row("all", "", sum_of(result));
    out += fmt::format(
        "\nfutile starts {}, short prompts placed after their target beside "
        "long prefills {}, worst customer {:.3f}\n",
        result.futile_starts, result.short_after_target, result.worst_customer_share);
    return out;
}

} // namespace pistachiopost::model
