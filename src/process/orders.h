// Brings each target VM to its desired state in the row, by idempotent orders.
//
// One node sends to a VM; the others send only if the VM still differs from its desired state after
// the delay of their rank. Only a target's own report shows that an order took effect, so a lost
// answer needs no special case.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"
#include "process/effects.h"
#include "process/rank.h"
#include "process/report.h"
#include "version/assignment.h"

namespace arbutus {

// The sender and the target of an order both discard it after this time.
inline constexpr duration order_validity_period = 2s;
// A node of rank r delays an order to a target by r times this. Longer than an order and the urgent
// heartbeat that reports its effect take.
inline constexpr duration order_rank_delay = 500ms;
inline constexpr duration order_backoff_first = 200ms;
inline constexpr duration order_backoff_max = 5s;
// An order is not sent if this node's newest observation of the target is older than this.
inline constexpr duration order_max_observation_age = 3s;

// The state that a VM should be in, as the kind of order that brings it there and its arguments.
struct desired_state {
  order_kind kind = order_kind::form;
  composition target;
  model_id model;
  std::string model_version;
  auto operator<=>(const desired_state&) const = default;
};

// Whether a VM that reports `r` is in the desired state or on its way to it.
[[nodiscard]] bool satisfied(const desired_state& desired, const engine_report& r);

// The VMs of the data centre that need an order, with their desired state, according to their
// reports. `in_force` gives the composition of a replica, activations included.
[[nodiscard]] std::map<vm_id, desired_state> desired_states(
    const assignment& row, const std::function<composition(const replica_plan&)>& in_force,
    const std::map<vm_id, engine_report>& reports);

struct order_context {
  const std::map<vm_id, desired_state>& desired;
  // Position of this node among those that may send to the VM; 0 sends immediately.
  std::function<std::size_t(const vm_id&)> rank;
  // Newest observation of the VM; null if there is none, or if the VM is lost, suspect or leaving.
  std::function<const observation*(const vm_id&)> reachable;
};

struct order_counters {
  std::uint64_t sent{};
  std::uint64_t refused{};
  std::uint64_t unknown_replies{};
};

class order_dispatcher {
 public:
  explicit order_dispatcher(std::uint64_t seed) : random_(seed) {}

  [[nodiscard]] std::vector<order> tick(time_point now, const order_context& context);
  // Handles the result of an order. Returns when the order was sent, if it is still open at this
  // node; the report in the result is not older than that.
  [[nodiscard]] std::optional<time_point> on_result(time_point now, const order_result& result);
  [[nodiscard]] time_point next_tick() const { return next_tick_; }
  [[nodiscard]] const order_counters& counters() const { return counters_; }

 private:
  struct order_state {
    desired_state desired;
    time_point since;
    time_point not_before{};
    std::optional<time_point> sent_at{};  // when the open order was sent; empty: none is open
    backoff retry_backoff{order_backoff_first, order_backoff_max};
  };
  [[nodiscard]] std::optional<order> order_if_due(time_point now, const vm_id& vm, order_state& n,
                                                  const order_context& context);
  void wake_by(time_point at) { next_tick_ = std::min(next_tick_, at); }

  rng random_;
  std::map<vm_id, order_state> order_states_;
  time_point next_tick_ = time_point::max();
  order_counters counters_;
};

}  // namespace arbutus
