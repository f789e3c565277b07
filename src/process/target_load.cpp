#include "process/target_load.h"

#include <algorithm>
#include <cmath>

namespace arbutus {

namespace {

std::uint8_t saturate_to_byte(double value) {
  return static_cast<std::uint8_t>(std::clamp(std::lround(value), 0L, 255L));
}

}  // namespace

target_load quantise_load(const engine_report& report) {
  target_load load;
  load.running = saturate_to_byte(report.running);
  load.queued = saturate_to_byte(report.queued);
  load.kv_percent = saturate_to_byte(std::clamp(report.kv_used, 0.0, 1.0) * 100.0);
  if (report.tokens_per_second > 0) {
    const double octaves = std::clamp(std::log2(report.tokens_per_second), -3.0, 27.0);
    load.tokens_code = saturate_to_byte(std::max(1.0, 8.0 * octaves + 32.0));
  }
  return load;
}

void apply(const target_load& load, engine_report& report) {
  report.running = load.running;
  report.queued = load.queued;
  report.kv_used = load.kv_percent / 100.0;
  report.tokens_per_second =
      load.tokens_code == 0 ? 0.0 : std::exp2((load.tokens_code - 32.0) / 8.0);
}

}  // namespace arbutus
