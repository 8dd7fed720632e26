#include "connection/vm_list_client.hpp"

#include "connection/status_server.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <sys/socket.h>

#include <string>

using namespace pistachiopost;

namespace {

/// A list service with one sound VM and one whose address and port are given.
struct vm_list_fixture
{
    vm_list_fixture(std::string_view host, std::string_view port)
        : body(fmt::format("[{},{}]", entry("sound", "10.0.0.1", "80"),
                           entry("odd", host, port)))
    {
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        address = {"127.0.0.1", ntohs(addr.sin_port)};
    }

    ~vm_list_fixture()
    {
        signal_event_fd(stop);
        serving.join();
    }

    static std::string entry(std::string_view vm, std::string_view host,
                             std::string_view port)
    {
        return fmt::format(R"({{"vm":"{}","address":"{}","port":{},"zone":"z",)"
                           R"("region":"r","kind":"engine","serves":"m",)"
                           R"("state":"live"}})",
                           vm, host, port);
    }

    std::string body;
    endpoint address;
    unique_fd listener = listen_tcp({"127.0.0.1", 0});
    unique_fd stop = open_event_fd();
    task serving{[this] {
        serve_status(listener, stop.get(), [this](const received_request&) {
            return status_response{200, "application/json", body};
        });
    }};
};

} // namespace

Test(vm_list_client, entry_with_an_address_or_port_out_of_range_is_ignored)
{
    constexpr std::pair<const char*, const char*> odd[] = {
        {"10.0.0.2", "0"},  {"10.0.0.2", "65536"}, {"10.0.0.2", "65616"},
        {"10.0.0.2", "-1"}, {"10.0.0.2", "80.5"},  {"10.0.0.2", "99999999999"},
        {"somewhere", "80"}};
    for (const auto& [host, port] : odd)
    {
        vm_list_fixture it(host, port);
        const auto list = vm_list_client(it.address, milliseconds{20'000}).fetch();
        cr_assert_eq(list->size(), 1U, "address %s, port %s", host, port);
        cr_assert_eq(list->front().vm, "sound");
    }
}
