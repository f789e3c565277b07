// Processor time and bytes that a node spends on control, by part. A value; callers measure.
//
// Without this, a hub that is late shows only that its processor is busy: whether it decides,
// encodes heartbeats or reads those of its nodes cannot be told from its log.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/units.h"

namespace arbutus {

enum class control_part : std::uint8_t {
  decisions,  // stalls, probes, poison requests, replica controllers
  compose,    // content of heartbeats to peers
  encode,     // heartbeats to bytes, and their queueing
  decode,     // bytes to heartbeats
  apply,      // content of peers' heartbeats
};
inline constexpr std::size_t control_part_count = 5;
[[nodiscard]] constexpr std::string_view to_string(control_part part) {
  constexpr std::array<std::string_view, control_part_count> names = {"decisions", "compose",
                                                                      "encode", "decode", "apply"};
  return names[static_cast<std::size_t>(part)];
}

// Sums since the last log line about them.
struct control_costs {
  std::array<duration, control_part_count> processor_time{};
  std::uint64_t heartbeats_out = 0;
  std::uint64_t heartbeat_bytes_out = 0;
  std::uint64_t loads_out = 0;       // loads of heads in these heartbeats, without updates of loads
  std::uint64_t load_bytes_out = 0;  // bytes of updates of loads in them
  std::uint64_t rows_out = 0;        // rows of targets and of serving replicas in them
  std::uint64_t heartbeats_in = 0;
  std::uint64_t heartbeat_bytes_in = 0;

  void add(control_part part, duration took) {
    processor_time[static_cast<std::size_t>(part)] += took;
  }
  [[nodiscard]] duration of(control_part part) const {
    return processor_time[static_cast<std::size_t>(part)];
  }
};

}  // namespace arbutus
