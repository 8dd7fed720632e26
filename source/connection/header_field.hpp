/// \file
/// Header field of an HTTP/1.1 or HTTP/2 message.
#pragma once

#include <string>

namespace pistachiopost {

struct header_field
{
    std::string name;
    std::string value;
};

} // namespace pistachiopost
