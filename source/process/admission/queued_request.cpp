#include "process/admission/queued_request.hpp"

namespace pistachiopost {

queued_request::queued_request(std::string_view customer,
                               const placement_request& request, time_point arrived,
                               time_point target_deadline,
                               const caller_deadlines& deadlines)
    : customer_(customer), request_(&request), arrived_(arrived),
      target_deadline_(target_deadline), deadlines_(deadlines),
      latest_start_(std::min(deadlines.first_event, deadlines.complete)),
      wake_(open_event_fd())
{
}

} // namespace pistachiopost
