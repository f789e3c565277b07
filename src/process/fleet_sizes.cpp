// Builds a configuration for a fleet of the given size, with names like those in an asset register,
// and assignment rows, records and messages that match it.
#include "process/fleet_sizes.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <memory>
#include <string>
#include <vector>

#include "process/config_patch.h"
#include "process/engine_wire.h"
#include "process/gossip.h"
#include "request/keyed.h"
#include "version/assignment.h"
#include "version/configuration.h"

namespace arbutus {

namespace {

constexpr std::size_t vms_per_replica = 16;
constexpr std::size_t standbys_per_replica = 1;
constexpr std::size_t max_named_proposals = 32;  // most that a configuration head can list

std::string numbered(const char* name, std::size_t number) {
  return name + std::to_string(1000 + number).substr(1);
}

data_centre_id data_centre_of(std::size_t index, std::size_t data_centres) {
  return data_centre_id{numbered("dc-", index % data_centres)};
}

endpoint address_of(std::size_t index, std::uint16_t port) {
  return {"10.20." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), port};
}

inventory make_inventory(const fleet_size& size) {
  inventory assets;
  for (std::size_t i = 0; i < size.data_centres; ++i) {
    assets.data_centres.push_back(
        {data_centre_of(i, size.data_centres), numbered("region-", i % size.regions)});
  }
  for (std::size_t i = 0; i < size.vms; ++i) {
    vm_record vm;
    vm.data_centre = data_centre_of(i, size.data_centres);
    vm.id = vm_id{vm.data_centre.str() + "-vm-" + std::to_string(10000 + i)};
    vm.address = address_of(i, 8000);
    const std::size_t domain = i / size.data_centres / (vms_per_replica + 1);
    vm.fabric_domain = fabric_domain_id{vm.data_centre.str() + numbered("-fabric-", domain)};
    vm.accelerators = static_cast<std::uint32_t>(size.accelerators_per_vm);
    assets.vms.push_back(std::move(vm));
  }
  for (std::size_t i = 0; i < size.nodes; ++i) {
    node_record node;
    node.data_centre = data_centre_of(i, size.data_centres);
    node.id = node_id{node.data_centre.str() + numbered("-node-", i)};
    node.link = address_of(10000 + i, 7000);
    node.caller = address_of(10000 + i, 8080);
    assets.nodes.push_back(std::move(node));
  }
  return assets;
}

rules make_rules(const fleet_size& size) {
  rules desired;
  for (std::size_t i = 0; i < size.models; ++i) {
    model_rule model;
    model.id = model_id{numbered("model-", i)};
    model.version = "2026-12-02";
    model.vms_per_replica = vms_per_replica;
    for (std::size_t dc = 0; dc < size.data_centres; ++dc) {
      model.placements.push_back({data_centre_of(dc, size.data_centres), 1});
    }
    desired.models.push_back(std::move(model));
  }
  for (std::size_t i = 0; i < size.workspaces; ++i) {
    workspace_rule workspace;
    workspace.id = workspace_id{numbered("workspace-", i)};
    workspace.key_hashes = {std::string(64, 'a')};
    workspace.models = {desired.models[i % size.models].id};
    workspace.requests_per_second = 100;
    desired.workspaces.push_back(std::move(workspace));
  }
  return desired;
}

assignment make_row(std::size_t vms) {
  assignment row;
  row.data_centre = data_centre_id{"dc-000"};
  row.version = 12345;
  row.config_version = 7600;
  row.proposal = proposal_id{"dc-000-node-017/1796239613280/12345"};
  std::size_t next = 0;
  const auto take = [&](std::size_t count) {
    std::vector<vm_id> taken;
    for (std::size_t i = 0; i < count; ++i) {
      taken.emplace_back("dc-000-vm-" + std::to_string(10000 + next++));
    }
    return taken;
  };
  while (next + vms_per_replica + standbys_per_replica <= vms) {
    replica_plan replica;
    replica.model = model_id{numbered("model-", row.replicas.size())};
    replica.id = replica_id{replica.model.str() + ".dc-000.12345." + std::to_string(next)};
    replica.model_version = "2026-12-02";
    replica.members = take(vms_per_replica);
    replica.standbys = take(standbys_per_replica);
    replica.fencing_generation.row = 12300;
    row.replicas.push_back(std::move(replica));
  }
  return row;
}

engine_report make_report() {
  engine_report report;
  report.vm = vm_id{"dc-000-vm-10000"};
  report.incarnation = 1796239613280;
  report.replica = replica_id{"model-000.dc-000.12345.0"};
  report.fencing_generation.row = 12300;
  report.model_version = "2026-12-02";
  report.state = engine_state::ready;
  report.running = 12;
  report.queued = 3;
  report.slots = 16;
  report.tokens_per_second = 31.25;
  report.kv_used = 0.625;
  return report;
}

keyed_record make_record() {
  keyed_record record;
  record.owner = {node_id{"dc-000-node-017"}, 1796239613280, request_id{"01234567-89ab-cdef"}};
  record.body_hash = std::string(32, 'a');
  record.phase = record_phase::done;
  record.status = 200;
  record.content_type = "application/json";
  record.body = std::string(512, 'x');
  return record;
}

summary make_summary(const fleet_size& size) {
  summary s;
  s.data_centre = data_centre_id{"dc-000"};
  s.config_version = 7600;
  s.config_hash = std::string(32, 'a');
  for (std::size_t i = 0; i < size.models; ++i) {
    s.models.push_back({model_id{numbered("model-", i)}, 16, 250ms});
  }
  return s;
}

config_head make_head() {
  config_head head{7600, std::string(32, 'a'), {}};
  for (std::size_t i = 0; i < max_named_proposals; ++i) {
    head.proposals.emplace_back("dc-000-node-017-1796239613280-" + std::to_string(10000 + i));
  }
  return head;
}

// Median processor time of several runs of `work`, in milliseconds.
template <class Work>
double milliseconds(Work work) {
  constexpr int runs = 9;
  std::vector<double> times;
  for (int i = 0; i < runs; ++i) {
    const std::clock_t begin = std::clock();
    work();
    times.push_back(1e3 * static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
  }
  std::ranges::sort(times);
  return times[times.size() / 2];
}

std::size_t heap_bytes() {
  return mallinfo2().uordblks;
}

void print_configuration(std::ostream& out, const fleet_size& size) {
  inventory assets = make_inventory(size);
  const rules desired = make_rules(size);
  const std::string content = encode_content(assets, desired);
  const std::size_t before = heap_bytes();
  const auto decoded = std::make_unique<outcome<configuration>>(decode_content(content, 7600));
  const std::size_t memory = heap_bytes() - before;
  const double encode_ms = milliseconds([&] { (void)encode_content(assets, desired); });
  const double decode_ms = milliseconds([&] { (void)decode_content(content, 7600); });
  out << size.vms << " VMs, " << size.nodes << " nodes: configuration " << content.size()
      << " bytes, " << memory / 1024 << " KB decoded, " << encode_ms << " ms to encode, "
      << decode_ms << " ms to decode\n";
  assets.vms[size.vms / 2].address.port += 1;
  const std::string changed = encode_content(assets, desired);
  const config_content patch = make_patch(content, changed);
  const double patch_ms = milliseconds([&] { (void)apply_patch(content, patch); });
  out << "  patch for one VM's port: object " << encode_patch(patch).size() << " bytes, message "
      << encode(gossip_message{patch}).size() << " bytes, " << patch_ms << " ms to apply\n";
}

void print_row(std::ostream& out, std::size_t vms) {
  const assignment row = make_row(vms);
  const std::string bytes = encode(row);
  out << "row of " << vms << " VMs in " << row.replicas.size() << " replicas: " << bytes.size()
      << " bytes, " << milliseconds([&] { (void)decode_assignment(bytes); }) << " ms to decode\n";
}

void print_messages(std::ostream& out, const fleet_size& size) {
  order form;
  form.vm = vm_id{"dc-000-vm-10000"};
  form.target = planned_composition(make_row(vms_per_replica + standbys_per_replica).replicas[0]);
  form.model = model_id{"model-000"};
  form.model_version = "2026-12-02";
  out << "head " << encode(make_head()).size() << " bytes, report " << encode(make_report()).size()
      << ", order " << encode(form).size() << ", summary of " << size.models << " models "
      << encode(gossip_message{make_summary(size)}).size() << ", keyed record with a body of 512 "
      << encode(make_record()).size() << '\n';
}

}  // namespace

void print_fleet_sizes(std::ostream& out) {
  constexpr std::size_t fraction = 10;
  const fleet_size planned_size;
  fleet_size tenth;
  tenth.vms /= fraction;
  tenth.nodes /= fraction;
  out << std::fixed << std::setprecision(2);
  print_configuration(out, tenth);
  print_configuration(out, planned_size);
  print_row(out, planned_size.vms / planned_size.data_centres + 4);  // the VMs of five replicas
  print_row(out, 170);
  print_messages(out, planned_size);
}

}  // namespace arbutus
