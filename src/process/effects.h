// Inputs and effects of a node's coordination core (class coordinator). The core is a state
// machine: it takes (now, input) and returns effects. The embedding program performs the effects
// and passes their results back as inputs. Inputs and effects do not depend on sockets, threads or
// clocks.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/outcome.h"
#include "base/units.h"
#include "process/report.h"
#include "version/assignment.h"
#include "version/configuration.h"

namespace arbutus {

// ---- the platform's table service: rows with a version each, conditional writes ----

struct table_row {
  std::string value;
  std::uint64_t version{};  // assigned by the table service; 0: the row does not exist
  auto operator<=>(const table_row&) const = default;
};

// Each operation on the table or the object store is passed back to the core together with its
// result, so the core need not track open calls.
struct table_read {
  std::string key;
};
struct table_write {
  std::string key;
  std::string value;
  std::uint64_t expected{};  // write only if the row has this version; 0: must not exist yet
};
struct table_written {
  std::uint64_t version{};
};
struct object_get {
  std::string name;
};
struct object_put {
  std::string name;
  std::string content;
};

// ---- target VMs ----

struct probe {
  vm_id vm;
};

enum class order_kind { form, release, drain };

// An order of a node to a target VM. Idempotent; carries the fencing token in `target`. Kind
// `form`: become a member of the composition `target`.
struct order {
  order_kind kind = order_kind::form;
  vm_id vm;
  composition target;
  model_id model;
  std::string model_version;
  std::uint64_t expected_incarnation{};  // of the target's process; 0: any
  duration validity_period = 2s;         // sender and target discard the order after this time
};

// ---- other nodes ----

struct peer_send {
  node_id to;
  std::string bytes;    // MessagePack
  bool urgent = false;  // the message must not be dropped or delayed in favour of newer state
};

// ---- the platform's list of VMs: may be outdated, and marks VMs that are about to leave ----

struct vm_list_entry {
  vm_id vm;
  bool leaving = false;
};
struct vm_list_read {};

// ---- messages for operators ----

struct notice {
  std::string part;
  std::string text;
};

using effect = std::variant<table_read, table_write, object_get, object_put, probe, order,
                            peer_send, vm_list_read, notice>;
using effects = std::vector<effect>;

// ---- results passed back as inputs ----

struct table_read_result {
  table_read request;
  outcome<table_row> result;
};
struct table_write_result {
  table_write request;
  outcome<table_written> result;  // refused: the row does not have the expected version
};
struct object_get_result {
  object_get request;
  outcome<std::string> result;
};
struct object_put_result {
  object_put request;
  outcome<std::monostate> result;
};
struct probe_result {
  vm_id vm;
  time_point sent_at;  // when the probe was sent; the report in the result is not older
  outcome<engine_report> result;
};
struct order_result {
  order request;
  outcome<engine_report> result;  // the target's state after the order; refused: outdated token
};
struct peer_message {
  node_id from;
  std::string bytes;
};
struct vm_list_result {
  outcome<std::vector<vm_list_entry>> result;
};
// The request path reports that a connection to this target broke or was refused.
struct target_connection_error {
  vm_id vm;
};

using input =
    std::variant<table_read_result, table_write_result, object_get_result, object_put_result,
                 probe_result, order_result, peer_message, vm_list_result, target_connection_error>;

}  // namespace arbutus
