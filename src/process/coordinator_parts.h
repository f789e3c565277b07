// Internal state of a coordinator; included by the coordinator's own source files only.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/rng.h"
#include "capacity/activation.h"
#include "process/assignment_writer.h"
#include "process/config_replica.h"
#include "process/coordinator.h"
#include "process/drain_tracker.h"
#include "process/gossip.h"
#include "process/membership.h"
#include "process/observations.h"
#include "process/orders.h"
#include "process/permission.h"
#include "process/summaries.h"
#include "version/planner.h"

namespace arbutus {

// Longest time between ticks of the coordinator. Membership needs at least four ticks a second to
// notice that this process was paused.
inline constexpr duration tick_interval = 100ms;
// For this long after its start a node proposes no row and sends no orders, so that peers and
// targets have time to report: without their reports the node would treat every VM as free.
inline constexpr duration start_settle_time = 3s;
// Delay of planning after a detected change. Losses come in groups (a fabric domain fails): the
// node plans once for losses that are detected together.
inline constexpr duration plan_debounce = 150ms;
// Longest time between two plans of the assignment. Some changes raise no event (demand,
// acknowledgements), so the node also plans periodically.
inline constexpr duration max_plan_interval = 2s;
// A node that reaches no majority of the nodes proposes a row only after this time. By then the
// other nodes are either back or down for good.
inline constexpr duration minority_timeout = 10s;
// A node whose configuration is older than the one that the row was made for plans with it only
// after this time. The time is longer than any peer or store takes to deliver a configuration that
// still exists.
inline constexpr duration outdated_config_timeout = 60s;
inline constexpr duration vm_list_interval = 2s;
inline constexpr std::size_t vm_list_readers = 2;
// Interval at which the assignment row is sent to a peer that cannot read the table, until the peer
// has the row.
inline constexpr duration row_push_interval = 1s;
// No order is sent if the assignment row was not confirmed as the newest within this time: a target
// that ignores fencing tokens would obey an outdated order.
inline constexpr duration row_confirmation_max_age = 3s;
// If targets of a replica obey a generation greater than the one in the assignment row for this
// long, the replica gets a new generation in a new row.
inline constexpr duration superseded_generation_timeout = 1s;
// Peers' reports of a workspace's request rate that are older than this are ignored.
inline constexpr duration peer_usage_max_age = 3s;
inline constexpr duration demand_update_interval = 1s;
inline constexpr double demand_smoothing = 0.1;

struct coordinator::parts {
  explicit parts(coordinator_settings s);

  // ---- inputs (coordinator_inputs.cpp) ----
  void on(time_point now, const table_read_result& r);
  void on(time_point now, const table_write_result& r);
  void on(time_point now, const object_get_result& r);
  void on(time_point now, const object_put_result& r);
  void on(time_point now, const probe_result& r);
  void on(time_point now, const order_result& r);
  void on(time_point now, const peer_message& m);
  void on(time_point now, const vm_list_result& r);
  void on(time_point now, const target_connection_error& e);

  void receive(time_point now, const node_id& from, const heartbeat& m);
  void receive(time_point now, const node_id& from, const config_request& m);
  void receive(time_point now, const node_id& from, const config_content& m);
  void receive(time_point now, const node_id& from, const assignment_push& m);
  void receive(time_point now, const node_id& from, const lost_notice& m);
  void receive(time_point now, const node_id& from, const leaving_notice& m);
  void receive(time_point now, const node_id& from, const summary& m);

  void handle_peer_restart(const node_id& from, const struct receive_result& h);
  void apply_config_effects(time_point now, const config_effects& requested);
  void adopt_configuration(time_point now);
  // Processes the newest observation of `vm`, if it was not processed yet.
  void note_observation(time_point now, const vm_id& vm);
  void note_leaving(time_point now, const vm_id& vm, std::uint64_t incarnation);
  void announce_failure(time_point now, const vm_id& vm);
  void apply_condition_changes(time_point now);
  void apply_row_change(time_point now);
  void broadcast(time_point now, const gossip_message& m);

  // ---- periodic (coordinator_tick.cpp) ----
  void tick(time_point now);
  void probe_targets(time_point now);
  void send_heartbeats(time_point now);
  void push_row(time_point now);
  void read_vm_list(time_point now);
  void send_summaries(time_point now);
  void update_demand(time_point now);

  // ---- decisions (coordinator_decide.cpp) ----
  void decide(time_point now);
  void activate_standbys(time_point now);
  void send_orders(time_point now);
  void plan_next(time_point now);
  [[nodiscard]] plan next_plan(time_point now);
  [[nodiscard]] std::optional<time_point> proposal_due(time_point now);
  [[nodiscard]] bool may_plan(time_point now);
  [[nodiscard]] bool config_usable_for_row(time_point now);
  [[nodiscard]] std::optional<lost_vm_mask> superseding_mask(const replica_plan& replica) const;
  [[nodiscard]] std::set<replica_id> superseded_replicas(time_point now);
  [[nodiscard]] std::map<vm_id, desired_state> desired_vm_states() const;
  [[nodiscard]] bool row_confirmed(time_point now) const;
  [[nodiscard]] bool order_allowed(time_point now, const vm_id& vm) const;
  [[nodiscard]] std::size_t order_rank(time_point now, const vm_id& vm);
  [[nodiscard]] drain_context make_drain_context(time_point now) const;

  // ---- views (coordinator_views.cpp) ----
  [[nodiscard]] permit routing_permit(time_point now, const composition& in_force) const;
  [[nodiscard]] member_observation observe_member(time_point now, const vm_id& vm) const;
  [[nodiscard]] routing_snapshot routes(time_point now) const;
  [[nodiscard]] std::vector<model_summary> model_summaries(time_point now) const;
  [[nodiscard]] status_view status(time_point now) const;

  [[nodiscard]] const vm_record* find_vm_record(const vm_id& vm) const;
  [[nodiscard]] bool checks_fencing_tokens(const vm_id& vm) const;
  void emit(effect e) { pending_effects.push_back(std::move(e)); }
  void emit(effects list);
  void note_routes_changed() { ++current_routes_revision; }

  coordinator_settings settings;
  control_timing timing;
  rng random;
  std::optional<membership> peers;  // empty until start() is called
  observation_table observations;
  config_replica config_sync;
  assignment_writer row_writer;
  activation activations;
  order_dispatcher dispatcher;
  drain_tracker drains;
  ready_tracker readiness;
  summary_board peer_summaries;

  effects pending_effects;  // effects that the current call will return
  std::optional<configuration> config;
  time_point started_at{};
  time_point last_tick{};
  bool node_leaving = false;  // this node is about to stop
  std::uint64_t current_routes_revision = 1;
  std::uint64_t applied_row_version{};  // version of the last row that the other parts were given
  std::map<vm_id, time_point>
      processed_observation_at;  // time of the newest observation already processed
  std::map<vm_id, time_point> vm_condition_since;
  std::map<node_id, std::pair<std::uint64_t, time_point>> peer_config_since;

  // Since when the newest plan differs from the assignment row.
  std::optional<time_point> change_needed_since;
  std::optional<time_point> minority_since;
  std::optional<time_point> outdated_config_since;
  time_point next_plan_at{};
  time_point early_plan_at = time_point::max();  // time of a plan before next_plan_at; max: none
  std::vector<std::string> plan_reasons;
  std::map<replica_id, time_point> superseded_since;
  std::map<node_id, time_point> row_pushed_at;
  time_point next_vm_list_read{};
  std::set<vm_id> vms_listed_as_leaving;  // VMs marked as leaving in the platform's VM list
  bool table_readable = true;
  time_point table_reachability_since{};

  std::map<replica_id, std::map<generation, std::uint32_t>> requests_in_flight;
  // Draining replicas at which each peer still has requests, as of the peer's newest heartbeat. The
  // same heartbeat acknowledges the row that drains them, so the two reports are consistent.
  std::map<node_id, std::set<replica_id>> draining_in_use_by;
  std::map<workspace_id, double> own_usage;
  struct peer_usage {
    std::map<workspace_id, double> rate_by_workspace;
    time_point at;
  };
  std::map<node_id, peer_usage> usage_by_node;
  std::map<model_id, double> demand_by_model;
  time_point next_demand_update{};
  std::uint64_t withheld_orders{};
};

}  // namespace arbutus
