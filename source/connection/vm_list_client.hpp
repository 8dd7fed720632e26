/// \file
/// Client of the platform's list of VMs.
#pragma once

#include "connection/http_client.hpp"
#include "process/backend_directory.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pistachiopost {

/// Reads the VM list. Not thread-safe.
class vm_list_client
{
public:
    vm_list_client(const endpoint& remote, milliseconds timeout);

    /// Returns the list if it has changed since the last call. Malformed entries are
    /// skipped. Throws connection_error.
    std::optional<std::vector<backend_server>> fetch();

private:
    http_client http_;
    std::string etag_;
};

} // namespace pistachiopost
