/// \file
/// Stand-in for callers: single calls and a seeded open-loop load.
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

/// One call of an entry.
struct call
{
    endpoint entry;
    std::string key;          ///< Bearer key.
    std::string model;        ///< Empty for a call of a plain service.
    std::string service_path; ///< Path below /services/ for a plain service.
    std::string prompt;       ///< Prompt, or body for a plain service.
    std::uint32_t output_tokens = 16;
    bool stream = true;
    bool chat = false;
    std::uint32_t deadline_ms = 30'000;
    std::string idempotency_key;
    std::uint32_t leave_after = 0; ///< Pieces after which the caller leaves; 0: never.
};

/// What came of a call.
struct outcome
{
    int status = 0;        ///< HTTP status, 0 if there was no answer.
    bool whole = false;    ///< The answer is complete and byte-equal.
    std::string type;      ///< Type of the refusal.
    std::string execution; ///< What the refusal says of execution.
    std::string detail;
    double first_token_ms = 0;
    double total_ms = 0;
    std::vector<double> gaps_ms; ///< Times between pieces of a stream.

    /// Returns whether the connection broke without a word from the entry.
    [[nodiscard]] bool broken() const { return status == 0 && type.empty(); }
    /// Returns "answered", "refused" (not run, in time) or "failed".
    [[nodiscard]] std::string_view kind() const;
};

/// Returns the milliseconds passed since `start`.
double milliseconds_since(std::chrono::steady_clock::time_point start);

/// Makes one call and waits for its end.
outcome make_call(const call& it);
/// Makes one call whose times count from `start`.
outcome make_call_from(const call& it, std::chrono::steady_clock::time_point start);

/// Returns a prompt of `tokens` tokens that depends on `seed` alone.
std::string make_prompt(std::uint64_t tokens, std::uint64_t seed);

/// A seeded load on several entries.
struct load
{
    std::vector<endpoint> entries;
    std::vector<std::string> keys;       ///< One for each customer.
    std::vector<double> customer_shares; ///< Share of the requests, for each customer.
    std::string model;
    std::uint64_t seed = 1;
    double rate = 20; ///< Requests a second.
    double seconds = 5;
    double crest = 1;         ///< Rate factor in the middle third.
    double long_share = 0.02; ///< Requests over 100,000 tokens.
    std::uint64_t max_tokens = 1'000'000;
    std::uint32_t max_output = 32;
    std::uint32_t deadline_ms = 30'000;
    std::uint32_t callers = 256; ///< Calls under way at once, at most.
};

/// Results of one length class.
struct class_result
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t late = 0; ///< Answered or failed after the deadline.
    std::vector<double> first_token_ms;
    std::vector<double> total_ms;
};

/// Results of a load.
struct load_result
{
    std::array<class_result, length_class_count> classes;
    std::vector<double> gaps_ms;
    std::uint64_t resent = 0; ///< Calls sent again because an entry was gone.
    std::map<std::string, std::uint64_t> refusals; ///< By type and execution.
    std::vector<std::uint64_t> answered_work;      ///< Tokens of work, for each customer.
    std::vector<std::uint64_t> offered_work;
    class_result crest;                 ///< Requests sent in the crest.
    std::vector<double> short_slowdown; ///< Of prompts under 4k: time over time alone.
};

/// Returns the mean work of a planned request, in tokens.
double mean_work(const load& it);

/// Runs a load to its end.
load_result run_load(const load& it);

/// Returns the value at `share` of the sorted values, 0 if there are none.
double quantile(std::vector<double> values, double share);

/// Returns the results as JSON.
nlohmann::json to_json(const load_result& it);

/// Prints a table of the length classes.
void print_table(const load_result& it);

} // namespace pistachiopost::standins
