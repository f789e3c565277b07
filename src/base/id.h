// Strong types for identifiers: a VM id cannot be passed where a replica id is expected.
#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace arbutus {

template <class Tag>
class name_id {
 public:
  name_id() = default;
  explicit name_id(std::string value) : value_(std::move(value)) {}
  explicit name_id(std::string_view value) : value_(value) {}
  explicit name_id(const char* value) : value_(value) {}

  [[nodiscard]] const std::string& str() const noexcept { return value_; }
  [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

  auto operator<=>(const name_id&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const name_id& id) { return out << id.value_; }

 private:
  std::string value_;
};

using vm_id = name_id<struct vm_tag>;
using data_centre_id = name_id<struct data_centre_tag>;
// A group of data centres that requests may be confined to.
using region_id = name_id<struct region_tag>;
using fabric_domain_id = name_id<struct fabric_domain_tag>;
using model_id = name_id<struct model_tag>;
using adapter_id = name_id<struct adapter_tag>;
using workspace_id = name_id<struct workspace_tag>;
using replica_id = name_id<struct replica_tag>;
using service_id = name_id<struct service_tag>;
using node_id = name_id<struct node_tag>;
// Identifies one incarnation of a target's process: after a restart at the same address it is
// another target.
using target_id = name_id<struct target_tag>;

// Identifies a model on a hosted platform, where services may give models of their own the same
// name.
struct model_key {
  service_id service;
  model_id model;
  auto operator<=>(const model_key&) const = default;
};

// Identifies one request on all nodes and targets that it passes.
using request_id = name_id<struct request_tag>;
// Key that a caller sends with a call, so that nodes recognise a repetition of the call.
using idempotency_key = name_id<struct idempotency_key_tag>;
// Identifies one attempt to change a row of the platform's table. If the reply to the write is
// lost, the proposer reads the row back and looks for this id.
using proposal_id = name_id<struct proposal_tag>;

}  // namespace arbutus

template <class Tag>
struct std::hash<arbutus::name_id<Tag>> {
  std::size_t operator()(const arbutus::name_id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};
