// Checks of a configuration that need more than one record: references, names and endpoints used
// twice, models that can never fit. For values from files as well as for those built in a program.
#pragma once

#include "base/finding.h"
#include "version/import.h"
#include "version/inventory.h"
#include "version/rules.h"

namespace arbutus {

// Models that can never fit, or not all of them; part of cross_check.
[[nodiscard]] findings check_room(const inventory& assets, const rules& desired,
                                  const place_index& places);

// All findings in one run. `places` says where each record was read; it may be empty.
[[nodiscard]] findings cross_check(const inventory& assets, const rules& desired,
                                   const place_index& places);

}  // namespace arbutus
