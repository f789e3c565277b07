// The fleet of `trial`.
#include "cli/trial_fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

#include "connection/clock.h"
#include "version/secret.h"

namespace arbutus {

namespace {

constexpr std::size_t data_centres = 3;
constexpr std::size_t nodes_per_data_centre = 2;
constexpr std::size_t vms_per_data_centre = 7;
constexpr std::size_t replicas_per_data_centre = 2;
constexpr std::string_view operator_key = "trial-operator";
constexpr const char* loopback = "127.0.0.1";

std::string centre_name(std::size_t i) {
  return std::string("hall-") + static_cast<char>('a' + i);
}

inventory empty_addresses() {
  inventory assets;
  for (std::size_t c = 0; c < data_centres; ++c) {
    const data_centre_id centre{centre_name(c)};
    assets.data_centres.push_back({centre, "sk-west"});
    for (std::size_t v = 0; v < vms_per_data_centre; ++v) {
      vm_record vm;
      vm.id = vm_id{centre.str() + "-vm-" + std::to_string(v + 1)};
      vm.address = {loopback, 0};
      vm.data_centre = centre;
      vm.fabric_domain = fabric_domain_id{centre.str() + "-fabric"};
      vm.accelerators = 2;
      assets.vms.push_back(vm);
    }
    assets.services.push_back({service_id{"crew-api"}, centre, {loopback, 0}});
  }
  return assets;
}

fleet_settings standin_speeds() {
  fleet_settings settings;
  settings.engine.usual.batch.tokens_per_second = 400;
  settings.engine.usual.batch.prefill_tokens_per_second = 20'000;
  settings.engine.form_time = 150ms;
  settings.engine.report_lag = 100ms;
  settings.vm_list_lag = 500ms;
  return settings;
}

}  // namespace

trial_fleet::trial_fleet()
    : runtime_(3),
      workspaces_{{"sk-west-dispatch", "key-dispatch", 4.0},
                  {"crew-tablets", "key-tablets", 1.0},
                  {"night-desk", "key-night", 1.0}} {
  runtime_.run();
  standins_ = std::make_unique<standin_fleet>(runtime_, empty_addresses(), standin_speeds());
  client_ = std::make_unique<http_client>(runtime_);
  const socket_address platform{standins_->platform().host, standins_->platform().port};
  for (std::size_t i = 0; i < data_centres * nodes_per_data_centre; ++i) {
    node_setup options;
    const std::string centre = centre_name(i / nodes_per_data_centre);
    options.self = node_id{centre + "-node-" + std::to_string(i % nodes_per_data_centre + 1)};
    options.data_centre = data_centre_id{centre};
    options.callers = {loopback, 0};
    options.links = {loopback, 0};
    options.platform = {platform, platform, platform};
    options.workers = 1;
    options.operator_key_hash = sha256_hex(operator_key);
    options.incarnation = static_cast<std::uint64_t>(wall_now().milliseconds);
    options.seed = 1000 + i;
    options.balancer_lag = 300ms;
    nodes_.push_back(std::make_unique<node>(std::move(options)));
  }
  for (const auto& n : nodes_) {
    n->start();
  }
}

trial_fleet::~trial_fleet() {
  nodes_.clear();
  standins_.reset();
  client_.reset();
  runtime_.stop();
  runtime_.join();
}

std::size_t trial_fleet::wanted_replicas() const {
  return data_centres * replicas_per_data_centre;
}

socket_address trial_fleet::caller_address(std::size_t i) const {
  return {loopback, nodes_[i]->caller_port()};
}

std::string trial_fleet::inventory_text() const {
  std::ostringstream out;
  out << "kind,id,data_centre,region,address,fabric_domain,accelerators,checks_tokens,link,"
         "caller\n";
  const inventory& assets = standins_->assets();
  for (const data_centre_record& c : assets.data_centres) {
    out << "data_centre," << c.id << ",," << c.region << ",,,,,,\n";
  }
  for (const vm_record& v : assets.vms) {
    out << "vm," << v.id << ',' << v.data_centre << ",," << to_string(v.address) << ','
        << v.fabric_domain << ',' << v.accelerators << ",yes,,\n";
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const std::string centre = centre_name(i / nodes_per_data_centre);
    out << "node," << centre << "-node-" << i % nodes_per_data_centre + 1 << ',' << centre
        << ",,,,,," << loopback << ':' << nodes_[i]->link_port() << ',' << loopback << ':'
        << nodes_[i]->caller_port() << '\n';
  }
  for (const service_target& s : assets.services) {
    out << "service," << s.service << ',' << s.data_centre << ",," << to_string(s.address)
        << ",,,,,\n";
  }
  return out.str();
}

std::string trial_fleet::rules_text(double first_share) const {
  std::ostringstream out;
  out << "[weights]\ngroup_downtime = 3.0\nstranded_accelerators = 1.0\n\n"
      << "[planning]\nstandbys_per_replica = 1\nvm_failures_per_day = 1.0\n\n"
      << "[[model]]\nid = \"dispatch-llm\"\nversion = \"1\"\nvms_per_replica = 2\n"
      << "accelerators_per_vm = 2\nslots = 8\nreplicas = { ";
  for (std::size_t c = 0; c < data_centres; ++c) {
    out << (c == 0 ? "" : ", ") << centre_name(c) << " = " << replicas_per_data_centre;
  }
  out << " }\n\n[[service]]\nid = \"crew-api\"\npath_prefix = \"/crew\"\n"
      << "idempotent_calls = [\"GET /crew\"]\n\n"
      << "[[class]]\nname = \"interactive\"\npriority = 0\ndeadline_ms = 20000\n"
      << "first_token_ms = 5000\n\n";
  for (std::size_t i = 0; i < workspaces_.size(); ++i) {
    const trial_workspace& w = workspaces_[i];
    out << "[[workspace]]\nid = \"" << w.name << "\"\nkey_hashes = [\"" << sha256_hex(w.key)
        << "\"]\nmodels = [\"dispatch-llm\"]\nshare = " << std::fixed
        << (i == 0 ? first_share : w.share) << "\n\n";
  }
  return out.str();
}

std::uint64_t trial_fleet::apply(double first_share) {
  const nlohmann::json body = {{"base_version", version_},
                               {"proposal", "trial-" + std::to_string(version_ + 1)},
                               {"inventory", inventory_text()},
                               {"rules", rules_text(first_share)}};
  http_request request;
  request.method = "POST";
  request.target = "/admin/configuration";
  request.headers.add("authorization", "Bearer " + std::string(operator_key));
  request.body = body.dump();
  std::uint64_t accepted = 0;
  runtime_.run_on(0, [&] {
    const call_result result = client_->fetch(caller_address(0), request, monotonic_now() + 15s);
    const auto answer = nlohmann::json::parse(result.response.body, nullptr, false);
    if (result.ok() && result.response.status == 200 && answer.contains("version")) {
      accepted = answer["version"].get<std::uint64_t>();
    }
  });
  if (accepted != 0) {
    version_ = accepted;
  }
  return accepted;
}

trial_fleet::member trial_fleet::find_member(std::size_t centre) {
  member found;
  found.node = centre * nodes_per_data_centre;
  for (const replica_status& r : nodes_[found.node]->status().replicas) {
    if (r.serving && r.members.size() > 1) {
      found.replica = r.id;
      found.vm = r.members.back();
    }
  }
  return found;
}

bool trial_fleet::serves_without(std::size_t n, const replica_id& replica, const vm_id& without) {
  for (const replica_status& r : nodes_[n]->status().replicas) {
    if (r.id == replica) {
      return r.serving && std::find(r.members.begin(), r.members.end(), without) == r.members.end();
    }
  }
  return false;
}

bool trial_fleet::is_routed_to(std::size_t n, const replica_id& replica) {
  for (const replica_status& r : nodes_[n]->status().replicas) {
    if (r.id == replica) {
      return r.serving;
    }
  }
  return false;
}

}  // namespace arbutus
