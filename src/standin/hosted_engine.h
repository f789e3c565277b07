// A stand-in engine of the hosted platform, whose engines hold their own replica membership. It
// runs in virtual time.
//
// The engine joins, opens, closes and leaves a replica by orders of nodes. It counts the orders
// that it has accepted and refuses an order that names another count. It keeps past states because
// its reports lag.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/units.h"
#include "capacity/replica_controller.h"
#include "process/fleet_view.h"

namespace arbutus::standin {

struct hosted_engine_settings {
  // Time to join a replica if the engine had the same model in its last one.
  duration rejoin_time = 200ms;
  duration warm_load_time = 1s;  // time to join if the weights are staged on the host
  duration load_time = 4s;       // time to join otherwise
  duration open_time = 300ms;
  duration report_lag = 200ms;
};

class hosted_engine {
 public:
  hosted_engine(target_record record, const hosted_engine_settings& settings)
      : settings_(settings), record_(std::move(record)) {}

  // Carries out an order of a node that arrives at `now`.
  order_outcome execute(time_point now, const replica_order& order);

  // Completes the joins and openings of the replica that end by `now`.
  void advance(time_point now);

  // The report that a query at `now` gets: the state of `report_lag` ago.
  [[nodiscard]] target_report report(time_point now) const;

  [[nodiscard]] const target_record& record() const { return record_; }
  [[nodiscard]] bool is_open() const {
    return record_.member_of && record_.member_of->rank == 0 &&
           record_.member_of->state == member_state::open;
  }
  // Members of the engine's current or last replica; the first is the head.
  [[nodiscard]] const std::vector<target_id>& members() const { return members_; }
  [[nodiscard]] std::uint64_t orders() const { return orders_; }
  // Whether the engine has ever been ready in that replica.
  [[nodiscard]] bool was_ready_in(const replica_key& key) const;

  void set_draining() { record_.draining = true; }

  // Restarts the engine as another incarnation: it loses everything except the weights staged on
  // its host.
  void restart_as(const target_id& incarnation);

 private:
  struct past_state {
    time_point at;
    std::optional<membership> member_of;
    model_id loaded;
    std::uint64_t orders = 0;
  };

  order_outcome join(time_point now, const replica_order& order);
  // Appends the engine's current state to past_states_, from which delayed reports are made.
  void record_snapshot(time_point now);
  [[nodiscard]] bool is_in(const replica_key& key) const {
    return record_.member_of && record_.member_of->replica == key;
  }

  hosted_engine_settings settings_;
  target_record record_;
  std::vector<target_id> members_;
  std::uint64_t orders_ = 0;
  std::uint64_t highest_epoch_ = 0;
  model_id last_model_;  // model of the engine's last replica
  std::optional<time_point> join_done_at_;
  std::optional<time_point> opening_done_at_;
  std::vector<replica_key> ready_replicas_;
  std::deque<past_state> past_states_;
};

}  // namespace arbutus::standin
