/// \file
/// Stub of a plain server that answers sound requests, and reads slowly, answers without
/// end or stays silent where the path of a request asks for it.
#pragma once

#include "soak/loopback_server.hpp"

#include <string>
#include <string_view>

namespace pistachiopost::abuse {

/// Serves one request on each connection.
class hostile_backend
{
public:
    explicit hostile_backend(std::string id);

    [[nodiscard]] endpoint local_endpoint() const { return server_.local_endpoint(); }
    [[nodiscard]] const std::string& id() const { return id_; }

private:
    void serve(unique_fd sock) const;
    void send_endless(tcp_stream& stream, std::string_view first,
                      std::string_view part) const;
    void read_slowly(tcp_stream& stream) const;

    std::string id_;
    soak::loopback_server server_;
};

} // namespace pistachiopost::abuse
