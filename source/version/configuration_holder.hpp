/// \file
/// Holds the configuration version in force in this process.
#pragma once

#include "version/configuration.hpp"
#include "version/version_holder.hpp"

namespace pistachiopost {

/// The holder of the product's own configuration.
using configuration_holder = version_holder<configuration>;

} // namespace pistachiopost
