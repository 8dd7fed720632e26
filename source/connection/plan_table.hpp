/// \file
/// Storage of plans and configuration versions in the platform's table service.
#pragma once

#include "connection/table_rows.hpp"
#include "version/plan.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// A plan_store backed by the table service. All members throw table_error.
class plan_table
{
public:
    /// `timeout` bounds each call.
    plan_table(const endpoint& remote, milliseconds timeout);

    /// Returns the current configuration version and the plan that created it.
    configuration_head head();
    /// Returns the document of a configuration version.
    std::string document(std::uint64_t version);
    /// Returns the plan with this identifier, if it exists.
    std::optional<plan> find(std::string_view id);
    /// Commits a confirmed plan and its configuration document if the current version is
    /// still `base`; returns whether it was committed.
    bool commit(const plan& confirmed, std::uint64_t base, const std::string& document);
    /// Stores a new plan and adds it to the index.
    void add(const plan& it);
    /// Marks an open plan as discarded; returns false if it was not open.
    bool discard(const plan& it);
    /// Returns the identifiers of the plans in the index, oldest first.
    std::vector<std::string> newest();

private:
    table_rows rows_;
};

static_assert(plan_store<plan_table>);

} // namespace pistachiopost
