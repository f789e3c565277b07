// Starts a fleet of nodes and stand-ins inside this process, and inspects its state for `trial` and
// `load`.
#include "load/fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

#include "connection/clock.h"
#include "version/secret.h"

namespace arbutus {

namespace {

constexpr std::string_view operator_key = "fleet-operator";
constexpr const char* loopback = "127.0.0.1";
constexpr std::uint32_t accelerators_per_vm = 2;

std::string data_centre_name(std::size_t i) {
  return std::string("hall-") + static_cast<char>('a' + i);
}

}  // namespace

inventory fleet::assets_without_ports() const {
  inventory assets;
  for (std::size_t c = 0; c < fleet_config_.data_centres; ++c) {
    const data_centre_id centre = data_centre(c);
    assets.data_centres.push_back({centre, "sk-west"});
    for (std::size_t v = 0; v < fleet_config_.vms_per_data_centre; ++v) {
      vm_record vm;
      vm.id = vm_id{centre.str() + "-vm-" + std::to_string(v + 1)};
      vm.address = {loopback, 0};
      vm.data_centre = centre;
      vm.fabric_domain = fabric_domain_id{centre.str() + "-fabric"};
      vm.accelerators = accelerators_per_vm;
      assets.vms.push_back(vm);
    }
    assets.services.push_back({service_id{fleet_service_name}, centre, {loopback, 0}});
  }
  return assets;
}

fleet::fleet(fleet_spec fleet_config)
    : fleet_config_(std::move(fleet_config)), runtime_(fleet_config_.runtime_workers) {
  runtime_.run();
  standins_ =
      std::make_unique<standin_fleet>(runtime_, assets_without_ports(), fleet_config_.standins);
  client_ = std::make_unique<http_client>(runtime_);
  start_nodes();
}

void fleet::start_nodes() {
  const socket_address platform{standins_->platform().host, standins_->platform().port};
  for (std::size_t i = 0; i < fleet_config_.data_centres * fleet_config_.nodes_per_data_centre;
       ++i) {
    node_setup options;
    const std::string centre = data_centre_name(i / fleet_config_.nodes_per_data_centre);
    options.self =
        node_id{centre + "-node-" + std::to_string(i % fleet_config_.nodes_per_data_centre + 1)};
    options.data_centre = data_centre_id{centre};
    options.caller_address = {loopback, 0};
    options.link_address = {loopback, 0};
    options.platform = {platform, platform, platform};
    options.workers = fleet_config_.node_workers;
    options.operator_key_hash = sha256_hex(operator_key);
    options.incarnation = static_cast<std::uint64_t>(wall_now().milliseconds);
    options.seed = 1000 * fleet_config_.seed + i;
    options.load_balancer_lag = fleet_config_.load_balancer_lag;
    nodes_.push_back(std::make_unique<node>(std::move(options)));
  }
  for (const auto& n : nodes_) {
    n->start();
  }
}

fleet::~fleet() {
  nodes_.clear();
  standins_.reset();
  client_.reset();
  runtime_.stop();
  runtime_.join();
}

std::size_t fleet::desired_replicas() const {
  return fleet_config_.data_centres * fleet_config_.replicas_per_data_centre;
}

socket_address fleet::caller_address(std::size_t i) const {
  return {loopback, nodes_[i]->caller_port()};
}

std::string fleet::inventory_text() const {
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
    const std::string centre = data_centre_name(i / fleet_config_.nodes_per_data_centre);
    out << "node," << centre << "-node-" << i % fleet_config_.nodes_per_data_centre + 1 << ','
        << centre << ",,,,,," << loopback << ':' << nodes_[i]->link_port() << ',' << loopback << ':'
        << nodes_[i]->caller_port() << '\n';
  }
  for (const service_target& s : assets.services) {
    out << "service," << s.service << ',' << s.data_centre << ",," << to_string(s.address)
        << ",,,,,\n";
  }
  return out.str();
}

std::string fleet::rules_text(double first_workspace_share) const {
  std::ostringstream out;
  out << "[weights]\ngroup_downtime = 3.0\nstranded_accelerators = 1.0\n\n"
      << "[planning]\nstandbys_per_replica = " << fleet_config_.standbys_per_replica
      << "\nvm_failures_per_day = 1.0\n\n"
      << "[[model]]\nid = \"" << fleet_config_.model
      << "\"\nversion = \"1\"\nvms_per_replica = " << fleet_config_.vms_per_replica
      << "\naccelerators_per_vm = " << accelerators_per_vm << "\nslots = " << fleet_config_.slots
      << "\nreplicas = { ";
  for (std::size_t c = 0; c < fleet_config_.data_centres; ++c) {
    out << (c == 0 ? "" : ", ") << data_centre_name(c) << " = "
        << fleet_config_.replicas_per_data_centre;
  }
  out << " }\n\n[[service]]\nid = \"" << fleet_service_name << "\"\npath_prefix = \""
      << fleet_service_path << "\"\nidempotent_calls = [\"GET " << fleet_service_path << "\"]\n\n";
  for (const class_rule& c : fleet_config_.classes) {
    out << "[[class]]\nname = \"" << c.name << "\"\npriority = " << c.priority
        << "\ndeadline_ms = " << static_cast<std::int64_t>(to_milliseconds(c.deadline))
        << "\nfirst_token_ms = " << static_cast<std::int64_t>(to_milliseconds(c.first_token))
        << "\n\n";
  }
  for (std::size_t i = 0; i < fleet_config_.workspaces.size(); ++i) {
    const fleet_workspace& w = fleet_config_.workspaces[i];
    out << "[[workspace]]\nid = \"" << w.name << "\"\nkey_hashes = [\"" << sha256_hex(w.key)
        << "\"]\nmodels = [\"" << fleet_config_.model << "\"]\nshare = " << std::fixed
        << (i == 0 ? first_workspace_share : w.share) << "\n\n";
  }
  return out.str();
}

std::uint64_t fleet::apply(double first_workspace_share) {
  const nlohmann::json body = {{"base_version", version_},
                               {"proposal", "fleet-" + std::to_string(version_ + 1)},
                               {"inventory", inventory_text()},
                               {"rules", rules_text(first_workspace_share)}};
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

data_centre_id fleet::data_centre(std::size_t index) const {
  return data_centre_id{data_centre_name(index)};
}

bool fleet::is_active_on_all_nodes(std::uint64_t version) const {
  return std::all_of(nodes_.begin(), nodes_.end(),
                     [&](const auto& n) { return n->config_version() >= version; });
}

std::size_t fleet::serving_replicas() const {
  std::size_t sum = 0;
  for (std::size_t first = 0; first < nodes_.size(); first += fleet_config_.nodes_per_data_centre) {
    std::size_t min_count = nodes_[first]->routable_replicas();
    for (std::size_t i = 1; i < fleet_config_.nodes_per_data_centre; ++i) {
      min_count = std::min(min_count, nodes_[first + i]->routable_replicas());
    }
    sum += min_count;
  }
  return sum;
}

std::vector<fleet::replica_head> fleet::heads() const {
  std::vector<replica_head> result;
  for (std::size_t first = 0; first < nodes_.size(); first += fleet_config_.nodes_per_data_centre) {
    for (const replica_status& r : nodes_[first]->status().replicas) {
      if (r.serving && !r.members.empty()) {
        const endpoint& at = standins_->assets().find_vm(r.members.front())->address;
        result.push_back({r.members.front(), {at.host, at.port}});
      }
    }
  }
  return result;
}

fleet::member fleet::find_member(std::size_t centre) {
  member found;
  found.node = centre * fleet_config_.nodes_per_data_centre;
  for (const replica_status& r : nodes_[found.node]->status().replicas) {
    if (r.serving && r.members.size() > 1) {
      found.replica = r.id;
      found.vm = r.members.back();
    }
  }
  return found;
}

bool fleet::routes_without_member(std::size_t n, const replica_id& replica, const vm_id& without) {
  for (const replica_status& r : nodes_[n]->status().replicas) {
    if (r.id == replica) {
      return r.serving && std::find(r.members.begin(), r.members.end(), without) == r.members.end();
    }
  }
  return false;
}

bool fleet::is_routed_to(std::size_t n, const replica_id& replica) {
  for (const replica_status& r : nodes_[n]->status().replicas) {
    if (r.id == replica) {
      return r.serving;
    }
  }
  return false;
}

}  // namespace arbutus
