/// \file
/// A header field, of HTTP/1.1 and of HTTP/2.
#pragma once

#include <string>

namespace pistachiopost {

/// One header field.
struct header_field
{
    std::string name;
    std::string value;
};

} // namespace pistachiopost
