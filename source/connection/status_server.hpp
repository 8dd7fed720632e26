/// \file
/// HTTP server for health checks of load balancers, for metrics collectors and for peers.
#pragma once

#include "connection/http_reader.hpp"
#include "connection/unique_fd.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace pistachiopost {

struct status_response
{
    int status = 200;
    std::string_view type = "text/plain";
    std::string body;
};

/// Accepts connections on `listener` and passes each to `serve`, until `stop_fd` is
/// readable.
void accept_until(const unique_fd& listener, int stop_fd,
                  const std::function<void(unique_fd)>& serve);

/// Returns the response to a request.
using request_handler = std::function<status_response(const received_request& request)>;

/// Responds to every request on `listener` with the result of `respond`, until `stop_fd`
/// is readable. Each connection runs on its own task.
void serve_status(const unique_fd& listener, int stop_fd, const request_handler& respond);

} // namespace pistachiopost
