// The inventory: the data centres, VMs, nodes and services that the operators' asset register
// lists. A value type; each configuration version holds one immutable inventory.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/id.h"

namespace arbutus {

// An IP address and port, as written in the inventory.
struct endpoint {
  std::string host;
  std::uint16_t port{};
  auto operator<=>(const endpoint&) const = default;
};

[[nodiscard]] std::string to_string(const endpoint& e);

// A target VM, which runs one engine process.
struct vm_record {
  vm_id id;
  endpoint address;
  data_centre_id data_centre;
  fabric_domain_id fabric_domain;
  std::uint32_t accelerators{};
  bool checks_fencing_tokens = true;  // the engine refuses orders that carry an old fencing token
  auto operator<=>(const vm_record&) const = default;
};

// Capacity of an entry VM; 0 means not reported. Compares processor time before link bandwidth,
// since a hub runs out of processor time before its link is saturated.
struct node_strength {
  std::uint32_t processor_permille = 0;  // in thousandths of a core
  std::uint32_t link_mbps = 0;
  auto operator<=>(const node_strength&) const = default;
};

// An entry VM, which runs one node of this system.
struct node_record {
  node_id id;
  data_centre_id data_centre;
  endpoint link;    // where the node listens for other nodes
  endpoint caller;  // where the node listens for callers
  node_strength strength = {};
  endpoint relay = {};  // where the node takes over calls of other nodes; empty: nowhere
  auto operator<=>(const node_record&) const = default;
};

// One instance of a service that is not a model (such as crew-api) and the address it listens on.
struct service_target {
  service_id service;
  data_centre_id data_centre;
  endpoint address;
  auto operator<=>(const service_target&) const = default;
};

struct data_centre_record {
  data_centre_id id;
  std::string region;
  auto operator<=>(const data_centre_record&) const = default;
};

struct inventory {
  // Invariant (after cross_check()): ids are unique, each VM, node and service target refers to a
  // listed data centre, and each fabric domain lies within one data centre.
  std::vector<data_centre_record> data_centres;
  std::vector<vm_record> vms;
  std::vector<node_record> nodes;
  std::vector<service_target> services;
  auto operator<=>(const inventory&) const = default;

  [[nodiscard]] const vm_record* find_vm(const vm_id& id) const;
  [[nodiscard]] const node_record* find_node(const node_id& id) const;
  [[nodiscard]] std::vector<const vm_record*> vms_of(const data_centre_id& dc) const;
  [[nodiscard]] std::vector<const node_record*> nodes_of(const data_centre_id& dc) const;
};

}  // namespace arbutus
