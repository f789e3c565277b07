// The state that a target reports about itself, and the time of that report. The target is the
// authority on its own state; nodes only have observations of it, which age.
#pragma once

#include <cstdint>
#include <string>

#include "base/id.h"
#include "base/units.h"
#include "version/assignment.h"

namespace arbutus {

enum class engine_state { idle, loading, ready, draining, failed };

// The response of a target VM to a probe.
struct engine_report {
  vm_id vm;
  std::uint64_t incarnation{};    // differs after every start of the engine process
  replica_id replica;             // empty: none
  generation fencing_generation;  // fencing token of the order in force at the target
  std::string model_version;
  engine_state state = engine_state::idle;
  bool leaving = false;  // the platform or the target reports that the VM will be removed
  std::uint32_t running{};
  std::uint32_t queued{};
  std::uint32_t slots{};
  double tokens_per_second{};  // of a single request, as measured by the engine
  double kv_used{};            // share of the KV cache in use, 0..1
  auto operator<=>(const engine_report&) const = default;
};

// `at` is a lower bound, by this node's clock, of the time at which the target made the report.
struct observation {
  engine_report report;
  time_point at;
};

}  // namespace arbutus
