/// \file
/// Structured logging to standard output, one JSON object per line.
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

/// Subject of a log line. Empty fields are omitted.
struct log_fields
{
    std::string_view request;  ///< Request identifier.
    std::string_view customer; ///< Customer name.
    std::string_view backend;  ///< VM of the backend server.
    std::uint64_t version = 0; ///< Configuration version; 0 is omitted.
};

/// Starts logging for this process. Every line carries `vm` and `zone`; lines below the
/// level `min_level` are dropped.
void start_logging(std::string_view vm, std::string_view zone, log_level min_level);

/// Changes the minimum level to `min_level`.
void set_min_log_level(log_level min_level);

/// Logs one line. Does nothing before start_logging().
void log(log_level level, std::string_view text, const log_fields& fields = {});

/// Named value in a log line.
struct log_attribute
{
    log_attribute(std::string_view name, std::string_view text);
    log_attribute(std::string_view name, std::uint64_t number);
    log_attribute(std::string_view name, double number);

    std::string_view name;
    std::string value; ///< Encoded as JSON.
};

/// Logs one line with named values. Lines of the levels debug and info are rate limited;
/// the next line written carries the number of suppressed lines.
void log_event(log_level level, std::string_view text,
               std::initializer_list<log_attribute> attributes);

/// Writes all queued lines and ends logging.
void stop_logging();

} // namespace pistachiopost
