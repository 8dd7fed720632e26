#include "process/admission/queued_request.hpp"

namespace pistachiopost {

queued_request::queued_request(std::string_view customer,
                               const placement_request& request, time_point arrived,
                               time_point target_deadline, time_point urgent_from)
    : customer_(customer), request_(&request), arrived_(arrived),
      target_deadline_(target_deadline), urgent_from_(urgent_from), wake_(open_event_fd())
{
}

} // namespace pistachiopost
