/// \file
/// Errors of the version layer.
#pragma once

#include <stdexcept>

namespace pistachiopost {

/// A configuration version or a plan is invalid. The message states the item at fault.
class version_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace pistachiopost
