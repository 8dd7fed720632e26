#include "gateway_fixture.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

using namespace pistachiopost;

namespace {

/// Sends a complete answer with further header fields.
void send_answer_with(tcp_stream& stream, const received_request& request,
                      std::string_view fields)
{
    send_text(stream, fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n"
                                  "Response-Stamp: s\r\n{}Content-Length: 2\r\n\r\nok",
                                  request_id_of(request), fields));
}

void answer_as_leaving(tcp_stream& stream, const received_request& request)
{
    send_answer_with(stream, request, "Server-Leaving: 1\r\n");
}

void answer_as_ready(tcp_stream& stream, const received_request& request)
{
    send_answer_with(stream, request, "");
}

/// A gateway before two backend servers of the plain service; `first` runs a script, the
/// other one answers all requests.
struct pair_fixture : gateway_fixture
{
    explicit pair_fixture(const scripted_backend::script& script)
        : first(script), second(answer_as_ready)
    {
        add_backend(first, "i-1", "plain");
    }

    /// Adds the second backend server, which gets no request before.
    void add_second() { add_backend(second, "i-2", "plain"); }

    /// Sends `n` requests one after the other and returns how many succeed.
    int send_requests(int n)
    {
        int answered = 0;
        for (int i = 0; i < n; ++i)
        {
            answered += send_request("/safe/x").head.status == 200 ? 1 : 0;
        }
        return answered;
    }

    scripted_backend first;
    scripted_backend second;
};

} // namespace

Test(gateway_availability, backend_server_that_said_it_leaves_gets_no_request)
{
    pair_fixture it(answer_as_leaving);
    cr_assert_eq(it.send_requests(1), 1);
    it.add_second();
    it.add_backend(it.first, "i-1", "plain"); // the list lags
    cr_assert_eq(it.send_requests(20), 20);
    cr_assert_eq(it.first.requests().size(), 1U);
}

Test(gateway_availability, backend_server_that_refuses_because_it_leaves_gets_no_request)
{
    pair_fixture it([](auto& stream, const auto&) {
        send_text(stream, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nServer-Leaving: 1\r\n"
                          "Content-Length: 0\r\n\r\n");
    });
    it.add_second();
    cr_assert_eq(it.send_requests(20), 20);
    std::this_thread::sleep_for(milliseconds{200}); // longer than a first ejection
    cr_assert_eq(it.send_requests(20), 20);
    cr_assert_leq(it.first.requests().size(), 1U);
}

Test(gateway_availability,
     backend_server_that_leaves_while_its_stream_runs_gets_no_request)
{
    const auto finish = open_event_fd();
    const auto respond = [&](tcp_stream& stream, const received_request& request) {
        send_text(stream,
                  fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                              "Content-Type: text/event-stream\r\nServer-Leaving: 1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n",
                              request_id_of(request)));
        send_chunk(stream, event(1));
        wait_readable(finish.get(), -1, steady::now() + milliseconds{800});
        send_chunk(stream, event(2));
        send_text(stream, "0\r\n\r\n");
    };
    scripted_backend leaving(respond);
    scripted_backend ready([](auto& stream, const auto& request) {
        send_event_stream(stream, request, 1, 1);
    });
    gateway_fixture gateway;
    gateway.add_backend(leaving, "i-1", "model");
    auto caller = gateway.connect();
    send_text(caller, gateway_fixture::request("/stream/x", prompt_headers(1'000)));
    wait_readable(caller.fd(), -1, steady::now() + seconds{5});
    gateway.add_backend(ready, "i-2", "model");
    for (int i = 0; i < 10; ++i)
    {
        cr_assert(gateway.send_request("/stream/x", prompt_headers(1'000)).complete);
    }
    cr_assert_eq(leaving.requests().size(), 1U);
    signal_event_fd(finish);
    const auto answer = gateway_fixture::read_answer(caller);
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2));
}

Test(gateway_availability, restarted_backend_server_gets_requests_again)
{
    std::atomic<bool> restarted = false;
    pair_fixture it([&](auto& stream, const auto& request) {
        restarted ? answer_as_ready(stream, request) : answer_as_leaving(stream, request);
    });
    cr_assert_eq(it.send_requests(1), 1);
    restarted = true;
    const backend_record record{"i-1", "plain", it.first.address, "z", 4, false, 2};
    it.state->dispatch.update_registry(
        steady::now(), [&](auto& registry) { registry.upsert(record, steady::now()); });
    cr_assert_eq(it.send_requests(3), 3);
}

Test(gateway_availability, request_is_refused_if_the_only_backend_server_leaves)
{
    pair_fixture it(answer_as_leaving);
    cr_assert_eq(it.send_requests(1), 1);
    const auto answer = it.send_request("/once/x");
    cr_assert_eq(answer.head.status, 503);
    cr_assert_eq(it.first.requests().size(), 1U);
}

Test(gateway_availability, helper_that_says_leaving_in_a_memory_order_is_replaced)
{
    std::atomic<bool> said = false;
    std::atomic<int> after_news = 0; // other than the release of its memory
    const auto serve = [&](bool& leaving, tcp_stream& stream, const auto& request) {
        const bool order = request.head.target == "/v1/order";
        if (leaving && request.body.find("release") == std::string::npos)
        {
            ++after_news;
        }
        leaving = leaving || (order && !said.exchange(true));
        if (order)
        {
            send_text(stream, fmt::format("HTTP/1.1 200 OK\r\n{}"
                                          "Content-Length: 2\r\n\r\n{{}}",
                                          leaving ? "Server-Leaving: 1\r\n" : ""));
            return;
        }
        send_event_stream(stream, request, 1, 1);
    };
    std::array<bool, 3> leaving{};
    const auto script_of = [&](std::size_t i) {
        return [&, i](tcp_stream& stream, const received_request& request) {
            serve(leaving.at(i), stream, request);
        };
    };
    const scripted_backend one(script_of(0));
    const scripted_backend two(script_of(1));
    const scripted_backend three(script_of(2));
    gateway_fixture gateway;
    gateway.configure(2, 50'000);
    gateway.add_backend(one, "i-1", "model");
    gateway.add_backend(two, "i-2", "model");
    gateway.add_backend(three, "i-3", "model");
    for (int i = 0; i < 3; ++i)
    {
        cr_assert(gateway.send_request("/stream/x", prompt_headers(80'000)).complete);
    }
    cr_assert(said);
    gateway.join_connections();
    cr_assert_eq(after_news, 0);
}

namespace {

/// Refuses a request and asks for no further one for `seconds`.
void refuse_with_retry_after(tcp_stream& stream, std::string_view seconds)
{
    send_text(stream, fmt::format("HTTP/1.1 503 x\r\nNot-Run: 1\r\nRetry-After: {}\r\n"
                                  "Content-Length: 0\r\n\r\n",
                                  seconds));
}

/// A gateway before one backend server that refuses with Retry-After while that time
/// lasts from its first answer, and then answers.
struct backoff_fixture : gateway_fixture
{
    backoff_fixture(std::string_view retry_after, milliseconds lasts)
        : server([this, retry_after, lasts](auto& stream, const auto& request) {
              const auto now = steady::now();
              {
                  const std::lock_guard lock(mutex);
                  arrivals.push_back(now);
              }
              if (now - arrivals.front() < lasts)
              {
                  refuse_with_retry_after(stream, retry_after);
                  return;
              }
              answer_as_ready(stream, request);
          })
    {
        add_backend(server, "i-1", "plain");
    }

    /// Returns the arrivals from half a second after the first answer to the end of the
    /// time that it stated.
    std::size_t arrivals_in(milliseconds lasts)
    {
        const std::lock_guard lock(mutex);
        const auto begin = arrivals.front() + milliseconds{500};
        const auto end = arrivals.front() + lasts;
        return static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(),
                          [&](time_point it) { return it >= begin && it < end; }));
    }

    std::mutex mutex;
    std::vector<time_point> arrivals;
    scripted_backend server;
};

} // namespace

Test(gateway_availability, backend_server_that_asks_for_backoff_gets_at_most_two_requests)
{
    constexpr milliseconds backoff{2'000};
    backoff_fixture it("2", backoff);
    std::atomic<int> answered = 0;
    std::vector<task> callers;
    for (int i = 0; i < 20; ++i)
    {
        callers.emplace_back([&, caller = std::make_shared<tcp_stream>(it.connect())] {
            send_text(*caller, gateway_fixture::request("/safe/x"));
            answered += gateway_fixture::read_answer(*caller).head.status == 200 ? 1 : 0;
        });
        std::this_thread::sleep_for(milliseconds{95});
    }
    for (auto& one : callers)
    {
        one.join();
    }
    cr_assert_leq(it.arrivals_in(backoff), 2U);
    cr_assert_eq(answered, 20, "requests that waited must be served afterwards");
}

Test(gateway_availability, request_refused_with_short_retry_after_is_served_at_its_end)
{
    backoff_fixture it("0.7", milliseconds{700});
    const auto began = steady::now();
    cr_assert_eq(it.send_request("/once/x").head.status, 200);
    const auto elapsed = steady::now() - began;
    cr_assert_geq(elapsed, milliseconds{700});
    cr_assert_lt(elapsed, milliseconds{2'000}, "must not wait for the queue timeout");
}

Test(gateway_availability,
     request_is_refused_at_once_if_no_backend_server_returns_in_time)
{
    constexpr double stated_s = 30;
    backoff_fixture it("30", seconds{30});
    for (int i = 0; i < 2; ++i)
    {
        const auto began = steady::now();
        const auto answer = it.send_request("/once/x");
        cr_assert_eq(answer.head.status, 503);
        cr_assert_lt(steady::now() - began, seconds{1});
        const auto retry_after = std::stod(std::string(answer.head.value("Retry-After")));
        cr_assert_gt(retry_after, stated_s - 2);
    }
    cr_assert_eq(it.server.requests().size(), 1U);
}

Test(gateway_availability, waiting_request_is_refused_once_the_only_backend_server_is_out)
{
    const auto refuse = open_event_fd();
    const scripted_backend server([&](auto& stream, const auto&) {
        wait_readable(refuse.get(), -1, steady::now() + seconds{5});
        refuse_with_retry_after(stream, "30");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "plain");
    std::vector<tcp_stream> callers;
    for (int i = 0; i < 6; ++i) // four run, two wait
    {
        callers.push_back(gateway.connect());
        send_text(callers.back(), gateway_fixture::request("/once/x"));
    }
    while (gateway.state->dispatch.waiting() < 2)
    {
        std::this_thread::sleep_for(milliseconds{1});
    }
    signal_event_fd(refuse);
    const auto began = steady::now();
    for (auto& caller : callers)
    {
        cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 503);
    }
    cr_assert_lt(steady::now() - began, seconds{1});
}
