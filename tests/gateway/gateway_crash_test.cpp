#include "gateway_fixture.hpp"

#include <thread>

using namespace pistachiopost;

namespace {

constexpr std::string_view crashing_part = "dead01:300";

/// Begins an answer and drops the connection if the prompt holds the crashing part.
void crash_on_part(tcp_stream& stream, const received_request& request)
{
    if (request.head.value("Prompt-Prefix").find(crashing_part) != std::string_view::npos)
    {
        begin_event_stream(stream, request);
        return;
    }
    send_event_stream(stream, request, 1, 2);
}

/// A gateway before backend servers that crash on one part of a prompt.
struct crash_fixture : gateway_fixture
{
    crash_fixture()
    {
        for (int i = 0; i < 9; ++i)
        {
            servers.push_back(std::make_unique<scripted_backend>(crash_on_part));
        }
        start_servers();
    }

    /// Lists each backend server with a new start time.
    void start_servers()
    {
        ++starts;
        for (std::size_t i = 0; i < servers.size(); ++i)
        {
            const backend_record record{fmt::format("i-{}", i),
                                        "model",
                                        servers[i]->address,
                                        "z",
                                        4,
                                        false,
                                        starts};
            state->dispatch.update_registry(
                steady::now(), [&](auto& it) { it.upsert(record, steady::now()); });
        }
    }

    /// Sends a request whose prompt consists of `parts` and a part of its own.
    received_answer send_prompt(std::string_view parts)
    {
        const auto own = ++sent;
        const auto headers = fmt::format("{}Prompt-Prefix: {},{:x}:100\r\n",
                                         prompt_headers(1'000), parts, 0xa000 + own);
        return send_request("/stream/x", headers, fmt::format("prompt {}", own));
    }

    /// Lets different requests with the crashing part end backend servers in turn.
    void crash_servers()
    {
        for (int i = 0; i < 3; ++i)
        {
            send_prompt("c0:500,dead01:300");
            std::this_thread::sleep_for(milliseconds{300});
            start_servers();
        }
    }

    std::size_t received()
    {
        std::size_t n = 0;
        for (auto& it : servers)
        {
            n += it->requests().size();
        }
        return n;
    }

    std::vector<std::unique_ptr<scripted_backend>> servers;
    std::int64_t starts = 0;
    int sent = 0;
};

} // namespace

Test(gateway_crash, new_request_with_a_part_that_crashed_backend_servers_reaches_none)
{
    crash_fixture it;
    it.crash_servers();
    const auto before = it.received();
    cr_assert_eq(it.send_prompt("c0:500,dead01:300").head.status, 502);
    cr_assert_eq(it.send_prompt("c1:200,dead01:300,b7:20").head.status, 502);
    cr_assert_eq(it.received(), before);
}

Test(gateway_crash, request_that_shares_the_other_parts_with_a_crashing_one_is_served)
{
    crash_fixture it;
    it.send_prompt("c0:500");
    it.crash_servers();
    const auto answer = it.send_prompt("c0:500,5a:300");
    cr_assert_eq(answer.head.status, 200);
    cr_assert(answer.complete);
}

Test(gateway_crash, repeat_of_a_request_that_became_blocked_reaches_no_server)
{
    crash_fixture it;
    const std::vector<suspect> part{{0xdead01, suspect_kind::prompt_part}};
    const auto now = steady::now();
    for (int i = 0; i < 2; ++i)
    {
        it.state->crashes.add_broken_attempt(part, {"i-90", i}, answer_progress::begun,
                                             now - seconds{2 - i});
    }
    cr_assert_eq(it.send_prompt("dead01:300").head.status, 502);
    cr_assert_eq(it.received(), 1U);
}
