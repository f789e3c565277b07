// Handles the outcomes of orders and the reports of engines.
#include <algorithm>

#include "capacity/replica_controller.h"

namespace arbutus {

// Abandons a replica because an order for it was refused: the engine is not in the state that this
// node assumed, as a different node may have used it.
void replica_controller::abandon_forming(const replica_key& key) {
  std::erase_if(forming_, [&](const forming_replica& f) { return f.key == key; });
}

void replica_controller::record_join(const replica_order& order) {
  for (forming_replica& f : forming_) {
    if (f.key == order.replica) {
      f.ordered_members.insert(order.to);
      f.head_joined = f.head_joined || order.to == f.members.front();
    }
  }
}

void replica_controller::on_order_outcome(time_point now, fleet_view& fleet,
                                          const replica_order& order, order_outcome outcome) {
  const auto found = local_states_.find(order.to);
  if (found == local_states_.end()) {
    return;
  }
  local_engine_state& local = found->second;
  local.order_pending = false;
  local.next_attempt_at =
      now + (order.action == order_action::open ? settings_.open_order_retry_interval
                                                : settings_.order_retry_interval);
  switch (outcome) {
    case order_outcome::accepted:
    case order_outcome::already_done:
      on_order_obeyed(now, fleet, local, order, outcome);
      break;
    case order_outcome::outdated:
      last_epoch_ += epoch_margin;
      local.orders.reset();
      local.next_attempt_at = now;
      abandon_forming(order.replica);
      break;
    case order_outcome::conflict:
      local.orders.reset();
      local.next_attempt_at = now;
      abandon_forming(order.replica);
      break;
    case order_outcome::other_target:
    case order_outcome::refused:
    case order_outcome::no_answer:
    case order_outcome::not_sent:
      local.orders.reset();
      break;
  }
}

// Handles an order that the engine carried out. The engine has compared the count of orders, so it
// was in the replica that the order was based on. Its count does not increase if it was already in
// the requested state. Leaving takes effect immediately and is answered in the same way, but does
// increase the count.
void replica_controller::on_order_obeyed(time_point now, fleet_view& fleet,
                                         local_engine_state& local, const replica_order& order,
                                         order_outcome outcome) {
  const target_view* view = fleet.find(order.to);
  const bool has_left =
      order.action == order_action::leave && local.replica_at_order_count == order.replica;
  local.orders = order.expected_orders + (outcome == order_outcome::accepted || has_left ? 1 : 0);
  local.order_count_confirmed_at = now;
  if (order.action == order_action::join) {
    record_join(order);
    local.replica_at_order_count = order.replica;
    const bool is_head = order.members.front() == order.to;
    if (outcome == order_outcome::accepted && view != nullptr) {
      fleet.apply_order(now, order.to,
                        membership{order.replica, is_head ? 0U : 1U, member_state::joining});
    }
  }
  if (order.action == order_action::close) {
    local.next_attempt_at = now;
  }
  if (has_left) {
    local.replica_at_order_count.reset();
    local.next_attempt_at = now;
    fleet.apply_order(now, order.to, std::nullopt);
  }
}

void replica_controller::on_report(time_point now, const target_id& id,
                                   const std::optional<target_report>& report) {
  const auto found = local_states_.find(id);
  if (found == local_states_.end()) {
    return;
  }
  local_engine_state& local = found->second;
  local.report_pending = false;
  local.next_attempt_at = now + settings_.report_retry_interval;
  if (!report || report->incarnation != id || local.order_pending) {
    return;
  }
  local.orders = report->orders;
  local.order_count_confirmed_at = now;
  if (report->active + report->queued == 0) {
    local.idle_at = local.report_requested_at;
  }
  local.replica_at_order_count.reset();
  if (report->member_of) {
    local.replica_at_order_count = report->member_of->replica;
  }
}

}  // namespace arbutus
