// A node's status as JSON, for `status` and for programs.
#pragma once

#include <string>

#include "process/status_view.h"

namespace arbutus {

// Moments are given as seconds before `now`.
[[nodiscard]] std::string status_json(const status_view& view, time_point now);

}  // namespace arbutus
