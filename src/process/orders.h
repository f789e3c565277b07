// Brings each target VM to the state that the row wants, by idempotent orders.
//
// One node sends to a VM; the others step in only if the need still stands after their rank's
// delay. What a target reports back is the only proof that an order took
// effect: a lost answer needs no special case.
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

// An order is given up, by sender and target alike, after this.
inline constexpr duration order_valid_for = 2s;
// A node of rank r sends r times this later: more than the order and the urgent heartbeat that
// tells of its effect take.
inline constexpr duration order_rank_delay = 500ms;
inline constexpr duration order_backoff_first = 200ms;
inline constexpr duration order_backoff_most = 5s;
// No order rests on an older observation of its target.
inline constexpr duration order_observation_limit = 3s;

// What a VM is to be. Equal targets need no order.
struct wanted_state {
  order_kind kind = order_kind::form;
  composition target;
  model_id model;
  std::string model_version;
  auto operator<=>(const wanted_state&) const = default;
};

// Whether a VM that reports `r` is in the wanted state or on its way.
[[nodiscard]] bool satisfied(const wanted_state& wanted, const engine_report& r);

// What each VM of the data centre has to be told, by what it reports. `in_force` gives the
// composition of a replica, activations included. VMs that report nothing wrong are left out.
[[nodiscard]] std::map<vm_id, wanted_state> wanted_states(
    const assignment& row, const std::function<composition(const replica_plan&)>& in_force,
    const std::map<vm_id, engine_report>& reports);

struct order_context {
  const std::map<vm_id, wanted_state>& wanted;
  // Position of this node among those that may send to the VM; 0 sends at once.
  std::function<std::size_t(const vm_id&)> rank;
  // Newest observation; null if none, or if the VM is lost, suspect or leaving.
  std::function<const observation*(const vm_id&)> reachable;
};

struct order_counters {
  std::uint64_t sent{};
  std::uint64_t refused{};
  std::uint64_t unknown_replies{};
};

class order_book {
 public:
  explicit order_book(std::uint64_t seed) : random_(seed) {}

  [[nodiscard]] std::vector<order> tick(time_point now, const order_context& context);
  // When the order was sent, if it is one of this node's: its report is at least that fresh.
  [[nodiscard]] std::optional<time_point> on(time_point now, const order_result& result);
  [[nodiscard]] time_point next_tick() const { return next_tick_; }
  [[nodiscard]] const order_counters& counters() const { return counters_; }

 private:
  struct need {
    wanted_state wanted;
    time_point since;
    time_point not_before{};
    std::optional<time_point> sent_at{};  // an order is open
    backoff pause{order_backoff_first, order_backoff_most};
  };
  [[nodiscard]] std::optional<order> due_order(time_point now, const vm_id& vm, need& n,
                                               const order_context& context);
  void later(time_point at) { next_tick_ = std::min(next_tick_, at); }

  rng random_;
  std::map<vm_id, need> needs_;
  time_point next_tick_ = time_point::max();
  order_counters counters_;
};

}  // namespace arbutus
