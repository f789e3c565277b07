// What the keeper learns from the answers of engines.
#include <algorithm>

#include "process/replica_keeper.h"

namespace arbutus {

// An order that was refused shows that the engine is not as this node thought: what was planned
// with it is void, since another node may have used it meanwhile.
void replica_keeper::give_up(const replica_key& key) {
  std::erase_if(forming_, [&](const forming_replica& f) { return f.key == key; });
}

void replica_keeper::note_joined(const replica_order& order) {
  for (forming_replica& f : forming_) {
    if (f.key == order.replica) {
      f.told.insert(order.to);
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
  engine_memory& memory = found->second;
  memory.order_pending = false;
  memory.ask_after =
      now + (order.action == order_action::open ? settings_.open_retry : settings_.order_retry);
  switch (outcome) {
    case order_outcome::begun:
    case order_outcome::holds:
      obeyed(now, fleet, memory, order, outcome);
      break;
    case order_outcome::outdated:
      last_epoch_ += epoch_leap;
      memory.orders.reset();
      memory.ask_after = now;
      give_up(order.replica);
      break;
    case order_outcome::conflict:
      memory.orders.reset();
      memory.ask_after = now;
      give_up(order.replica);
      break;
    case order_outcome::another:
    case order_outcome::refused:
    case order_outcome::no_answer:
    case order_outcome::not_sent:
      memory.orders.reset();
      break;
  }
}

// The engine compared the count first, so that it was in the replica that the order was based on.
// What it says was so before counts no order; leaving is done at once and answered alike.
void replica_keeper::obeyed(time_point now, fleet_view& fleet, engine_memory& memory,
                            const replica_order& order, order_outcome outcome) {
  const target_view* view = fleet.find(order.to);
  const bool left = order.action == order_action::leave && memory.at_that_count == order.replica;
  memory.orders = order.expected_orders + (outcome == order_outcome::begun || left ? 1 : 0);
  memory.counted_at = now;
  if (order.action == order_action::join) {
    note_joined(order);
    memory.at_that_count = order.replica;
    const bool is_head = order.members.front() == order.to;
    if (outcome == order_outcome::begun && view != nullptr) {
      fleet.ordered(now, order.to,
                    membership{order.replica, is_head ? 0U : 1U, member_state::joining});
    }
  }
  if (left) {
    memory.at_that_count.reset();
    memory.ask_after = now;
    fleet.ordered(now, order.to, std::nullopt);
  }
}

void replica_keeper::on_report(time_point now, const target_id& id,
                               const std::optional<target_report>& report) {
  const auto found = memory_.find(id);
  if (found == memory_.end()) {
    return;
  }
  engine_memory& memory = found->second;
  memory.report_pending = false;
  memory.ask_after = now + settings_.report_retry;
  if (!report || report->incarnation != id || memory.order_pending) {
    return;
  }
  memory.orders = report->orders;
  memory.counted_at = now;
  memory.at_that_count.reset();
  if (report->member_of) {
    memory.at_that_count = report->member_of->replica;
  }
}

}  // namespace arbutus
