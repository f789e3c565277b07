// A simulated cluster: a few coordinators with a fake table, fake engines and a fake network,
// driven by events in virtual time. Deterministic: the same seed gives the same run. After every
// event the invariants of the system are checked, and their violations are collected in
// `violations`.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/rng.h"
#include "process/coordinator.h"

namespace arbutus::testing {

struct cluster_options {
  std::size_t nodes = 3;
  std::size_t vms = 6;
  std::size_t fabric_domains = 2;
  std::uint32_t vms_per_replica = 2;
  std::uint32_t replicas = 2;
  std::uint32_t standbys_per_replica = 1;
  std::uint32_t spare_vms = 0;
  bool checks_fencing_tokens = true;
  duration load_time = 3s;
  std::uint64_t seed = 1;
};

struct fake_engine {
  vm_record record;
  engine_report report;
  bool up = true;  // false: the VM is powered off, and calls to it time out
  bool paused = false;
  time_point ready_at{};            // when a loading engine becomes ready
  time_point serving_changed_at{};  // last change of the replica that the engine serves
  std::vector<std::function<void()>>
      held_during_pause;       // calls that arrived while the engine was paused
  std::vector<vm_id> members;  // members of the replica, as named in the last order
};

struct fake_table {
  std::map<std::string, table_row> rows;
  std::map<std::string, std::string> objects;
  bool up = true;
  duration latency = 4ms;
  // Number of upcoming writes whose reply is lost after they took effect.
  std::size_t lose_write_replies = 0;
  std::uint64_t writes_won = 0;  // accepted writes of the assignment row
  std::uint64_t writes_refused = 0;
};

class fake_cluster {
 public:
  explicit fake_cluster(cluster_options options = {});

  // ---- time ----
  [[nodiscard]] time_point now() const { return now_; }
  void run_for(duration d);
  // Runs until the condition holds; false if it does not within `limit`.
  bool run_until(const std::function<bool()>& condition, duration limit);

  // ---- state that tests inspect ----
  [[nodiscard]] coordinator& node(std::size_t i) { return *nodes_.at(i).core; }
  [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
  [[nodiscard]] fake_engine& engine(const vm_id& vm) { return engines_.at(vm); }
  [[nodiscard]] std::vector<vm_id> vms() const;
  // The routes that node `i` may send requests by now; none while the node is paused or down.
  [[nodiscard]] std::vector<replica_route> usable_routes(std::size_t i) const;
  [[nodiscard]] bool routed_anywhere(const replica_id& id) const;
  // Whether every node that is up routes to at least `replicas` replicas.
  [[nodiscard]] bool all_serve(std::size_t replicas) const;
  [[nodiscard]] assignment row_in_table() const;
  [[nodiscard]] std::vector<std::string> notices() const { return notices_; }

  // ---- faults ----
  void kill(const vm_id& vm);     // powers the VM off
  void start(const vm_id& vm);    // powers the VM on with a new engine process
  void restart(const vm_id& vm);  // replaces the VM's engine process immediately
  void pause(const vm_id& vm, duration d);
  // A connection over which node `i` sends requests to the VM breaks.
  void connection_error(std::size_t i, const vm_id& vm) { feed(i, target_connection_error{vm}); }
  void set_leaving(const vm_id& vm) { engine(vm).report.leaving = true; }
  void kill_node(std::size_t i);
  void start_node(std::size_t i);  // starts the node as a new process without state
  void pause_node(std::size_t i, duration d);
  // Drops all messages from `a` to `b`, but not those in the other direction.
  void cut(std::size_t a, std::size_t b, bool on = true);
  // Cuts the node off from all other nodes, in both directions.
  void isolate(std::size_t i, bool on = true);
  void cut_table(std::size_t i, bool on = true);
  void cut_target(std::size_t i, const vm_id& vm, bool on = true);
  void cut_targets(std::size_t i, bool on = true);
  void apply_rules(const std::function<void(rules&)>& change);
  fake_table table;
  double drop_probability = 0;  // share of node-to-node messages that are lost
  // Time to connect to a target before the bytes of an order can be sent.
  duration order_connect_time = 2ms;
  std::uint64_t stale_orders_obeyed = 0;  // older orders obeyed by targets that ignore tokens
  std::vector<vm_list_entry> vm_list;
  std::vector<std::string> violations;

 private:
  struct fake_node {
    node_id id;
    std::unique_ptr<coordinator> core;
    std::uint64_t incarnation = 1;
    bool up = true;
    bool paused = false;
    std::vector<std::function<void()>>
        held_during_pause;  // inputs that arrived during a pause of the node
    time_point wake_at = time_point::max();
    routing_snapshot published;
    std::uint64_t last_row_version{};
    std::uint64_t last_config_version{};
  };
  struct event {
    time_point at;
    std::uint64_t order{};
    std::function<void()> run;
    bool operator>(const event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };

  void at(time_point t, std::function<void()> run);
  bool step(time_point limit);
  void write_configuration();
  // Runs `run` on node `i`: after the pause if the node is paused, never if its process was
  // replaced meanwhile.
  void deliver(std::size_t i, std::function<effects()> run);
  void feed(std::size_t i, input in);
  void carry_out_effects(std::size_t i, const effects& out);
  void wake(std::size_t i);
  void carry_out(std::size_t i, const effect& e);
  // Simulates a call of node `i` to the table. `work` runs at the table and returns the answer. If
  // no answer arrives in time, the node gets `timeout_result` instead.
  void call_table(std::size_t i, std::function<input()> work, input timeout_result,
                  bool is_write = false);
  input read(const table_read& r) const;
  input write(const table_write& w);
  input get(const object_get& g) const;
  input put(const object_put& p);
  void do_probe(std::size_t i, const probe& p);
  void do_order(std::size_t i, const order& o);
  void do_send(std::size_t i, const peer_send& s);
  // Simulates a call of node `i` to an engine. `work` runs at the engine and returns the answer. If
  // no answer arrives in time, the node gets `timeout_result` instead.
  void call_engine(std::size_t i, const vm_id& vm, std::function<input(fake_engine&)> work,
                   input timeout_result);
  outcome<engine_report> apply_order(fake_engine& e, const order& o);
  void finish_loading(fake_engine& e);
  void check();
  void check_routes(std::size_t i, std::map<vm_id, replica_id>& owners);
  void record_violation(const std::string& text);

  cluster_options options_;
  rng random_;
  time_point now_{1s};
  std::uint64_t next_event_number_{};
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  configuration config_;
  std::vector<fake_node> nodes_;
  std::map<vm_id, fake_engine> engines_;
  std::set<std::pair<std::size_t, std::size_t>> cut_node_links_;
  std::set<std::size_t> nodes_cut_from_table_;
  std::set<std::pair<std::size_t, vm_id>> cut_target_links_;
  std::vector<std::string> notices_;
};

}  // namespace arbutus::testing
