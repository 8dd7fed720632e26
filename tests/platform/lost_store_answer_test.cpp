/// Answers of the store that are lost while the connection stays alive. A gateway that
/// keeps waiting for such an answer acts on an old configuration, although the store
/// answers every new call.
#include "connection/relay_client.hpp"
#include "connection/status_server.hpp"
#include "platform/adapter.hpp"
#include "process/relayed_store.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <atomic>
#include <list>
#include <string>
#include <vector>

using namespace pistachiopost;

namespace {

constexpr std::uint64_t old_version = 5;
constexpr std::uint64_t new_version = 8;
// Far over the time limit of a test: the call itself never ends the wait.
constexpr milliseconds endless{3'600'000};

/// A store that answers calls without a wait with `version` and leaves those that wait
/// unanswered, on connections that stay open.
class losing_store
{
public:
    losing_store()
    {
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        address = {"127.0.0.1", ntohs(addr.sin_port)};
    }

    ~losing_store()
    {
        signal_event_fd(stop_);
        serving_.join();
    }

    losing_store(const losing_store&) = delete;
    losing_store& operator=(const losing_store&) = delete;

    endpoint address;
    std::atomic<std::uint64_t> version = old_version;
    std::atomic<int> calls = 0;
    std::atomic<int> waits_lost = 0;
    std::atomic<int> connections = 0;

private:
    void accept()
    {
        std::list<task> serving;
        accept_until(listener_, stop_.get(), [&](unique_fd sock) {
            ++connections;
            auto shared = std::make_shared<unique_fd>(std::move(sock));
            serving.emplace_back([this, shared] { serve(std::move(*shared)); });
        });
        for (auto& it : serving)
        {
            it.join();
        }
    }

    void serve(unique_fd sock)
    {
        tcp_stream stream(std::move(sock));
        try
        {
            for (received_request request;
                 read_request(stream, caller_limits(), stop_.get(), request) ==
                 request_outcome::complete;
                 request = {})
            {
                ++calls;
                if (request.head.target.find("wait-ms=0") == std::string::npos)
                {
                    ++waits_lost;
                    wait_readable(stream.fd(), stop_.get(), steady::now() + endless);
                    return;
                }
                const auto body = fmt::format(
                    R"({{"rows":[{{"key":"a","value":"aGk=","ver":{}}}],"ver":{}}})",
                    version.load(), version.load());
                stream.send(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                                        body.size(), body),
                            steady::now() + seconds{5});
            }
        }
        catch (const connection_error&)
        {
            // The gateway gave the call up.
        }
    }

    unique_fd listener_ = listen_tcp({"127.0.0.1", 0});
    unique_fd stop_ = open_event_fd();
    task serving_{[this] { accept(); }};
};

/// A gateway that watches a table of the store above and has read it once.
struct lost_answer_fixture
{
    lost_answer_fixture()
    {
        directory.add_published({}, steady::now() - seconds{10});
        cr_assert_eq(ask().version.number, old_version);
        store.version = new_version;
    }

    row_batch ask() { return watched.wait_for_changes("t", {0, old_version}, endless); }

    /// Hears a larger gateway of another zone that watches the store.
    void hear_other(std::uint64_t known_version)
    {
        store_status status;
        status.watches = {true, true};
        status.changes.fill({0, known_version});
        directory.record_message({"big", {"10.0.0.1", 1}, "b", 1}, status, steady::now());
    }

    losing_store store;
    gateway_directory directory{{"me", {"10.0.0.9", 1}, "a", 0.1},
                                steady::now() - seconds{10}};
    table_cache cache;
    relayed_store<platform::store_client, relay_client> watched{
        platform::store_client(store.address), directory, watched_table::configuration,
        cache};
};

} // namespace

/// The only gateway that watches the store, or the only one left: nobody else tells it.
Test(lost_store_answer, gateway_that_hears_no_other_asks_again)
{
    lost_answer_fixture it;
    cr_assert_eq(it.ask().version.number, new_version);
    cr_assert_eq(it.store.waits_lost, 1);
    cr_assert_eq(it.store.connections, 2, "the dead connection is not used again");
}

/// One gateway of many lost the answer. Its call is not due to end for long.
Test(lost_store_answer, newer_version_announced_by_another_gateway_ends_the_wait)
{
    lost_answer_fixture it;
    it.hear_other(old_version);
    std::atomic<bool> answered = false;
    task others([&] {
        while (!answered)
        {
            std::this_thread::sleep_for(milliseconds{50});
            it.hear_other(new_version);
        }
    });
    cr_assert_eq(it.ask().version.number, new_version);
    answered = true;
    others.join();
}

/// The gateway that asked on behalf of the others is gone, and all other calls are dead.
Test(lost_store_answer, gateway_takes_over_from_one_that_falls_silent)
{
    lost_answer_fixture it;
    it.hear_other(old_version);
    cr_assert_eq(it.ask().version.number, new_version);
}

/// Calls are charged: those of the other gateways wait for as long as the store allows.
Test(lost_store_answer, healthy_wait_of_the_others_costs_no_further_call)
{
    lost_answer_fixture it;
    it.hear_other(old_version);
    std::atomic<bool> stopped = false;
    task others([&] {
        while (!stopped)
        {
            std::this_thread::sleep_for(milliseconds{50});
            it.hear_other(old_version);
        }
    });
    task waiting([&] { it.ask(); });
    std::this_thread::sleep_for(seconds{3});
    const int calls = it.store.calls;
    stopped = true; // the gateway takes over and its wait ends
    others.join();
    waiting.join();
    cr_assert_eq(calls, 2);
}
