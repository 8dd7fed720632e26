/// \file
/// HTTP server for health checks of load balancers and for metrics collectors.
#pragma once

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

/// Responds to every request on `listener` with the result of `respond`, regardless of
/// the path, until `stop_fd` is readable. Each connection runs on its own task.
void serve_status(const unique_fd& listener, int stop_fd,
                  const std::function<status_response()>& respond);

} // namespace pistachiopost
