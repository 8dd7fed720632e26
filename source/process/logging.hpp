/// \file
/// Structured logs: one JSON object a line on standard output.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Severity of a log line.
enum class log_level
{
    debug,
    info,
    warn,
    error
};

/// Facts about the subject of a log line. Empty fields are left out.
struct log_fields
{
    std::string_view request;  ///< Request identifier.
    std::string_view customer; ///< Customer name.
    std::string_view backend;  ///< VM of the backend server.
    std::uint64_t version = 0; ///< Configuration version; 0 is left out.
};

/// Sets up logging for this process. `vm` and `zone` go into every line; lines
/// below `least` are dropped.
void start_logging(std::string_view vm, std::string_view zone, log_level least);

/// Drops lines below `least` from now on.
void set_least_level(log_level least);

/// Writes one line. Does nothing before start_logging().
void log(log_level level, std::string_view text, const log_fields& fields = {});

/// One fact of a log line.
struct log_fact
{
    log_fact(std::string_view name, std::string_view text);
    log_fact(std::string_view name, std::uint64_t number);
    log_fact(std::string_view name, double number);

    std::string_view name;
    std::string value; ///< As it stands in JSON.
};

/// Writes one line with any facts. Lines of the levels debug and info are dropped and
/// counted once this process has written its lines of the second.
void log_event(log_level level, std::string_view text,
               std::initializer_list<log_fact> facts);

/// Writes out buffered lines.
void flush_logs();

} // namespace pistachiopost
