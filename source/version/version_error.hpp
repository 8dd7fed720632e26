/// \file
/// Errors of the version layer.
#pragma once

#include <stdexcept>

namespace pistachiopost {

/// A configuration version contradicts itself. The message names the item.
class version_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace pistachiopost
