/// \file
/// The head of an HTTP message, whatever library parsed it.
#pragma once

#include "connection/header_field.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Returns whether two header names are the same, whatever their case.
bool same_header_name(std::string_view a, std::string_view b);

/// Head of a request or of a response.
struct message_head
{
    std::string method; ///< Requests only.
    std::string target; ///< Requests only.
    int status = 0;     ///< Responses only.
    std::vector<header_field> fields;

    /// Returns the value of the first field with this name; null if there is none.
    [[nodiscard]] const std::string* find(std::string_view name) const;
    /// Returns the value of the first field with this name, or an empty view.
    [[nodiscard]] std::string_view value(std::string_view name) const;
};

/// Returns whether a field concerns one connection only (RFC 9110, 7.6.1) or is set
/// anew by each sender.
bool is_connection_field(std::string_view name);

} // namespace pistachiopost
