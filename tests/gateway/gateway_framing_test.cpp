/// Requests whose framing is faulty (RFC 9112, section 6.3). Where the gateway and
/// whoever wrote the request disagree on the end of its body, the rest of the body is
/// read as another request, which then runs.
#include "gateway_fixture.hpp"

#include <criterion/criterion.h>

#include <string>
#include <string_view>

using namespace pistachiopost;

namespace {

constexpr std::string_view hidden_request =
    "POST /once/hidden HTTP/1.1\r\nHost: a.test\r\nRequest-Id: hidden\r\n"
    "Api-Key: key-a\r\nContent-Length: 2\r\n\r\nhi";

/// A gateway before a service that answers every request.
struct framing_fixture : gateway_fixture
{
    framing_fixture() { add_backend(server, "i-1", "plain"); }
    ~framing_fixture() { join_connections(); }

    /// Sends a request with these framing fields, whose body holds another request.
    tcp_stream send(std::string_view framing, std::string_view body,
                    std::string_view version = "1.1")
    {
        auto caller = connect();
        send_text(caller, fmt::format("POST /once/outer HTTP/{}\r\nHost: a.test\r\n"
                                      "Request-Id: outer\r\nApi-Key: key-a\r\n{}\r\n{}",
                                      version, framing, body));
        return caller;
    }

    scripted_backend server{[](auto& stream, const auto& request) {
        send_response(stream, request, 200, "ok");
    }};
};

std::string chunked(std::string_view body)
{
    return fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
}

void assert_refused(std::string_view framing, std::string_view version = "1.1")
{
    framing_fixture gateway;
    for (const auto& body : {std::string(hidden_request), chunked(hidden_request)})
    {
        auto caller = gateway.send(framing, body, version);
        const auto answer = gateway_fixture::read_answer(caller);
        cr_assert_eq(answer.head.status, 400, "%s", std::string(framing).c_str());
        cr_assert_eq(answer.head.value("Connection"), "close");
        const auto next = gateway_fixture::read_answer(caller);
        cr_assert_eq(next.head.status, 0, "the rest of the body was answered");
    }
    cr_assert(gateway.server.requests().empty(), "%s", std::string(framing).c_str());
}

} // namespace

Test(gateway_framing, transfer_coding_that_does_not_end_in_chunked_is_refused)
{
    for (const auto* coding :
         {"gzip", "identity", "xchunked", "chunked, identity", "chunked, gzip",
          "chunkedx", "chunked;q=1", "\"chunked\"", ""})
    {
        assert_refused(fmt::format("Transfer-Encoding: {}\r\n", coding));
    }
}

/// The body that is passed on would not be the caller's: no other coding is decoded.
Test(gateway_framing, transfer_coding_beside_chunked_is_refused)
{
    assert_refused("Transfer-Encoding: gzip, chunked\r\n");
    assert_refused("Transfer-Encoding: chunked, chunked\r\n");
    assert_refused("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n");
    assert_refused("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n");
}

Test(gateway_framing, transfer_coding_beside_a_length_is_refused)
{
    assert_refused("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n");
    assert_refused("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n");
    assert_refused("Content-Length: 3\r\nTransfer-Encoding: identity\r\n");
}

/// HTTP/1.0 has no transfer codings.
Test(gateway_framing, transfer_coding_in_an_http_1_0_request_is_refused)
{
    assert_refused("Transfer-Encoding: chunked\r\n", "1.0");
    assert_refused("Transfer-Encoding: gzip\r\n", "1.0");
}

Test(gateway_framing, length_that_is_no_single_number_is_refused)
{
    for (const auto* length :
         {"-1", "+3", "3x", "0x3", "", "3 3", "99999999999999999999"})
    {
        assert_refused(fmt::format("Content-Length: {}\r\n", length));
    }
    assert_refused("Content-Length: 3\r\nContent-Length: 4\r\n");
    assert_refused("Transfer-Encoding : chunked\r\n");
    assert_refused("Content-Length : 3\r\n");
}

Test(gateway_framing, body_in_chunks_or_with_a_length_arrives_whole)
{
    framing_fixture gateway;
    const std::string length =
        fmt::format("Content-Length: {}\r\n", hidden_request.size());
    for (const auto* framing :
         {"Transfer-Encoding: chunked\r\n", "transfer-encoding: Chunked\r\n",
          "Transfer-Encoding:\t chunked \r\n"})
    {
        auto caller = gateway.send(framing, chunked(hidden_request));
        cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
    }
    auto caller = gateway.send(length, hidden_request);
    cr_assert_eq(gateway_fixture::read_answer(caller).head.status, 200);
    for (const auto& it : gateway.server.requests())
    {
        cr_assert_eq(it.body, hidden_request);
        cr_assert_eq(it.head.value("Request-Id"), "outer");
    }
    cr_assert_eq(gateway.server.requests().size(), 4U);
}
