// The planned stop of a node: when its calls have to end, so that each caller gets an answer in
// place of a closed connection.
#pragma once

#include <atomic>

#include "base/units.h"
#include "node/open_calls.h"

namespace arbutus {

// Thread-safe.
class planned_stop {
 public:
  // The node stops, and ends the calls that are still in progress at `calls_end_at`.
  void begin(time_point calls_end_at) { calls_end_at_ = calls_end_at; }

  // Whether a call with this deadline may last longer than this node, which stops.
  [[nodiscard]] bool may_outlast_node(time_point deadline) const {
    return deadline > calls_end_at_.load();
  }
  [[nodiscard]] bool must_end_calls(time_point now) const { return now >= calls_end_at_.load(); }
  // The latest time if the node does not stop.
  [[nodiscard]] time_point calls_end_at() const { return calls_end_at_; }

  // Waits until the calls have to end, and tells those in progress to. Suspends the fiber.
  void end_calls();

  open_calls calls;

 private:
  std::atomic<time_point> calls_end_at_{time_point::max()};
};

// Sent as Retry-After: another node takes the call at once.
inline constexpr duration retry_after_stopping = 10ms;
inline constexpr std::string_view stopping_reason = "this node stops before the call can end";

}  // namespace arbutus
