#include "process/logging.hpp"

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <mutex>

namespace pistachiopost {

namespace {

// Capacity of the queue of the writer thread: 0.3 MB of memory at 300 bytes a line.
constexpr std::size_t queue_capacity_lines = 1'024;
// Rate limit of the levels debug and info: twice the current peak request rate of one
// entry VM.
constexpr std::uint32_t max_lines_per_second = 80;

std::shared_ptr<spdlog::logger> logger;

/// Limits the lines written in each second and counts the suppressed ones.
class log_rate_limiter
{
public:
    /// Returns whether a line may be written. If so, sets `suppressed` to the number of
    /// lines suppressed since the last written one.
    bool try_acquire(std::chrono::steady_clock::time_point now, std::uint64_t& suppressed)
    {
        const std::lock_guard lock(mutex_);
        if (now - window_start_ >= std::chrono::seconds{1})
        {
            window_start_ = now;
            written_ = 0;
        }
        if (written_ >= max_lines_per_second)
        {
            ++suppressed_;
            return false;
        }
        ++written_;
        suppressed = std::exchange(suppressed_, 0);
        return true;
    }

private:
    std::mutex mutex_;
    std::chrono::steady_clock::time_point window_start_;
    std::uint32_t written_ = 0;
    std::uint64_t suppressed_ = 0;
};

log_rate_limiter rate_limiter;

spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warn:
        return spdlog::level::warn;
    case log_level::error:
        break;
    }
    return spdlog::level::err;
}

/// Escapes quotes, backslashes and control characters for a JSON string.
std::string escape(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (const char c : text)
    {
        if (c == '"' || c == '\\')
        {
            out += '\\';
            out += c;
        }
        else if (static_cast<unsigned char>(c) < 0x20)
        {
            out += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
        }
        else
        {
            out += c;
        }
    }
    return out;
}

void add_field(std::string& line, std::string_view name, std::string_view value)
{
    if (!value.empty())
    {
        line += fmt::format(R"(,"{}":"{}")", name, escape(value));
    }
}

} // namespace

void start_logging(std::string_view vm, std::string_view zone, log_level min_level)
{
    // Drops the oldest queued lines if the reader of standard output is slow, so that
    // logging never blocks.
    spdlog::init_thread_pool(queue_capacity_lines, 1);
    logger = std::make_shared<spdlog::async_logger>(
        "pistachiopost", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_level(to_spdlog(min_level));
    logger->set_pattern(
        fmt::format(
            R"({{"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","vm":"{}","zone":"{}",%v}})",
            escape(vm), escape(zone)),
        spdlog::pattern_time_type::utc);
}

void set_min_log_level(log_level min_level)
{
    if (logger)
    {
        logger->set_level(to_spdlog(min_level));
    }
}

void log(log_level level, std::string_view text, const log_fields& fields)
{
    if (!logger || !logger->should_log(to_spdlog(level)))
    {
        return;
    }
    auto line = fmt::format(R"("message":"{}")", escape(text));
    add_field(line, "request", fields.request);
    add_field(line, "customer", fields.customer);
    add_field(line, "backend", fields.backend);
    if (fields.version != 0)
    {
        line += fmt::format(R"(,"configuration":{})", fields.version);
    }
    logger->log(to_spdlog(level), line);
}

log_attribute::log_attribute(std::string_view attribute, std::string_view text)
    : name(attribute), value(fmt::format("\"{}\"", escape(text)))
{
}

log_attribute::log_attribute(std::string_view attribute, std::uint64_t number)
    : name(attribute), value(std::to_string(number))
{
}

log_attribute::log_attribute(std::string_view attribute, double number)
    : name(attribute), value(fmt::format("{:.1f}", number))
{
}

void log_event(log_level level, std::string_view text,
               std::initializer_list<log_attribute> attributes)
{
    if (!logger || !logger->should_log(to_spdlog(level)))
    {
        return;
    }
    std::uint64_t suppressed = 0;
    const bool rate_limited = level == log_level::debug || level == log_level::info;
    if (rate_limited &&
        !rate_limiter.try_acquire(std::chrono::steady_clock::now(), suppressed))
    {
        return;
    }
    auto line = fmt::format(R"("message":"{}")", escape(text));
    for (const auto& it : attributes)
    {
        line += fmt::format(R"(,"{}":{})", it.name, it.value);
    }
    if (suppressed > 0)
    {
        line += fmt::format(R"(,"lines_left_out":{})", suppressed);
    }
    logger->log(to_spdlog(level), line);
}

void stop_logging()
{
    if (logger)
    {
        logger.reset();
        spdlog::shutdown(); // writes the queued lines and joins the writer thread
    }
}

} // namespace pistachiopost
