// Simulated cluster: set-up, event loop, and the simulated nodes.
#include "fake_cluster.h"

#include <algorithm>

#include "base/hash.h"

namespace arbutus::testing {

namespace {

const data_centre_id hall{"hall-a"};
const model_id llm{"dispatch-llm"};

std::string numbered(const char* prefix, std::size_t i) {
  return prefix + std::to_string(i / 10) + std::to_string(i % 10);
}

configuration make_configuration(const cluster_options& o) {
  configuration c;
  c.version = 1;
  c.assets.data_centres.push_back({hall, "sk-west"});
  for (std::size_t i = 0; i < o.nodes; ++i) {
    c.assets.nodes.push_back({node_id{numbered("n", i)}, hall, {"127.0.0.1", 1}, {"127.0.0.1", 2}});
  }
  for (std::size_t i = 0; i < o.vms; ++i) {
    const auto domain = numbered("f", i * o.fabric_domains / o.vms);
    c.assets.vms.push_back({vm_id{numbered("vm", i)},
                            {"127.0.0.1", static_cast<std::uint16_t>(100 + i)},
                            hall,
                            fabric_domain_id{domain},
                            1,
                            o.checks_fencing_tokens});
  }
  model_rule rule;
  rule.id = llm;
  rule.version = "v1";
  rule.vms_per_replica = o.vms_per_replica;
  rule.placements = {{hall, o.replicas}};
  c.desired.models.push_back(rule);
  c.desired.standbys_per_replica = o.standbys_per_replica;
  c.desired.spare_vms_per_data_centre = o.spare_vms;
  return c;
}

}  // namespace

fake_cluster::fake_cluster(cluster_options options)
    : options_(options), random_(options.seed), config_(make_configuration(options)) {
  for (const vm_record& vm : config_.assets.vms) {
    fake_engine e;
    e.record = vm;
    e.report.vm = vm.id;
    e.report.incarnation = 100;
    e.report.slots = 8;
    engines_.emplace(vm.id, std::move(e));
  }
  write_configuration();
  nodes_.resize(options.nodes);
  for (std::size_t i = 0; i < options.nodes; ++i) {
    nodes_[i].id = config_.assets.nodes[i].id;
    start_node(i);
  }
}

void fake_cluster::write_configuration() {
  const std::string content = encode_content(config_.assets, config_.desired);
  const std::string hash = content_hash(content);
  table.objects[hash] = content;
  table_row& head = table.rows[config_head_key];
  const proposal_id proposal{"test/" + std::to_string(config_.version)};
  head = {encode(config_head{config_.version, hash, {proposal}}), head.version + 1};
}

void fake_cluster::apply_rules(const std::function<void(rules&)>& change) {
  change(config_.desired);
  ++config_.version;
  write_configuration();
}

// ---- time ----

void fake_cluster::at(time_point t, std::function<void()> run) {
  events_.push({std::max(t, now_), next_event_number_++, std::move(run)});
}

bool fake_cluster::step(time_point limit) {
  if (events_.empty() || events_.top().at > limit) {
    now_ = limit;
    return false;
  }
  const event next = events_.top();
  events_.pop();
  now_ = next.at;
  next.run();
  check();
  return true;
}

void fake_cluster::run_for(duration d) {
  const time_point end = now_ + d;
  while (step(end)) {
  }
}

bool fake_cluster::run_until(const std::function<bool()>& condition, duration limit) {
  const time_point end = now_ + limit;
  while (!condition()) {
    if (!step(end)) {
      return condition();
    }
  }
  return true;
}

// ---- nodes ----

void fake_cluster::start_node(std::size_t i) {
  fake_node& n = nodes_.at(i);
  ++n.incarnation;
  n.up = true;
  n.paused = false;
  n.held_during_pause.clear();
  n.wake_at = time_point::max();
  n.last_row_version = n.last_config_version = 0;
  n.published = {};
  coordinator_settings s;
  s.self = n.id;
  s.data_centre = hall;
  s.incarnation = n.incarnation;
  s.seed = options_.seed * 1000 + i * 100 + n.incarnation;
  s.bootstrap_peers = config_.assets.nodes;
  n.core = std::make_unique<coordinator>(std::move(s));
  deliver(i, [this, i] { return nodes_[i].core->start(now_); });
}

void fake_cluster::kill_node(std::size_t i) {
  nodes_.at(i).up = false;
  nodes_.at(i).core.reset();
}

void fake_cluster::pause_node(std::size_t i, duration d) {
  nodes_.at(i).paused = true;
  const auto incarnation = nodes_[i].incarnation;
  at(now_ + d, [this, i, incarnation] {
    fake_node& n = nodes_[i];
    if (n.incarnation != incarnation || !n.up) {
      return;
    }
    n.paused = false;
    // Until the resumed node processes the inputs that arrived during its pause, it still sends
    // requests by its old routes.
    check();
    for (auto& run : std::exchange(n.held_during_pause, {})) {
      run();
    }
    wake(i);
  });
}

void fake_cluster::deliver(std::size_t i, std::function<effects()> run) {
  const auto incarnation = nodes_[i].incarnation;
  auto guarded = [this, i, incarnation, run = std::move(run)] {
    fake_node& n = nodes_[i];
    if (n.up && n.incarnation == incarnation) {
      carry_out_effects(i, run());
    }
  };
  if (nodes_[i].paused) {
    nodes_[i].held_during_pause.push_back(guarded);
  } else {
    guarded();
  }
}

void fake_cluster::feed(std::size_t i, input in) {
  deliver(i, [this, i, in = std::move(in)] { return nodes_[i].core->on(now_, in); });
}

void fake_cluster::wake(std::size_t i) {
  fake_node& n = nodes_[i];
  const time_point due = std::max(n.core->next_tick(), now_);
  if (n.wake_at <= due && n.wake_at > now_) {
    return;
  }
  n.wake_at = due;
  const auto incarnation = n.incarnation;
  at(due, [this, i, due, incarnation] {
    fake_node& woken = nodes_[i];
    if (woken.incarnation != incarnation || !woken.up || woken.paused || woken.wake_at != due) {
      return;
    }
    woken.wake_at = time_point::max();
    deliver(i, [this, i] { return nodes_[i].core->tick(now_); });
  });
}

void fake_cluster::carry_out_effects(std::size_t i, const effects& out) {
  for (const effect& e : out) {
    carry_out(i, e);
  }
  nodes_[i].published = nodes_[i].core->routes(now_);
  wake(i);
}

}  // namespace arbutus::testing
