// Orders that nodes send to a stand-in engine of the hosted platform, and their effects over time.
#include "standin/hosted_engine.h"

#include <algorithm>

#include "process/target_incarnation.h"

namespace arbutus::standin {

order_outcome hosted_engine::execute(time_point now, const replica_order& order) {
  advance(now);
  if (order.expected_orders != orders_) {
    return order_outcome::conflict;
  }
  order_outcome result = order_outcome::already_done;
  switch (order.action) {
    case order_action::join:
      result = join(now, order);
      break;
    case order_action::open:
      if (!is_in(order.replica) || record_.member_of->rank != 0 ||
          record_.member_of->state == member_state::joining) {
        return order_outcome::conflict;
      }
      if (record_.member_of->state == member_state::ready) {
        opening_done_at_ = now + settings_.open_time;
        ++orders_;
        result = order_outcome::accepted;
      }
      break;
    case order_action::close:
      if (is_in(order.replica) && record_.member_of->state == member_state::open) {
        record_.member_of->state = member_state::ready;
        ++orders_;
        result = order_outcome::accepted;
      }
      opening_done_at_.reset();
      break;
    case order_action::leave:
      if (is_in(order.replica)) {
        record_.member_of.reset();
        join_done_at_.reset();
        opening_done_at_.reset();
        ++orders_;
      }
      break;
  }
  record_snapshot(now);
  return result;
}

order_outcome hosted_engine::join(time_point now, const replica_order& order) {
  if (order.replica.epoch < highest_epoch_) {
    return order_outcome::outdated;
  }
  if (is_in(order.replica)) {
    return members_ == order.members ? order_outcome::already_done : order_outcome::outdated;
  }
  highest_epoch_ = order.replica.epoch;
  // Orders name engines, not their incarnations.
  const auto position = std::find_if(
      order.members.begin(), order.members.end(),
      [this](const target_id& member) { return engine_of(member) == engine_of(record_.id); });
  const auto rank = static_cast<std::uint32_t>(position - order.members.begin());
  const bool staged =
      std::find(record_.staged.begin(), record_.staged.end(), order.model) != record_.staged.end();
  const duration needed = last_model_ == order.model ? settings_.rejoin_time
                          : staged                   ? settings_.warm_load_time
                                                     : settings_.load_time;
  record_.member_of = membership{order.replica, rank, member_state::joining};
  record_.staged = {order.model};
  last_model_ = order.model;
  members_ = order.members;
  join_done_at_ = now + needed;
  opening_done_at_.reset();
  ++orders_;
  return order_outcome::accepted;
}

void hosted_engine::advance(time_point now) {
  if (join_done_at_ && now >= *join_done_at_ && record_.member_of) {
    record_.member_of->state = member_state::ready;
    record_.loaded = last_model_;
    ready_replicas_.push_back(record_.member_of->replica);
    const time_point at = *join_done_at_;
    join_done_at_.reset();
    record_snapshot(at);
  }
  if (opening_done_at_ && now >= *opening_done_at_ && record_.member_of) {
    record_.member_of->state = member_state::open;
    const time_point at = *opening_done_at_;
    opening_done_at_.reset();
    record_snapshot(at);
  }
}

void hosted_engine::record_snapshot(time_point now) {
  past_states_.push_back({now, record_.member_of, record_.loaded, orders_});
}

target_report hosted_engine::report(time_point now) const {
  target_report result;
  result.incarnation = record_.id;
  for (const past_state& s : past_states_) {
    if (s.at > now - settings_.report_lag) {
      break;
    }
    result.member_of = s.member_of;
    result.loaded = s.loaded;
    result.orders = s.orders;
  }
  return result;
}

void hosted_engine::restart_as(const target_id& incarnation) {
  target_record fresh = record_;
  fresh.id = incarnation;
  fresh.loaded = {};
  fresh.member_of.reset();
  fresh.draining = false;
  *this = hosted_engine(fresh, settings_);
}

bool hosted_engine::was_ready_in(const replica_key& key) const {
  return std::find(ready_replicas_.begin(), ready_replicas_.end(), key) != ready_replicas_.end();
}

}  // namespace arbutus::standin
