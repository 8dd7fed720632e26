/// \file
/// The operators' commands: intents, plans, confirmations, history, status.
#pragma once

#include "connection/unique_fd.hpp"

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// What the flags of an operator's command say.
struct operator_options
{
    std::string table;   ///< ADDRESS:PORT of the table service.
    std::string vms;     ///< ADDRESS:PORT of the VM list; needed by drain.
    std::string entries; ///< ADDRESS:PORT of entries, by comma; needed by status.
    std::string name;    ///< Who acts.
    std::string reason;
    bool force = false; ///< Allow a drain that leaves nothing.
    bool confirm_at_once = false;
    bool json = false; ///< Output as JSON rather than text.
};

/// An operator's command is wrong. The message says what to type.
class operator_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Exit code of a confirmation that another plan overtook.
inline constexpr int exit_overtaken = 3;

/// Returns whether `word` starts an operator's command.
bool is_operator_command(std::string_view word);

/// Runs a command such as {"customer", "add", "museum", "weight=2"} at `now`, in
/// seconds since 1970. Returns the exit code. Throws operator_error, table_error,
/// version_error and connection_error.
int run_operator_command(std::span<const std::string> words,
                         const operator_options& options, std::int64_t now);

} // namespace pistachiopost
