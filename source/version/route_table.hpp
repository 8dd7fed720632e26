/// \file
/// Routes, services and customers of the gateway in one configuration version.
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

/// Whether requests of a route may be repeated.
enum class call_kind
{
    idempotent,   ///< May be executed any number of times.
    at_most_once, ///< Each request may be executed at most once.
    stream        ///< Event stream; at most once unless the route is resumable.
};

/// A service and its weighted share of a route's requests.
struct service_share
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Route of requests with a host and path prefix to services.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    call_kind kind = call_kind::idempotent;
    bool resumable = false;  ///< A broken stream may resume at another backend server.
    bool is_public = false;  ///< Requires no API key.
    bool runs_model = false; ///< Its requests carry a prompt.
    milliseconds timeout{0}; ///< Timeout for the complete answer.
    milliseconds latency_target{0}; ///< For the answer, or for the first event.
    milliseconds event_gap_target{0};
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1;
    std::vector<service_share> services;
    std::vector<std::string> allowed_regions; ///< Of backend servers; all if empty.

    /// Returns how long a caller waits for the complete answer, or for each event of a
    /// stream, before it abandons the request.
    [[nodiscard]] milliseconds caller_timeout() const;
    /// Returns whether a request may be sent again after it may have run.
    [[nodiscard]] bool repeatable() const
    {
        return kind == call_kind::idempotent || (kind == call_kind::stream && resumable);
    }
};

/// Cost model of a service's engines: durations of prefill and decoding.
struct engine_cost_model
{
    std::uint32_t slots = 1;
    std::uint64_t memory_tokens = 0;
    double step_ms = 1;                ///< Base duration of a decoding step.
    double step_ms_per_sequence = 0;   ///< Added for each decoding sequence.
    double step_ms_per_1k_context = 0; ///< Added for 1,000 context tokens.
    double prefill_tokens_per_ms = 1;  ///< Prefill rate without the cost of attention.
    double prefill_ms_per_million_pairs = 0; ///< Attention cost of a million token pairs.
    std::uint32_t prefill_chunk_tokens = 1;  ///< Maximum for each step.
    std::uint32_t steps_per_pass = 1;
    std::uint64_t mean_prompt_tokens = 0; ///< Mean prompt length.
    std::uint64_t mean_output_tokens = 0; ///< Mean answer length.

    /// Returns the time to prefill a prompt on one idle engine, in milliseconds.
    [[nodiscard]] double prefill_ms(std::uint64_t prompt_tokens) const;
    /// Returns the time of a pass with `sequences` requests of `context` tokens in all.
    [[nodiscard]] double pass_ms(std::size_t sequences, std::uint64_t context) const;
};

/// A service that routes refer to.
struct routed_service
{
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 1;
    std::optional<engine_cost_model> engine; ///< Empty for a plain service.
    milliseconds cold_start{0};              ///< 0 if its servers are never cold.
    double cold_per_second = 0; ///< Requests that a cold server tolerates; 0 likewise.
};

/// Limits on the size and the duration of callers' requests.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16'384;
    std::uint64_t max_body_bytes = 4'194'304;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// A customer of the gateway and its API keys.
struct gateway_customer
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority;    ///< Overrides the priority of the route.
    std::vector<std::string> allowed_regions; ///< Of backend servers; all if empty.
};

/// Returns the regions that both a route and a customer (null if there is none) allow;
/// nothing if all are allowed. The list is empty if they have none in common.
std::optional<std::vector<std::string>> allowed_regions(const route& matched_route,
                                                        const gateway_customer* customer);

/// One configuration version. Immutable.
class route_table
{
public:
    /// Returns the route of `host` with the longest matching prefix of `path`, or null.
    [[nodiscard]] const route* find_route(std::string_view host,
                                          std::string_view path) const;
    /// Returns the customer that owns `key`, or null. An empty key, as of a request
    /// without one, belongs to nobody.
    [[nodiscard]] const gateway_customer* find_customer(std::string_view key) const;
    /// Returns the service, or null if there is none.
    [[nodiscard]] const routed_service* find_service(std::string_view name) const;
    /// Returns all services by name.
    [[nodiscard]] const std::map<std::string, routed_service, std::less<>>&
    services() const
    {
        return services_;
    }
    /// Returns whether requests require the key of a customer. They also do if no
    /// customer is left, so that whoever lost the last key is not admitted without one.
    [[nodiscard]] bool requires_key() const { return requires_key_; }
    /// Returns the smallest event gap target of all stream routes, or 0 if there is none.
    [[nodiscard]] milliseconds shortest_event_gap() const { return shortest_event_gap_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const caller_limits& limits() const { return limits_; }

private:
    friend class route_table_builder;

    std::uint64_t version_ = 0;
    bool requires_key_ = false;
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
    /// Adds a customer; requests require a key from then on.
    route_table_builder& add(gateway_customer it);
    /// Makes requests require a key even if no customer is added.
    route_table_builder& require_key();
    /// Returns the table. The builder must not be used afterwards.
    route_table build();

private:
    route_table table_;
};

} // namespace pistachiopost
