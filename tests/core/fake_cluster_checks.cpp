// Simulated cluster: the faults to inject, the state that tests inspect, and the checked
// invariants.
#include <algorithm>
#include <sstream>

#include "fake_cluster.h"
#include "process/assignment_writer.h"
#include "process/permission.h"

namespace arbutus::testing {

namespace {

// Time for which a node may use an outdated route in addition to permission_validity, which counts
// from when the probe was sent.
constexpr duration route_expiry_slack = 100ms;

template <class T>
std::string text(const T& value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

void fake_cluster::kill(const vm_id& vm) {
  engine(vm).up = false;
  engine(vm).serving_changed_at = now_;
}

void fake_cluster::restart(const vm_id& vm) {
  fake_engine& e = engine(vm);
  const std::uint64_t incarnation = e.report.incarnation + 1;
  e.report = {};
  e.report.vm = vm;
  e.report.incarnation = incarnation;
  e.report.slots = 8;
  e.members.clear();
  e.held_during_pause.clear();
  e.paused = false;
  e.serving_changed_at = now_;
}

void fake_cluster::start(const vm_id& vm) {
  restart(vm);
  engine(vm).up = true;
}

void fake_cluster::pause(const vm_id& vm, duration d) {
  engine(vm).paused = true;
  engine(vm).serving_changed_at = now_;
  const auto incarnation = engine(vm).report.incarnation;
  at(now_ + d, [this, vm, incarnation] {
    fake_engine& e = engine(vm);
    if (e.report.incarnation != incarnation || !e.paused) {
      return;
    }
    e.paused = false;
    for (auto& work : std::exchange(e.held_during_pause, {})) {
      work();
    }
  });
}

// ---- links ----

void fake_cluster::cut(std::size_t a, std::size_t b, bool on) {
  if (on) {
    cut_node_links_.insert({a, b});
  } else {
    cut_node_links_.erase({a, b});
  }
}

void fake_cluster::isolate(std::size_t i, bool on) {
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    cut(i, other, on);
    cut(other, i, on);
  }
}

void fake_cluster::cut_table(std::size_t i, bool on) {
  if (on) {
    nodes_cut_from_table_.insert(i);
  } else {
    nodes_cut_from_table_.erase(i);
  }
}

void fake_cluster::cut_target(std::size_t i, const vm_id& vm, bool on) {
  if (on) {
    cut_target_links_.insert({i, vm});
  } else {
    cut_target_links_.erase({i, vm});
  }
}

void fake_cluster::cut_targets(std::size_t i, bool on) {
  for (const vm_id& vm : vms()) {
    cut_target(i, vm, on);
  }
}

// ---- state that tests inspect, and invariants ----

std::vector<vm_id> fake_cluster::vms() const {
  std::vector<vm_id> result;
  for (const auto& [vm, e] : engines_) {
    result.push_back(vm);
  }
  return result;
}

std::vector<replica_route> fake_cluster::usable_routes(std::size_t i) const {
  std::vector<replica_route> result;
  const fake_node& n = nodes_.at(i);
  if (!n.up || n.paused) {
    return result;
  }
  for (const replica_route& r : n.published.replicas) {
    if (now_ < r.valid_until && !r.draining) {
      result.push_back(r);
    }
  }
  return result;
}

bool fake_cluster::routed_anywhere(const replica_id& id) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const auto routes = usable_routes(i);
    const auto same = [&](const replica_route& r) { return r.id == id; };
    if (std::any_of(routes.begin(), routes.end(), same)) {
      return true;
    }
  }
  return false;
}

bool fake_cluster::all_serve(std::size_t replicas) const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].up && usable_routes(i).size() < replicas) {
      return false;
    }
  }
  return true;
}

assignment fake_cluster::row_in_table() const {
  const auto found = table.rows.find(row_key(data_centre_id{"hall-a"}));
  return found == table.rows.end() ? assignment{}
                                   : std::get<assignment>(decode_assignment(found->second.value));
}

void fake_cluster::record_violation(const std::string& text) {
  violations.push_back(std::to_string(to_seconds(now_.time_since_epoch())) + " s: " + text);
}

void fake_cluster::check() {
  std::map<vm_id, replica_id> owners;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    fake_node& n = nodes_[i];
    if (!n.up) {
      continue;
    }
    const std::uint64_t row = n.core->row().version;
    const std::uint64_t config = n.core->config() != nullptr ? n.core->config()->version : 0;
    if (row < n.last_row_version || config < n.last_config_version) {
      record_violation("node " + text(n.id) + " stepped down");
    }
    n.last_row_version = row;
    n.last_config_version = config;
    check_routes(i, owners);
  }
}

// Checks the routes of node `i`. A usable route must match the replica that its members serve, or
// served until permission_validity ago. No VM may be in the routes of two replicas.
void fake_cluster::check_routes(std::size_t i, std::map<vm_id, replica_id>& owners) {
  for (const replica_route& r : usable_routes(i)) {
    for (const vm_id& vm : r.members) {
      const fake_engine& e = engines_.at(vm);
      const bool matches = e.up && !e.paused && e.report.replica == r.id &&
                           e.report.fencing_generation == r.fencing_generation;
      if (!matches && now_ > e.serving_changed_at + permission_validity + route_expiry_slack) {
        record_violation("node " + text(nodes_[i].id) + " routes to " + text(r.id) + " without " +
                         text(vm));
      }
      const auto [owner, first] = owners.try_emplace(vm, r.id);
      if (!first && owner->second != r.id) {
        record_violation("VM " + text(vm) + " is routed to for two replicas");
      }
    }
  }
}

}  // namespace arbutus::testing
