/// \file
/// Holds the current configuration version of this process.
#pragma once

#include "version/configuration.hpp"
#include "version/version_holder.hpp"

namespace pistachiopost {

/// Holder of the configuration of entries and agents.
using configuration_holder = version_holder<configuration>;

} // namespace pistachiopost
