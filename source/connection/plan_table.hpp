/// \file
/// Plans and configuration versions in the platform's table service.
#pragma once

#include "connection/table_rows.hpp"
#include "version/plan.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// The plan_store over HTTP. All members throw table_error.
class plan_table
{
public:
    /// Calls wait at most `timeout`.
    plan_table(const endpoint& where, milliseconds timeout);

    /// Returns the newest version and its plan.
    configuration_head head();
    /// Returns the document of a version.
    std::string document(std::uint64_t version);
    /// Returns a plan, if there is one.
    std::optional<plan> find(std::string_view id);
    /// Puts a confirmed plan in force on condition that the head is `base`.
    bool commit(const plan& confirmed, std::uint64_t base, const std::string& document);
    /// Keeps a new plan and lists it.
    void add(const plan& it);
    /// Discards an open plan; returns whether it was open.
    bool discard(const plan& it);
    /// Returns the identifiers of the newest plans, oldest first.
    std::vector<std::string> newest();

private:
    table_rows rows_;
};

static_assert(plan_store<plan_table>);

} // namespace pistachiopost
