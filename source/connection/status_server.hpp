/// \file
/// Answers the small questions of a balancer and of metric collectors.
#pragma once

#include "connection/unique_fd.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace pistachiopost {

/// One answer.
struct status_answer
{
    int status = 200;
    std::string_view type = "text/plain";
    std::string body;
};

/// Accepts connections on `listener` until `stop_fd` is readable and gives each to
/// `serve`.
void accept_until(const unique_fd& listener, int stop_fd,
                  const std::function<void(unique_fd)>& serve);

/// Serves `answer` on `listener`, whatever the path, until `stop_fd` is readable. Each
/// connection has a task of its own.
void serve_status(const unique_fd& listener, int stop_fd,
                  const std::function<status_answer()>& answer);

} // namespace pistachiopost
