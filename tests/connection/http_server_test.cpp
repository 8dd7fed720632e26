/// Requests that the entry's server reads, with bodies cut in any way and with lines
/// without end. Guards against bounds that refuse a sound body because of its chunks, and
/// against lines that fill the memory of the process.
#include "connection/http_server.hpp"
#include "connection/tcp_stream.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <unistd.h>

using namespace pistachiopost;

namespace {

constexpr std::uint64_t max_body = 1'000'000;

http_limits small_limits()
{
    http_limits it;
    it.max_body_bytes = max_body;
    it.io_timeout = milliseconds{2'000};
    it.idle_timeout = milliseconds{2'000};
    return it;
}

/// A server that answers with the size of the body.
struct server_fixture
{
    server_fixture()
    {
        server.Post("/x", [](const httplib::Request&, httplib::Response& res,
                             const httplib::ContentReader& read) {
            std::size_t size = 0;
            const bool whole = read([&](const char*, std::size_t n) {
                size += n;
                return true;
            });
            res.set_content(whole ? std::to_string(size) : "broken", "text/plain");
        });
        server.bind(address);
        serving = task([this] { server.serve(); });
    }
    ~server_fixture()
    {
        server.stop_serving();
        serving.join();
    }

    /// Returns all that the server sends after this request; empty if it closes the
    /// connection.
    std::string answer_to(std::string_view text) const
    {
        std::string all;
        try
        {
            tcp_stream caller(connect_tcp(address, 2'000));
            const auto until = steady::now() + seconds{20};
            caller.send(text, until);
            while (wait_readable(caller.fd(), -1, until) == wake_cause::first &&
                   caller.receive())
            {
                all += caller.buffered();
                caller.consume(caller.buffered().size());
            }
        }
        catch (const connection_error&)
        {
            // Closed before the request was sent.
        }
        return all;
    }

    endpoint address{
        fmt::format("127.{}.{}.7", 1 + getpid() / 250 % 250, 1 + getpid() % 250), 7'311};
    http_server server{small_limits(), "{}"};
    task serving;
};

std::string head(std::string_view fields)
{
    return fmt::format("POST /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{}\r\n",
                       fields);
}

std::string chunks(std::size_t size, std::size_t chunk, std::string_view extension = "")
{
    std::string all;
    for (std::size_t n = 0; n < size; n += chunk)
    {
        const auto part = std::min(chunk, size - n);
        all += fmt::format("{:x}{}\r\n{}\r\n", part, extension, std::string(part, 'b'));
    }
    return all;
}

const std::string chunked = head("Transfer-Encoding: chunked\r\n");

} // namespace

Test(http_server, body_is_read_however_it_is_cut)
{
    const server_fixture it;
    constexpr std::size_t size = 400'000;
    for (const std::size_t chunk : {1, 2, 3, 100, 400'000})
    {
        const auto answer = it.answer_to(chunked + chunks(size, chunk) + "0\r\n\r\n");
        cr_assert(answer.ends_with("\r\n\r\n400000"), "chunks of %zu: %s", chunk,
                  answer.c_str());
    }
    cr_assert(it.answer_to(chunked + chunks(size, 1, ";n=1") + "0\r\n\r\n")
                  .ends_with("\r\n\r\n400000"));
}

Test(http_server, lines_without_end_are_not_read)
{
    const server_fixture it;
    const std::string line(200'000, 'l');
    std::string fields;
    while (fields.size() < line.size())
    {
        fields += "a:b\r\n";
    }
    std::string extensions;
    for (int n = 0; n < 200; ++n)
    {
        extensions += chunks(1, 1, ";" + std::string(1'000, 'e'));
    }
    for (const auto& text :
         {head(fields), head("X: " + line), fmt::format("{}1;{}", chunked, line),
          chunked + extensions, line})
    {
        cr_assert(it.answer_to(text).find("200 OK") == std::string::npos);
    }
    cr_assert(it.answer_to(chunked + "0\r\n\r\n").ends_with("\r\n\r\n0"));
}
