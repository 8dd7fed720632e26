/// Configurations whose list of customers is empty or has lost its last key. Guards
/// against a gateway that takes an empty list for a deployment without customers and runs
/// requests with keys that were never valid, or without any.
#include "connection/codec_error.hpp"
#include "gateway_fixture.hpp"

#include <criterion/criterion.h>

#include <atomic>
#include <string>
#include <vector>

using namespace pistachiopost;

namespace {

using nlohmann::json;

json customer(const std::string& name, const json& keys)
{
    return json{{"name", name}, {"api-keys", keys}};
}

/// A gateway before a service whose answers can be held back.
struct customers_fixture : gateway_fixture
{
    customers_fixture() { add_backend(server, "i-1", "plain"); }
    ~customers_fixture()
    {
        held = false;
        join_connections();
    }

    /// Puts the next version in force, with this list of customers.
    void set_customers(const json& customers)
    {
        auto document = configuration_document(state->routes.version() + 1);
        document["tenants"] = customers;
        apply(document);
    }

    /// Puts the next version in force, without a list of customers.
    void drop_list_of_customers()
    {
        auto document = configuration_document(state->routes.version() + 1);
        document.erase("tenants");
        apply(document);
    }

    /// Sends a request with this header of its key, which may be missing.
    tcp_stream send(std::string_view path, std::string_view key_header)
    {
        auto caller = connect();
        send_text(caller, fmt::format("POST {} HTTP/1.1\r\nHost: a.test\r\n"
                                      "Request-Id: r1\r\nDeadline-Ms: 3000\r\n{}"
                                      "Content-Length: 0\r\n\r\n",
                                      path, key_header));
        return caller;
    }

    int status(std::string_view path, std::string_view key_header)
    {
        auto caller = send(path, key_header);
        return read_answer(caller).head.status;
    }

    void assert_nobody_is_admitted()
    {
        const auto before = server.requests().size();
        for (const auto* key : {"", "Api-Key: key-a\r\n", "Api-Key: never-held\r\n",
                                "Api-Key:\r\n", "Api-Key: \r\n"})
        {
            for (const auto* path : {"/safe/x", "/once/x"})
            {
                cr_assert_eq(status(path, key), 401, "%s %s", path, key);
            }
        }
        cr_assert_eq(server.requests().size(), before);
    }

    void wait_for_requests(std::size_t n)
    {
        while (server.requests().size() < n)
        {
            wait_readable(-1, -1, steady::now() + milliseconds{5});
        }
    }

    std::atomic<bool> held = false;
    scripted_backend server{[this](auto& stream, const auto& request) {
        while (held)
        {
            wait_readable(-1, -1, steady::now() + milliseconds{5});
        }
        send_response(stream, request, 200, "ok");
    }};
};

} // namespace

Test(gateway_customers, empty_list_admits_nobody)
{
    customers_fixture gateway;
    gateway.set_customers(json::array());
    gateway.assert_nobody_is_admitted();
}

Test(gateway_customers, list_emptied_one_by_one_admits_nobody)
{
    customers_fixture gateway;
    auto customers = json::array({customer("ann", {"key-a"}), customer("bea", {"key-b"}),
                                  customer("cem", {"key-c"})});
    for (gateway.set_customers(customers); !customers.empty();
         gateway.set_customers(customers))
    {
        const auto key = customers[0]["api-keys"][0].get<std::string>();
        const auto header = fmt::format("Api-Key: {}\r\n", key);
        cr_assert_eq(gateway.status("/safe/x", header), 200);
        customers.erase(customers.begin());
    }
    gateway.assert_nobody_is_admitted();
}

Test(gateway_customers, list_emptied_at_once_admits_nobody)
{
    customers_fixture gateway;
    gateway.set_customers(
        json::array({customer("ann", {"key-a"}), customer("bea", {"key-b"})}));
    cr_assert_eq(gateway.status("/safe/x", "Api-Key: key-b\r\n"), 200);
    gateway.set_customers(json::array());
    gateway.assert_nobody_is_admitted();
}

Test(gateway_customers, customers_without_keys_admit_nobody)
{
    customers_fixture gateway;
    gateway.set_customers(json::array({customer("ann", json::array()), {{"name", "b"}}}));
    gateway.assert_nobody_is_admitted();
}

/// A request without a key, or with an empty one, has the empty text as its key.
Test(gateway_customers, empty_key_of_a_customer_admits_nobody)
{
    customers_fixture gateway;
    gateway.set_customers(json::array({customer("ann", {""})}));
    gateway.assert_nobody_is_admitted();
}

Test(gateway_customers, public_route_is_served_when_no_customer_is_left)
{
    customers_fixture gateway;
    gateway.set_customers(json::array());
    cr_assert_eq(gateway.status("/open/x", "Tenant: ann\r\n"), 200);
    cr_assert_null(gateway.server.requests().at(0).head.find("Tenant"));
}

Test(gateway_customers, customer_added_to_an_empty_list_is_admitted)
{
    customers_fixture gateway;
    gateway.set_customers(json::array());
    gateway.set_customers(json::array({customer("bea", {"key-b"})}));
    cr_assert_eq(gateway.status("/safe/x", "Api-Key: key-b\r\n"), 200);
    cr_assert_eq(gateway.status("/safe/x", "Api-Key: key-a\r\n"), 401);
}

Test(gateway_customers, configuration_without_a_list_requires_no_key)
{
    customers_fixture gateway;
    gateway.drop_list_of_customers();
    cr_assert_eq(gateway.status("/safe/x", ""), 200);
    cr_assert_null(gateway.server.requests().at(0).head.find("Tenant"));
}

/// A list that cannot be read must not open the deployment: the version before it stays.
Test(gateway_customers, list_of_another_type_leaves_the_last_version_in_force)
{
    customers_fixture gateway;
    for (const auto& list : {json(nullptr), json::object(), json("ann"), json(0),
                             json(false), json{{"ann", customer("ann", {"key-z"})}}})
    {
        cr_assert_throw(gateway.set_customers(list), codec_error, "%s",
                        list.dump().c_str());
        cr_assert_eq(gateway.status("/safe/x", "Api-Key: key-z\r\n"), 401);
        cr_assert_eq(gateway.status("/safe/x", "Api-Key: key-a\r\n"), 200);
    }
}

/// What was admitted under a version keeps the customer of that version to its end.
Test(gateway_customers, requests_running_and_queued_when_the_list_becomes_empty_finish)
{
    constexpr std::size_t slots = 4; // of the backend server of the fixture
    customers_fixture gateway;
    gateway.held = true;
    std::vector<tcp_stream> callers;
    for (std::size_t n = 0; n < slots; ++n)
    {
        callers.push_back(gateway.send("/safe/x", "Api-Key: key-a\r\n"));
    }
    gateway.wait_for_requests(slots);
    callers.push_back(gateway.send("/safe/x", "Api-Key: key-a\r\n"));
    while (gateway.state->dispatch.waiting() == 0)
    {
        wait_readable(-1, -1, steady::now() + milliseconds{5});
    }
    gateway.set_customers(json::array());
    cr_assert_eq(gateway.status("/safe/x", "Api-Key: key-a\r\n"), 401);
    gateway.held = false;
    for (auto& it : callers)
    {
        cr_assert_eq(gateway_fixture::read_answer(it).head.status, 200);
    }
    for (const auto& it : gateway.server.requests())
    {
        cr_assert_eq(it.head.value("Tenant"), "ann");
    }
    gateway.assert_nobody_is_admitted();
}
