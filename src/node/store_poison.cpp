// Verdicts on requests in the platform's store, for the case that all nodes end at once.
#include <algorithm>

#include "base/hash.h"
#include "connection/clock.h"
#include "node/log.h"
#include "node/poison_watch.h"
#include "node/store_timing.h"
#include "process/poison_wire.h"

namespace arbutus {

namespace {

constexpr std::string_view poison_table = "poison";
constexpr duration store_interval = 500ms;
// After each failure in a row twice as long: a store that does not take them is left alone.
constexpr std::uint32_t most_doublings = 6;

// Workspaces have no bound here that fits a key, and prints are told apart by both.
std::string key_of(const request_fingerprint& fingerprint) {
  return hash_text(fingerprint) + "-" + hash_text({{}, stable_hash(fingerprint.workspace.str())});
}

void count_call(hosted_state& node, std::string_view what, bool answered) {
  node.metrics.count("arbutusworks_store_calls", "what=\"" + std::string(what) + "\",answered=\"" +
                                                     (answered ? "yes" : "no") + "\"");
}

// Verdicts count from now on: the store does not say how old they are.
bool read_verdicts(hosted_state& node) {
  const auto result = node.store.read(poison_table, {}, monotonic_now() + read_timeout);
  const auto* rows = std::get_if<store_rows>(&result);
  count_call(node, "verdicts", rows != nullptr);
  if (rows == nullptr) {
    return false;
  }
  for (const store_row& stored : rows->rows) {
    auto row = decode_poison_row(stored.value);
    if (!row || !row->quarantined_ago) {
      log_line(log_level::warning, "poison", "unreadable verdict", {{"row", stored.version}});
      continue;
    }
    row->quarantined_ago = 0ms;
    row->cleared_ago.reset();
    row->stored = true;
    take_crash_row(node, monotonic_now(), *row, "store");
  }
  return true;
}

// False: the store did not take them.
bool write_changes(hosted_state& node) {
  const poison_tracker::store_changes changes = node.poison.ledger.pending_store_changes();
  transaction t;
  const time_point now = monotonic_now();
  for (const request_fingerprint& fingerprint : changes.to_write) {
    if (const auto row = node.poison.ledger.quarantine_row(now, fingerprint)) {
      t.writes.push_back({std::string(poison_table), key_of(fingerprint), encode(*row)});
    }
  }
  for (const request_fingerprint& fingerprint : changes.to_remove) {
    t.removals.push_back({std::string(poison_table), key_of(fingerprint)});
  }
  constexpr std::size_t most_entries = 50;
  t.writes.resize(std::min(t.writes.size(), most_entries));
  t.removals.resize(std::min(t.removals.size(), most_entries));
  if (t.writes.empty() && t.removals.empty()) {
    return true;
  }
  const bool written = is_ok(node.store.write(t, now + read_timeout));
  count_call(node, "own verdicts", written);
  if (!written) {
    return false;
  }
  for (std::size_t i = 0; i < t.writes.size(); ++i) {
    node.poison.ledger.set_stored(changes.to_write[i], true);
  }
  for (std::size_t i = 0; i < t.removals.size(); ++i) {
    node.poison.ledger.set_stored(changes.to_remove[i], false);
  }
  return true;
}

}  // namespace

// By hubs alone, each at another time: the first one tells the others that it is done.
void keep_verdicts(hosted_state& node) {
  bool read = false;
  std::uint32_t failures = 0;
  for (;;) {
    const duration spread = from_seconds(to_seconds(store_interval) * node.random.unit());
    const duration pause = (store_interval + spread) * (1U << std::min(failures, most_doublings));
    if (!sleep_until(monotonic_now() + pause)) {
      return;
    }
    if (!node.peers.is_hub(monotonic_now()) || node.peers.refused_by_store()) {
      failures = 0;
      continue;
    }
    read = read || read_verdicts(node);
    const bool done = read && write_changes(node);
    failures = done ? 0 : failures + 1;
  }
}

}  // namespace arbutus
