// The part of a report that changes all the time, small enough to be sent every second.
#pragma once

#include <cstdint>

#include "process/report.h"

namespace arbutus {

// Quantised to a byte each; counts saturate.
struct target_load {
  std::uint8_t running{};
  std::uint8_t queued{};
  std::uint8_t kv_percent{};
  std::uint8_t tokens_code{};  // logarithmic, 8 steps to an octave
  auto operator<=>(const target_load&) const = default;
};
[[nodiscard]] target_load quantise(const engine_report& report);
void apply(const target_load& load, engine_report& report);

}  // namespace arbutus
