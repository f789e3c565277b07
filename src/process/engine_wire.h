// Wire format of reports, orders and refusals between a node and a target VM (JSON over HTTP).
#pragma once

#include <string>
#include <string_view>

#include "base/outcome.h"
#include "process/effects.h"
#include "process/report.h"

namespace arbutus {

[[nodiscard]] std::string encode(const engine_report& report);
[[nodiscard]] outcome<engine_report> decode_report(std::string_view text);

[[nodiscard]] std::string encode(const order& o);
[[nodiscard]] outcome<order> decode_order(std::string_view text);

// Whether the body of a target's error states that the target did not run the request.
[[nodiscard]] bool states_not_run(std::string_view error_body);

}  // namespace arbutus
