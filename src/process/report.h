// What a target says of itself, and when it was seen. The truth about whether a VM works is the
// target's; nodes only hold observations of it that age.
#pragma once

#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/units.h"
#include "version/assignment.h"

namespace arbutus {

enum class engine_state { idle, loading, ready, draining, failed };

// The answer of a target VM to a probe.
struct engine_report {
  vm_id vm;
  std::uint64_t incarnation{};  // differs after every start of the engine process
  replica_id replica;           // empty: none
  generation gen;               // of the order it obeys
  std::string model_version;
  engine_state state = engine_state::idle;
  bool leaving = false;  // the platform or the target says the VM is going away
  std::uint32_t running{};
  std::uint32_t queued{};
  std::uint32_t slots{};
  double tokens_per_second{};  // of one request, as measured by the engine
  double kv_used{};            // 0..1
  auto operator<=>(const engine_report&) const = default;
};

// `at` is a lower bound, in this node's time, of the moment the target gave the report.
struct observation {
  engine_report report;
  time_point at;
};

}  // namespace arbutus
