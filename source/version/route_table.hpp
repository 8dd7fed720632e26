/// \file
/// Routes, services and customers of one configuration version of the gateway.
#pragma once

#include "request/time_types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachiopost {

/// What a route allows to be repeated.
enum class call_kind
{
    idempotent,   ///< May run any number of times.
    at_most_once, ///< May run once for each request.
    stream        ///< Events; runs once unless the route is resumable.
};

/// A service and its share of a route's requests.
struct service_share
{
    std::string service;
    std::uint32_t weight = 1;
};

/// One route.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    call_kind kind = call_kind::idempotent;
    bool resumable = false;         ///< A broken stream may go on elsewhere.
    bool is_public = false;         ///< Needs no key.
    bool runs_model = false;        ///< Its requests carry a prompt.
    milliseconds timeout{0};        ///< Longest time to the final answer.
    milliseconds latency_target{0}; ///< To the answer, or to the first event.
    milliseconds event_gap_target{0};
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1;
    std::vector<service_share> services;

    /// Returns how long a caller waits for the first event or the whole answer, and for
    /// each further event, before it gives up by itself.
    [[nodiscard]] milliseconds caller_timeout() const;
    /// Returns whether a request may be sent again after it may have run.
    [[nodiscard]] bool repeatable() const
    {
        return kind == call_kind::idempotent || (kind == call_kind::stream && resumable);
    }
};

/// The arithmetic of a service's model engines.
struct engine_cost_model
{
    std::uint32_t slots = 1;
    std::uint64_t memory_tokens = 0;
    double step_ms = 1;              ///< Base time of a token step.
    double step_ms_per_sequence = 0; ///< Added for each writing request.
    double step_ms_per_1k_context =
        0; ///< Added for 1,000 tokens of each writer's context.
    double prefill_tokens_per_ms = 1;        ///< Prefill rate without attention.
    double prefill_ms_per_million_pairs = 0; ///< For a million pairs of tokens.
    std::uint32_t prefill_chunk_tokens = 1;  ///< Prompt tokens read in a step, at most.
    std::uint32_t steps_per_pass = 1;
    std::uint64_t mean_prompt_tokens = 0; ///< Mean tokens of a prompt.
    std::uint64_t mean_output_tokens = 0; ///< Mean tokens of an answer.

    /// Returns the time to read a prompt on one idle engine, in milliseconds.
    [[nodiscard]] double prefill_ms(std::uint64_t prompt_tokens) const;
    /// Returns the time of a pass with `sequences` requests of `context` tokens in all.
    [[nodiscard]] double pass_ms(std::size_t sequences, std::uint64_t context) const;
};

/// One service.
struct routed_service
{
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 1;
    std::optional<engine_cost_model> engine; ///< Empty for a plain service.
};

/// Limits on what callers may send and how long they may take.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 4'194'304;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// One customer of the gateway.
struct gateway_customer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Goes before a route's.
};

/// One configuration version; immutable after build.
class route_table
{
public:
    /// Finds the route of `host` with the longest prefix of `path`; null if none.
    [[nodiscard]] const route* find_route(std::string_view host,
                                          std::string_view path) const;
    /// Finds the customer that holds `key`; null if nobody does.
    [[nodiscard]] const gateway_customer* find_customer(std::string_view key) const;
    /// Finds a service; null if there is none.
    [[nodiscard]] const routed_service* find_service(std::string_view name) const;
    /// Returns whether requests need a key at all.
    [[nodiscard]] bool has_customers() const { return !customers_.empty(); }
    /// Returns the shortest pause between events that any stream route aims at.
    [[nodiscard]] milliseconds shortest_event_gap() const { return shortest_event_gap_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const caller_limits& limits() const { return limits_; }

private:
    friend class route_table_builder;

    std::uint64_t version_ = 0;
    milliseconds shortest_event_gap_{0};
    caller_limits limits_;
    std::map<std::string, std::vector<route>, std::less<>> by_host_; ///< Longest first.
    std::map<std::string, routed_service, std::less<>> services_;
    std::vector<gateway_customer> customers_;
    std::unordered_map<std::string, std::size_t> by_key_;
};

/// Builds a route_table.
class route_table_builder
{
public:
    route_table_builder& version(std::uint64_t it);
    route_table_builder& limits(const caller_limits& it);
    route_table_builder& add(route it);
    route_table_builder& add(routed_service it);
    route_table_builder& add(gateway_customer it);
    /// Returns the table. The builder must not be used afterwards.
    route_table build();

private:
    route_table table_;
};

} // namespace pistachiopost
