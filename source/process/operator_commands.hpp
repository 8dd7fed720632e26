/// \file
/// Operator commands: changes by plan and confirmation, history, status.
#pragma once

#include "connection/unique_fd.hpp"

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Flags of an operator command.
struct operator_options
{
    std::string table;   ///< ADDRESS:PORT of the table service.
    std::string vms;     ///< ADDRESS:PORT of the VM list; required by drain.
    std::string entries; ///< Comma-separated ADDRESS:PORT of entries; required by status.
    std::string name;    ///< Name of the operator, recorded in plans.
    std::string reason;
    bool force = false; ///< Allow a drain of the last backend server.
    bool confirm_at_once = false;
    bool json = false; ///< Print JSON instead of text.
};

/// Invalid operator command. The message states the correct usage.
class operator_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Exit code if another plan was confirmed first on the same base version.
inline constexpr int exit_conflict = 3;

/// Returns whether `word` is the first word of an operator command.
bool is_operator_command(std::string_view word);

/// Runs a command such as {"customer", "add", "museum", "weight=2"}. `now` is Unix time
/// in seconds. Returns the exit code. Throws operator_error, table_error, version_error
/// and connection_error.
int run_operator_command(std::span<const std::string> words,
                         const operator_options& options, std::int64_t now);

} // namespace pistachiopost
