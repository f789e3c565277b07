// Inputs and effects of a data centre node's coordination core. The core is a value that is fed
// with (now, input) and returns effects; whoever embeds it carries the effects out and feeds the
// results back. Nothing here knows of sockets, threads or clocks.
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
  std::uint64_t version{};  // the table's own; 0: the row does not exist
  auto operator<=>(const table_row&) const = default;
};

// What was asked for; comes back with the result, so that no other bookkeeping is needed.
struct table_read {
  std::string key;
};
struct table_write {
  std::string key;
  std::string value;
  std::uint64_t expected{};  // the table's version of the row; 0: must not exist yet
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

// Idempotent; carries the fencing token. `form`: be a member of this composition.
struct order {
  order_kind kind = order_kind::form;
  vm_id vm;
  composition target;
  model_id model;
  std::string model_version;
  std::uint64_t expected_incarnation{};  // 0: any
  duration valid_for = 2s;               // the sender gives up after that; so does the target
};

// ---- other nodes ----

struct peer_send {
  node_id to;
  std::string bytes;    // MessagePack
  bool urgent = false;  // not to be dropped or delayed in favour of newer state
};

// ---- the platform's list of VMs: lags, and marks those that leave ----

struct vm_list_entry {
  vm_id vm;
  bool leaving = false;
};
struct vm_list_read {};

// ---- for people ----

struct notice {
  std::string part;
  std::string text;
};

using effect = std::variant<table_read, table_write, object_get, object_put, probe, order,
                            peer_send, vm_list_read, notice>;
using effects = std::vector<effect>;

// ---- results fed back ----

struct table_read_result {
  table_read asked;
  outcome<table_row> result;
};
struct table_write_result {
  table_write asked;
  outcome<table_written> result;  // refused: the row has another version
};
struct object_get_result {
  object_get asked;
  outcome<std::string> result;
};
struct object_put_result {
  object_put asked;
  outcome<std::monostate> result;
};
struct probe_result {
  vm_id vm;
  time_point sent_at;  // the report is at least this fresh
  outcome<engine_report> result;
};
struct order_result {
  order asked;
  outcome<engine_report> result;  // the target's state after the order; refused: old token
};
struct peer_message {
  node_id from;
  std::string bytes;
};
struct vm_list_result {
  outcome<std::vector<vm_list_entry>> result;
};
// The request path saw a connection to this target break or be refused.
struct target_error {
  vm_id vm;
};

using input =
    std::variant<table_read_result, table_write_result, object_get_result, object_put_result,
                 probe_result, order_result, peer_message, vm_list_result, target_error>;

}  // namespace arbutus
