// Embeds the coordination of three nodes in one process, in virtual time.
//
// A coordinator gets inputs with the current time and returns effects. In this example a map
// simulates the platform's table, small structs simulate the engines, and an event queue simulates
// the clock and the network; a real program executes the same effects over its sockets. Two
// replicas of two VMs form. Then the table becomes unavailable and a member dies, and the replica
// serves again with the standby reserved for it.
#include <algorithm>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "base/hash.h"
#include "process/coordinator.h"
#include "request/router.h"
#include "version/configuration.h"

namespace arbutus::example {

const data_centre_id local_data_centre{"hall-a"};
constexpr duration delay = 2ms;      // of each message
constexpr duration timeout = 500ms;  // of every call
constexpr duration load_time = 3s;   // to load the weights into an engine

struct engine {
  engine_report report;
  bool up = true;
  time_point ready_at{};
};

configuration make_configuration() {
  configuration c;
  c.version = 1;
  c.assets.data_centres.push_back({local_data_centre, "sk-west"});
  for (const char* name : {"node-1", "node-2", "node-3"}) {
    c.assets.nodes.push_back({node_id{name}, local_data_centre, {"10.0.0.1", 1}, {"10.0.0.1", 2}});
  }
  for (const char* name : {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"}) {
    c.assets.vms.push_back(
        {vm_id{name}, {"10.0.0.2", 1}, local_data_centre, fabric_domain_id{"f"}, 1, true});
  }
  model_rule model;
  model.id = model_id{"dispatch-llm"};
  model.version = "1";
  model.vms_per_replica = 2;
  model.placements = {{local_data_centre, 2}};
  c.desired.models.push_back(model);
  c.desired.standbys_per_replica = 1;
  return c;
}

class simulated_cluster {
 public:
  simulated_cluster() {
    const configuration c = make_configuration();
    const std::string content = encode_content(c.assets, c.desired);
    objects_[content_hash(content)] = content;
    const config_head head{c.version, content_hash(content), {proposal_id{"example"}}};
    rows_[config_head_key] = {encode(head), 1};
    for (const vm_record& vm : c.assets.vms) {
      engine& e = engines_[vm.id];
      e.report.vm = vm.id;
      e.report.incarnation = 1;
      e.report.slots = 8;
    }
    for (const node_record& n : c.assets.nodes) {
      const std::uint64_t seed = nodes_.size() + 1;
      nodes_[n.id] = std::make_unique<coordinator>(
          coordinator_settings{n.id, local_data_centre, 1, seed, c.assets.nodes});
    }
    for (auto& [id, node] : nodes_) {
      execute(id, node->start(now_));
    }
  }

  // Runs events and ticks until the condition holds; returns false if `limit` passes first.
  bool run_until(const std::function<bool()>& condition, duration limit) {
    const time_point end = now_ + limit;
    while (!condition()) {
      if (now_ >= end) {
        return false;
      }
      step();
    }
    return true;
  }

  // Replicas that every node may route to now.
  std::size_t serving() const {
    std::size_t min_count = engines_.size();
    for (const auto& [id, node] : nodes_) {
      std::size_t count = 0;
      for (const replica_route& route : node->routes(now_).replicas) {
        count += may_use_route(now_, route) ? 1 : 0;
      }
      min_count = std::min(min_count, count);
    }
    return min_count;
  }

  const replica_plan& first_replica() const {
    return nodes_.begin()->second->row().replicas.front();
  }
  void kill(const vm_id& vm) { engines_.at(vm).up = false; }
  void set_table(bool up) { table_up_ = up; }
  double seconds() const { return to_seconds(now_.time_since_epoch()); }

 private:
  void step() {
    time_point next = events_.empty() ? time_point::max() : events_.begin()->first;
    for (const auto& [id, node] : nodes_) {
      next = std::min(next, node->next_tick());
    }
    now_ = std::max(now_ + duration{1}, next);  // time always advances
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto run = std::move(events_.extract(events_.begin()).mapped());
      run();
    }
    for (auto& [id, node] : nodes_) {
      if (node->next_tick() <= now_) {
        execute(id, node->tick(now_));
      }
    }
  }

  void later(duration after, std::function<void()> run) {
    events_.emplace(now_ + after, std::move(run));
  }
  void deliver(const node_id& to, const input& in) { execute(to, nodes_.at(to)->on(now_, in)); }

  // A remote call: if the other side is up, `work` runs there and its result is returned, else
  // `lost` is returned after the timeout.
  void call(const node_id& from, bool up, std::function<input()> work, input lost) {
    if (!up) {
      later(timeout, [=, this] { deliver(from, lost); });
      return;
    }
    later(delay, [=, this] {
      const input answer = work();
      later(delay, [=, this] { deliver(from, answer); });
    });
  }

  void execute(const node_id& from, const effects& list) {
    for (const effect& e : list) {
      std::visit([&](const auto& one) { execute(from, one); }, e);
    }
  }
  void execute(const node_id& from, const table_read& r) {
    call(
        from, table_up_,
        [=, this]() -> input {
          return table_read_result{r, rows_[r.key]};
        },
        table_read_result{r, unknown{"timeout"}});
  }
  void execute(const node_id& from, const table_write& w) {
    const auto write = [=, this]() -> input {
      table_row& row = rows_[w.key];
      if (row.version != w.expected) {
        return table_write_result{w, refused{"another version"}};
      }
      row = {w.value, row.version + 1};
      return table_write_result{w, table_written{row.version}};
    };
    call(from, table_up_, write, table_write_result{w, unknown{"timeout"}});
  }
  void execute(const node_id& from, const object_get& g) {
    const auto get = [=, this]() -> input {
      const auto found = objects_.find(g.name);
      if (found == objects_.end()) {
        return object_get_result{g, refused{"no such object"}};
      }
      return object_get_result{g, found->second};
    };
    call(from, table_up_, get, object_get_result{g, unknown{"timeout"}});
  }
  void execute(const node_id& from, const object_put& p) {
    const auto put = [=, this]() -> input {
      objects_[p.name] = p.content;
      return object_put_result{p, std::monostate{}};
    };
    call(from, table_up_, put, object_put_result{p, unknown{"timeout"}});
  }
  void execute(const node_id& from, const vm_list_read& /*asked*/) {
    call(
        from, table_up_, []() -> input { return vm_list_result{std::vector<vm_list_entry>{}}; },
        vm_list_result{unknown{"timeout"}});
  }
  void execute(const node_id& from, const probe& p) {
    const time_point sent = now_;
    call(
        from, engines_.at(p.vm).up,
        [=, this]() -> input {
          return probe_result{p.vm, sent, report_of(p.vm)};
        },
        probe_result{p.vm, sent, unknown{"timeout"}});
  }
  void execute(const node_id& from, const order& o) {
    // A real sender first connects, and checks this again immediately before sending.
    if (!nodes_.at(from)->may_send(now_, o)) {
      later(duration{0}, [=, this] { deliver(from, order_result{o, refused{"out of date"}}); });
      return;
    }
    call(
        from, engines_.at(o.vm).up,
        [=, this]() -> input {
          return order_result{o, execute_order(o)};
        },
        order_result{o, unknown{"timeout"}});
  }
  void execute(const node_id& from, const peer_send& s) {
    later(delay, [=, this] { deliver(s.to, peer_message{from, s.bytes}); });
  }
  void execute(const node_id& from, const notice& n) {
    std::cout << seconds() << " s  " << from << ", " << n.part << ": " << n.text << '\n';
  }

  engine_report report_of(const vm_id& vm) {
    engine& e = engines_.at(vm);
    if (e.report.state == engine_state::loading && now_ >= e.ready_at) {
      e.report.state = engine_state::ready;
    }
    return e.report;
  }

  // Refuses an old fencing token. A repeated order changes nothing.
  outcome<engine_report> execute_order(const order& o) {
    engine& e = engines_.at(o.vm);
    if (o.target.fencing_generation < e.report.fencing_generation) {
      return refused{"old token"};
    }
    const bool same = e.report.replica == o.target.replica &&
                      e.report.fencing_generation == o.target.fencing_generation;
    if (o.kind == order_kind::form && !same) {
      e.report.replica = o.target.replica;
      e.report.state = engine_state::loading;
      e.ready_at = now_ + load_time;
    } else if (o.kind == order_kind::drain && same) {
      e.report.state = engine_state::draining;
    } else if (o.kind == order_kind::release) {
      e.report.replica = {};
      e.report.state = engine_state::idle;
    }
    e.report.fencing_generation = o.target.fencing_generation;
    return report_of(o.vm);
  }

  time_point now_{1s};
  std::multimap<time_point, std::function<void()>> events_;
  std::map<std::string, table_row> rows_;
  std::map<std::string, std::string> objects_;
  bool table_up_ = true;
  std::map<vm_id, engine> engines_;
  std::map<node_id, std::unique_ptr<coordinator>> nodes_;
};

void require_in_time(simulated_cluster& w, const char* what, bool held) {
  std::cout << w.seconds() << " s  " << what << (held ? "" : ": NOT WITHIN TIME") << std::endl;
  if (!held) {
    std::exit(EXIT_FAILURE);
  }
}

}  // namespace arbutus::example

int main() {
  using namespace arbutus::example;
  using namespace std::chrono_literals;
  simulated_cluster w;
  require_in_time(w, "two replicas serve on all nodes",
                  w.run_until([&] { return w.serving() == 2; }, 30s));
  w.set_table(false);
  const arbutus::vm_id lost = w.first_replica().members.back();
  w.kill(lost);
  std::cout << "the table is down, and " << lost << " has died\n";
  require_in_time(w, "no node routes to its replica",
                  w.run_until([&] { return w.serving() == 1; }, 3s));
  require_in_time(w, "it serves again with its standby",
                  w.run_until([&] { return w.serving() == 2; }, 30s));
  return EXIT_SUCCESS;
}
