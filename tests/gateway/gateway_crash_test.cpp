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
            add_backend(*servers.back(), fmt::format("i-{}", i), "model");
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
