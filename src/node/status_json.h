// A node's status as JSON, for the `status` command and for programs.
#pragma once

#include <string>

#include "process/status_view.h"

namespace arbutus {

// Points in time are given as seconds before `now`.
[[nodiscard]] std::string status_json(const status_view& view, time_point now);

}  // namespace arbutus
