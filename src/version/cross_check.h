// Checks of a configuration that involve more than one record: references to missing records,
// duplicate names and endpoints, models that can never fit. They apply to configurations read from
// files and to those built in code.
#pragma once

#include "base/finding.h"
#include "version/import.h"
#include "version/inventory.h"
#include "version/rules.h"

namespace arbutus {

// Reports models that can never fit, or of which fewer replicas fit than are configured. Part of
// cross_check().
[[nodiscard]] findings check_capacity(const inventory& assets, const rules& desired,
                                      const place_index& places);

// Runs all checks and returns all findings. `places` maps each record to its place in the file; it
// may be empty.
[[nodiscard]] findings cross_check(const inventory& assets, const rules& desired,
                                   const place_index& places);

}  // namespace arbutus
