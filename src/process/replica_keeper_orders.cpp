// Handles the outcomes of orders and the reports of engines.
#include <algorithm>

#include "process/replica_keeper.h"

namespace arbutus {

// Abandons a replica because an order for it was refused: the engine is not in the state that this
// node assumed, as a different node may have used it.
void replica_keeper::abandon_forming(const replica_key& key) {
  std::erase_if(forming_, [&](const forming_replica& f) { return f.key == key; });
}

void replica_keeper::note_joined(const replica_order& order) {
  for (forming_replica& f : forming_) {
    if (f.key == order.replica) {
      f.ordered_members.insert(order.to);
      f.head_joined = f.head_joined || order.to == f.members.front();
    }
  }
}

void replica_keeper::on_order(time_point now, fleet_view& fleet, const replica_order& order,
                              order_outcome outcome) {
  const auto found = memory_.find(order.to);
  if (found == memory_.end()) {
    return;
  }
  engine_memory& local = found->second;
  local.order_pending = false;
  local.ask_after =
      now + (order.action == order_action::open ? settings_.open_retry : settings_.order_retry);
  switch (outcome) {
    case order_outcome::begun:
    case order_outcome::holds:
      on_order_obeyed(now, fleet, local, order, outcome);
      break;
    case order_outcome::outdated:
      last_epoch_ += epoch_leap;
      local.orders.reset();
      local.ask_after = now;
      abandon_forming(order.replica);
      break;
    case order_outcome::conflict:
      local.orders.reset();
      local.ask_after = now;
      abandon_forming(order.replica);
      break;
    case order_outcome::another:
    case order_outcome::refused:
    case order_outcome::no_answer:
    case order_outcome::not_sent:
      local.orders.reset();
      break;
  }
}

// The engine has compared the count, so it was in the replica that the order was based on. Its
// count does not increase if it was already in the requested state. Leaving takes effect
// immediately and is answered in the same way, but does increase the count.
void replica_keeper::on_order_obeyed(time_point now, fleet_view& fleet, engine_memory& local,
                                     const replica_order& order, order_outcome outcome) {
  const target_view* view = fleet.find(order.to);
  const bool has_left = order.action == order_action::leave && local.at_that_count == order.replica;
  local.orders = order.expected_orders + (outcome == order_outcome::begun || has_left ? 1 : 0);
  local.counted_at = now;
  if (order.action == order_action::join) {
    note_joined(order);
    local.at_that_count = order.replica;
    const bool is_head = order.members.front() == order.to;
    if (outcome == order_outcome::begun && view != nullptr) {
      fleet.ordered(now, order.to,
                    membership{order.replica, is_head ? 0U : 1U, member_state::joining});
    }
  }
  if (has_left) {
    local.at_that_count.reset();
    local.ask_after = now;
    fleet.ordered(now, order.to, std::nullopt);
  }
}

void replica_keeper::on_report(time_point now, const target_id& id,
                               const std::optional<target_report>& report) {
  const auto found = memory_.find(id);
  if (found == memory_.end()) {
    return;
  }
  engine_memory& local = found->second;
  local.report_pending = false;
  local.ask_after = now + settings_.report_retry;
  if (!report || report->life != id || local.order_pending) {
    return;
  }
  local.orders = report->orders;
  local.counted_at = now;
  local.at_that_count.reset();
  if (report->member_of) {
    local.at_that_count = report->member_of->replica;
  }
}

}  // namespace arbutus
