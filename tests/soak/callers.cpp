#include "soak/callers.hpp"

#include "connection/http_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace pistachiopost::soak {

namespace {

// Pause of a caller after a call and after a refused connection.
constexpr milliseconds call_pause{20};
constexpr milliseconds reconnect_pause{100};

std::string prompt_fields(call_type type)
{
    if (type == call_type::short_prompt)
    {
        return "Model: m\r\nToken-Count: 5000,500\r\n";
    }
    return type == call_type::long_prompt ? "Model: m\r\nToken-Count: 300000,200\r\n"
                                          : "";
}

std::string request_text(const call_record& it)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: soak.test\r\nRequest-Id: {}\r\n"
                       "Deadline-Ms: {}\r\nApi-Key: {}\r\n{}Content-Length: {}\r\n\r\n{}",
                       it.target, it.id, call_deadline.count(), customer_key,
                       prompt_fields(it.type), it.body_bytes,
                       std::string(it.body_bytes, 'x'));
}

} // namespace

std::string_view path_prefix(call_type type)
{
    switch (type)
    {
    case call_type::lookup:
        return "/look/";
    case call_type::booking:
        return "/book/";
    case call_type::short_prompt:
    case call_type::long_prompt:
        break;
    }
    return "/read/";
}

bool make_call(tcp_stream& stream, call_record& it,
               std::optional<int> abandon_after_events)
{
    it.sent = steady::now();
    const auto until = it.sent + caller_timeout;
    response_reader answer("POST");
    bool open = true;
    try
    {
        stream.send(request_text(it), until);
        while (!answer.done() && open)
        {
            if (wait_readable(stream.fd(), -1, until) == wake_cause::timeout)
            {
                open = false;
                break;
            }
            open = stream.receive();
            answer.parse(stream);
            it.body += answer.take_body();
            const auto events = std::count(it.body.begin(), it.body.end(), '\n') / 3;
            if (abandon_after_events && events >= *abandon_after_events && !answer.done())
            {
                it.abandoned = true;
                open = false;
            }
        }
        it.complete = answer.done() || (!open && !it.abandoned && answer.end_of_stream());
    }
    catch (const connection_error&)
    {
        open = false; // the record shows how much was received
    }
    it.ended = steady::now();
    if (answer.has_head())
    {
        it.status = answer.head().status;
        it.response_stamp = answer.head().value("Response-Stamp");
    }
    return open && it.complete && answer.keep_alive();
}

caller_group::caller_group(std::vector<endpoint> gateways, std::uint64_t seed,
                           std::size_t callers)
    : gateways_(std::move(gateways)), seed_(seed)
{
    for (std::size_t i = 0; i < callers; ++i)
    {
        tasks_.emplace_back([this, i] { run_caller(i); });
    }
}

std::vector<call_record> caller_group::finish()
{
    stopped_ = true;
    for (auto& it : tasks_)
    {
        it.join();
    }
    return std::move(records_);
}

call_record caller_group::next_call(std::mt19937_64& random, std::size_t caller,
                                    std::uint64_t n)
{
    constexpr std::array types{call_type::lookup,       call_type::booking,
                               call_type::booking,      call_type::short_prompt,
                               call_type::short_prompt, call_type::short_prompt,
                               call_type::long_prompt};
    call_record it;
    it.id = fmt::format("{}-{}-{}", seed_, caller, n);
    it.type = types[random() % types.size()];
    it.target = fmt::format("{}{}?n={}", path_prefix(it.type), caller, n);
    it.body_bytes = random() % 2'000;
    return it;
}

void caller_group::run_caller(std::size_t caller)
{
    std::mt19937_64 random(seed_ * 1'000 + caller);
    std::optional<tcp_stream> connection;
    std::size_t gateway = caller % gateways_.size();
    for (std::uint64_t n = 0; !stopped_; ++n)
    {
        auto it = next_call(random, caller, n);
        if (!connection)
        {
            gateway = random() % gateways_.size();
            try
            {
                connection.emplace(connect_tcp(gateways_[gateway], 1'000));
            }
            catch (const connection_error&)
            {
                std::this_thread::sleep_for(reconnect_pause);
                continue;
            }
        }
        it.gateway = gateway;
        const bool abandons = random() % 16 == 0;
        if (!make_call(*connection, it, abandons ? std::optional(2) : std::nullopt))
        {
            connection.reset();
        }
        add_record(std::move(it));
        std::this_thread::sleep_for(call_pause);
    }
}

void caller_group::add_record(call_record it)
{
    const std::lock_guard lock(mutex_);
    records_.push_back(std::move(it));
}

} // namespace pistachiopost::soak
