// The inventory: what the operators' asset register says there is. A value; one configuration
// version holds one inventory, which does not change while that version lives.
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

// A target VM: it runs one engine process.
struct vm_record {
  vm_id id;
  endpoint address;
  data_centre_id data_centre;
  fabric_domain_id fabric_domain;
  std::uint32_t accelerators{};
  bool checks_tokens = true;  // refuses an order that carries an old fencing token
  auto operator<=>(const vm_record&) const = default;
};

// An entry VM: it runs one node of this system.
// What an entry VM can do; 0: not told. Greater is stronger: a hub runs out of processor time
// before its link is full, so that time is compared first.
struct node_strength {
  std::uint32_t processor_permille = 0;  // of a core
  std::uint32_t link_mbps = 0;
  auto operator<=>(const node_strength&) const = default;
};

struct node_record {
  node_id id;
  data_centre_id data_centre;
  endpoint link;    // for other nodes
  endpoint caller;  // for callers
  node_strength strength = {};
  auto operator<=>(const node_record&) const = default;
};

// A plain service (such as crew-api) and where its instances listen.
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
  // Invariant (after check): ids are unique, each VM, node and service target names a data centre
  // of this list, and a fabric domain lies within one data centre.
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
