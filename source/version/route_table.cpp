#include "version/route_table.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pistachiopost {

milliseconds route::caller_timeout() const
{
    // As the platform specifies, a caller abandons a stream after two seconds, four times
    // the latency target or eight times the event gap target, whichever is longest.
    constexpr milliseconds min_timeout{2'000};
    constexpr int latency_factor = 4;
    constexpr int gap_factor = 8;
    if (kind != call_kind::stream)
    {
        return timeout;
    }
    return std::max(
        {min_timeout, latency_target * latency_factor, event_gap_target * gap_factor});
}

double engine_cost_model::prefill_ms(std::uint64_t prompt_tokens) const
{
    const auto n = static_cast<double>(prompt_tokens);
    const double million_pairs = n * n / 2 / 1e6;
    return n / prefill_tokens_per_ms + million_pairs * prefill_ms_per_million_pairs;
}

double engine_cost_model::pass_ms(std::size_t sequences, std::uint64_t context) const
{
    const double step = step_ms + step_ms_per_sequence * static_cast<double>(sequences) +
                        step_ms_per_1k_context * static_cast<double>(context) / 1'000;
    return step * steps_per_pass;
}

const route* route_table::find_route(std::string_view host, std::string_view path) const
{
    const auto it = by_host_.find(host);
    if (it == by_host_.end())
    {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    for (const auto& candidate : it->second)
    {
        if (path.starts_with(candidate.prefix))
        {
            return &candidate;
        }
    }
    return nullptr;
}

const gateway_customer* route_table::find_customer(std::string_view key) const
{
    const auto it = by_key_.find(std::string(key));
    return key.empty() || it == by_key_.end() ? nullptr : &customers_[it->second];
}

const routed_service* route_table::find_service(std::string_view name) const
{
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : &it->second;
}

std::optional<std::vector<std::string>> allowed_regions(const route& matched_route,
                                                        const gateway_customer* customer)
{
    const auto& by_route = matched_route.allowed_regions;
    if (customer == nullptr || customer->allowed_regions.empty())
    {
        return by_route.empty() ? std::nullopt : std::optional(by_route);
    }
    const auto& by_customer = customer->allowed_regions;
    if (by_route.empty())
    {
        return by_customer;
    }
    std::vector<std::string> common;
    std::copy_if(by_route.begin(), by_route.end(), std::back_inserter(common),
                 [&](const auto& it) {
                     return std::find(by_customer.begin(), by_customer.end(), it) !=
                            by_customer.end();
                 });
    return common;
}

route_table_builder& route_table_builder::version(std::uint64_t it)
{
    table_.version_ = it;
    return *this;
}

route_table_builder& route_table_builder::limits(const caller_limits& it)
{
    table_.limits_ = it;
    return *this;
}

route_table_builder& route_table_builder::add(route it)
{
    auto& shortest = table_.shortest_event_gap_;
    const auto gap = it.event_gap_target;
    if (gap.count() > 0 && (shortest.count() == 0 || gap < shortest))
    {
        shortest = gap;
    }
    auto& routes = table_.by_host_[it.host];
    routes.push_back(std::move(it));
    return *this;
}

route_table_builder& route_table_builder::add(routed_service it)
{
    auto name = it.name;
    table_.services_.insert_or_assign(std::move(name), std::move(it));
    return *this;
}

route_table_builder& route_table_builder::add(gateway_customer it)
{
    for (const auto& key : it.keys)
    {
        table_.by_key_[key] = table_.customers_.size();
    }
    table_.customers_.push_back(std::move(it));
    return require_key();
}

route_table_builder& route_table_builder::require_key()
{
    table_.requires_key_ = true;
    return *this;
}

route_table route_table_builder::build()
{
    for (auto& [host, routes] : table_.by_host_)
    {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route& a, const route& b) {
                             return a.prefix.size() > b.prefix.size();
                         });
    }
    return std::move(table_);
}

} // namespace pistachiopost
