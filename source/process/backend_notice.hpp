/// \file
/// What backend servers say about their own availability in the heads of their answers.
#pragma once

#include "process/membership/backend_record.hpp"
#include "request/time_types.hpp"

#include <functional>
#include <string_view>

namespace pistachiopost {

struct gateway_state;

/// Announcement of a backend server in the head of an answer.
struct backend_notice
{
    bool leaving = false;    ///< It shuts down and must get no new requests.
    milliseconds backoff{0}; ///< For which it must get no requests of this gateway.
    milliseconds cold{0};    ///< For which it tolerates few requests of all gateways.

    [[nodiscard]] bool empty() const
    {
        return !leaving && backoff.count() == 0 && cold.count() == 0;
    }
};

/// Called with each announcement as soon as the head of the answer has arrived.
using notice_handler = std::function<void(const backend_record&, const backend_notice&)>;

/// Applies the announcement that `backend` made in an answer to the request `request_id`.
void apply_notice(gateway_state& state, const backend_record& backend,
                  const backend_notice& notice, std::string_view request_id,
                  time_point now);

} // namespace pistachiopost
