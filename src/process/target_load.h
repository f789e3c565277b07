// The part of a report that changes constantly, compact enough to be sent every second.
#pragma once

#include <cstdint>

#include "process/report.h"

namespace arbutus {

// A target's load with each value quantised to a byte; counts above 255 become 255.
struct target_load {
  std::uint8_t running{};
  std::uint8_t queued{};
  std::uint8_t kv_percent{};
  std::uint8_t tokens_code{};  // tokens a second: logarithmic, 8 steps per octave; 0 for none
  auto operator<=>(const target_load&) const = default;
};
[[nodiscard]] target_load quantise_load(const engine_report& report);
void apply(const target_load& load, engine_report& report);

}  // namespace arbutus
