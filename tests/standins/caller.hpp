/// \file
/// Test client: single calls and a seeded open-loop load generator.
#pragma once

#include "connection/unique_fd.hpp"
#include "request/length_class.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost::standins {

/// Parameters of one call to an entry.
struct call
{
    endpoint entry;
    std::string key;          ///< API key, sent as a bearer token.
    std::string model;        ///< Empty for a call of a plain service.
    std::string service_path; ///< Path below /services/ for a plain service.
    std::string prompt;       ///< Prompt, or body for a plain service.
    std::uint32_t output_tokens = 16;
    bool stream = true;
    bool chat = false;
    std::uint32_t deadline_ms = 30'000;
    std::string idempotency_key;
    std::uint32_t disconnect_after = 0; ///< After this many chunks; 0: never.
};

/// Result of a call.
struct outcome
{
    int status = 0;        ///< HTTP status; 0 without a response.
    bool complete = false; ///< The answer is complete and equals the expected bytes.
    std::string type;      ///< Error type of the response.
    std::string execution; ///< Execution state given in the error.
    std::string detail;
    double first_token_ms = 0;
    double total_ms = 0;
    std::vector<double> gaps_ms; ///< Times between chunks of a stream.

    /// Returns whether the connection failed before any response or error.
    [[nodiscard]] bool connection_lost() const { return status == 0 && type.empty(); }
    /// Returns "answered", "refused" (the entry reported not_run) or "failed".
    [[nodiscard]] std::string_view kind() const;
};

/// Returns the elapsed milliseconds since `start`.
double milliseconds_since(std::chrono::steady_clock::time_point start);

/// Makes one call and blocks until it ends.
outcome make_call(const call& it);
/// Makes one call and measures its times from `start`.
outcome make_call_from(const call& it, std::chrono::steady_clock::time_point start);

/// Returns a prompt of `tokens` tokens that is determined by `seed`.
std::string make_prompt(std::uint64_t tokens, std::uint64_t seed);

/// Parameters of a seeded load on several entries.
struct load
{
    std::vector<endpoint> entries;
    std::vector<std::string> keys;       ///< One per customer.
    std::vector<double> customer_shares; ///< Relative request rate per customer.
    std::string model;
    std::uint64_t seed = 1;
    double rate = 20; ///< Requests per second.
    double seconds = 5;
    double peak_factor = 1;   ///< Rate multiplier in the middle third.
    double long_share = 0.02; ///< Share of requests over 100,000 tokens.
    std::uint64_t max_tokens = 1'000'000;
    std::uint32_t max_output = 32;
    std::uint32_t deadline_ms = 30'000;
    std::uint32_t callers = 256; ///< Maximum concurrent calls.
};

/// Results of one length class.
struct class_result
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t late = 0; ///< Ended after the deadline.
    std::vector<double> first_token_ms;
    std::vector<double> total_ms;
};

/// Results of a load.
struct load_result
{
    std::array<class_result, length_class_count> classes;
    std::vector<double> gaps_ms;
    std::uint64_t resent = 0; ///< Calls repeated after a lost connection.
    std::map<std::string, std::uint64_t> refusals; ///< By error type and execution state.
    std::vector<std::uint64_t> answered_work;      ///< Work in tokens per customer.
    std::vector<std::uint64_t> offered_work;
    class_result peak;                  ///< Requests sent during the peak.
    std::vector<double> short_slowdown; ///< Under 4k: time over time on an idle engine.
};

/// Returns the mean work per planned request, in tokens.
double mean_work(const load& it);

/// Runs a load until every call has ended.
load_result run_load(const load& it);

/// Returns the quantile of `values` at `share`, 0 if there are none.
double quantile(std::vector<double> values, double share);

/// Returns the results as JSON.
nlohmann::json to_json(const load_result& it);

/// Prints a table with one row per length class.
void print_table(const load_result& it);

} // namespace pistachiopost::standins
