// Stores quarantines in the platform's store, so that they survive a simultaneous failure of all
// nodes.
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
// The pause doubles with each consecutive failure, to limit the load on a store that refuses
// writes.
constexpr std::uint32_t max_pause_doublings = 6;

// The key of a quarantine's row: the hash of the request and that of the workspace, since both
// identify a fingerprint and the name of a workspace may be too long for a key.
std::string key_of(const request_fingerprint& fingerprint) {
  const std::string key =
      hash_text(fingerprint) + "-" + hash_text({{}, stable_hash(fingerprint.workspace.str())});
  return fingerprint.kind == fingerprint_kind::prompt_block ? "block-" + key : key;
}

void count_call(hosted_state& node, std::string_view what, bool answered) {
  node.metrics.count("arbutusworks_store_calls", "what=\"" + std::string(what) + "\",answered=\"" +
                                                     (answered ? "yes" : "no") + "\"");
}

// Whether the row is of a quarantine that this node knows of, in force or not any more.
bool is_known(const hosted_state& node, const request_fingerprint& fingerprint) {
  const auto& known = node.poison.tracker.all();
  const auto found = known.find(fingerprint);
  return found != known.end() && (found->second.quarantined_at || found->second.cleared_at);
}

// Returns the era of the store that has the rows; 0 if it did not answer. The age of the
// quarantines counts from now, since the store does not return it.
std::uint64_t read_quarantines(hosted_state& node) {
  const auto result = node.store.read(poison_table, {}, monotonic_now() + store_read_timeout);
  const auto* rows = std::get_if<store_rows>(&result);
  count_call(node, "verdicts", rows != nullptr);
  if (rows == nullptr) {
    return 0;
  }
  for (const store_row& stored : rows->rows) {
    auto row = decode_poison_row(stored.value);
    if (!row || !row->quarantined_ago) {
      log_line(log_level::warning, "poison", "unreadable quarantine row",
               {{"row", number_of(stored.version)}});
      continue;
    }
    if (is_known(node, row->fingerprint)) {
      // The row of one that is not in force any more is removed with the next changes.
      node.poison.tracker.set_stored(row->fingerprint, true);
      continue;
    }
    row->quarantined_ago = 0ms;
    row->cleared_ago.reset();
    row->stored = true;
    merge_poison_row(node, monotonic_now(), *row, "store");
  }
  return era_of(rows->version);
}

// Writes the changed quarantines to the store. False if the write failed.
bool write_changes(hosted_state& node) {
  const poison_tracker::store_changes changes = node.poison.tracker.pending_store_changes();
  transaction t;
  const time_point now = monotonic_now();
  for (const request_fingerprint& fingerprint : changes.to_write) {
    if (const auto row = node.poison.tracker.quarantine_row(now, fingerprint)) {
      t.writes.push_back({std::string(poison_table), key_of(fingerprint), encode(*row)});
    }
  }
  for (const request_fingerprint& fingerprint : changes.to_remove) {
    t.removals.push_back({std::string(poison_table), key_of(fingerprint)});
  }
  constexpr std::size_t max_rows_per_write = 50;
  t.writes.resize(std::min(t.writes.size(), max_rows_per_write));
  t.removals.resize(std::min(t.removals.size(), max_rows_per_write));
  if (t.writes.empty() && t.removals.empty()) {
    return true;
  }
  const bool written = is_ok(node.store.write(t, now + store_read_timeout));
  count_call(node, "own verdicts", written);
  if (!written) {
    return false;
  }
  for (std::size_t i = 0; i < t.writes.size(); ++i) {
    node.poison.tracker.set_stored(changes.to_write[i], true);
  }
  for (std::size_t i = 0; i < t.removals.size(); ++i) {
    node.poison.tracker.set_stored(changes.to_remove[i], false);
  }
  return true;
}

}  // namespace

// Only hubs write quarantines to the store, at random times: the first one to write notifies the
// others that the row is stored.
void sync_quarantines(hosted_state& node) {
  std::uint64_t read_in = 0;  // era of the store in which the rows were last read; 0: not yet
  std::uint32_t failures = 0;
  for (;;) {
    const duration spread = from_seconds(to_seconds(store_interval) * node.random.unit());
    const duration pause =
        (store_interval + spread) * (1U << std::min(failures, max_pause_doublings));
    if (!sleep_until(monotonic_now() + pause)) {
      return;
    }
    if (!node.peers.is_hub(monotonic_now()) || node.peers.refused_by_store()) {
      failures = 0;
      continue;
    }
    if (read_in == 0 || read_in < node.store_era()) {
      // What was stored may be gone from a restored store, and what was removed may be back.
      node.poison.tracker.forget_stored();
      read_in = read_quarantines(node);
    }
    const bool done = read_in != 0 && write_changes(node);
    failures = done ? 0 : failures + 1;
  }
}

}  // namespace arbutus
