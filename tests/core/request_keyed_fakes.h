// Shared by the tests of calls with an idempotency key: an in-memory table, and calls with the same
// key.
#pragma once

#include <map>
#include <string>

#include "request/keyed.h"

namespace arbutus {

inline const workspace_id desk("desk");
inline const idempotency_key booking("booking-7");

struct fake_table {
  std::map<std::string, table_row> rows;

  outcome<table_written> apply(const table_write& w) {
    table_row& row = rows[w.key];
    if (row.version != w.expected) {
      return refused{"version"};
    }
    row = {w.value, row.version + 1};
    return table_written{row.version};
  }
  outcome<table_row> apply(const table_read& r) { return rows[r.key]; }
};

inline keyed_call_facts facts_of(const std::string& node, std::uint64_t number, time_point deadline,
                                 const std::string& body = "body") {
  return {desk,
          booking,
          {node_id(node), 1, request_id(node + "-" + std::to_string(number))},
          body,
          deadline};
}

}  // namespace arbutus
