#include "soak/callers.hpp"

#include "connection/http_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace pistachiopost::soak {

namespace {

// Pause of a caller after a call and after a refused connection.
constexpr milliseconds usual_pause{20};
constexpr milliseconds refused_pause{100};

std::string prompt_fields(call_sort sort)
{
    if (sort == call_sort::note)
    {
        return "Model: m\r\nToken-Count: 5000,500\r\n";
    }
    return sort == call_sort::dossier ? "Model: m\r\nToken-Count: 300000,200\r\n" : "";
}

std::string request_text(const call_record& it)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: soak.test\r\nRequest-Id: {}\r\n"
                       "Deadline-Ms: {}\r\nApi-Key: {}\r\n{}Content-Length: {}\r\n\r\n{}",
                       it.target, it.id, stated_time.count(), customer_key,
                       prompt_fields(it.sort), it.body_bytes,
                       std::string(it.body_bytes, 'x'));
}

} // namespace

std::string_view path_of(call_sort sort)
{
    switch (sort)
    {
    case call_sort::look_up:
        return "/look/";
    case call_sort::booking:
        return "/book/";
    case call_sort::note:
    case call_sort::dossier:
        break;
    }
    return "/read/";
}

bool make_call(tcp_stream& stream, call_record& it, std::optional<int> leave_after_events)
{
    it.sent = steady::now();
    const auto until = it.sent + caller_patience;
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
            if (leave_after_events && events >= *leave_after_events && !answer.done())
            {
                it.left = true;
                open = false;
            }
        }
        it.whole = answer.done() || (!open && !it.left && answer.end_of_stream());
    }
    catch (const connection_error&)
    {
        open = false; // the record shows how much was received
    }
    it.ended = steady::now();
    if (answer.has_head())
    {
        it.status = answer.head().status;
        it.proof = answer.head().value("Response-Stamp");
    }
    return open && it.whole && answer.keep_alive();
}

caller_group::caller_group(std::vector<endpoint> gateways, std::uint64_t seed,
                           std::size_t callers)
    : gateways_(std::move(gateways)), seed_(seed)
{
    for (std::size_t i = 0; i < callers; ++i)
    {
        tasks_.emplace_back([this, i] { work(i); });
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
    constexpr std::array sorts{call_sort::look_up, call_sort::booking, call_sort::booking,
                               call_sort::note,    call_sort::note,    call_sort::note,
                               call_sort::dossier};
    call_record it;
    it.id = fmt::format("{}-{}-{}", seed_, caller, n);
    it.sort = sorts[random() % sorts.size()];
    it.target = fmt::format("{}{}?n={}", path_of(it.sort), caller, n);
    it.body_bytes = random() % 2'000;
    return it;
}

void caller_group::work(std::size_t caller)
{
    std::mt19937_64 random(seed_ * 1'000 + caller);
    std::optional<tcp_stream> kept;
    std::size_t gateway = caller % gateways_.size();
    for (std::uint64_t n = 0; !stopped_; ++n)
    {
        auto it = next_call(random, caller, n);
        if (!kept)
        {
            gateway = random() % gateways_.size();
            try
            {
                kept.emplace(connect_tcp(gateways_[gateway], 1'000));
            }
            catch (const connection_error&)
            {
                std::this_thread::sleep_for(refused_pause);
                continue;
            }
        }
        it.gateway = gateway;
        const bool leaves = random() % 16 == 0;
        if (!make_call(*kept, it, leaves ? std::optional(2) : std::nullopt))
        {
            kept.reset();
        }
        add(std::move(it));
        std::this_thread::sleep_for(usual_pause);
    }
}

void caller_group::add(call_record it)
{
    const std::lock_guard lock(mutex_);
    records_.push_back(std::move(it));
}

} // namespace pistachiopost::soak
