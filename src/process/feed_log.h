// The latest rows of a watched table, for forwarding to nodes that do not watch it themselves.
//
// The store charges for each query and limits the query rate of all nodes together. So one node of
// a data centre watches the store and the others query that node. Both use the same positions: a
// node that loses its hub continues at the store from its current position.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus {

struct feed_row {
  std::string key;
  std::string value;
  std::uint64_t version{};
  bool removed = false;
  bool readable = true;  // false: the value could not be decoded, and is empty
  bool operator==(const feed_row&) const = default;
};

class feed_log {
 public:
  // Stores a row received from the feed or by a read of the whole table, unless a newer version of
  // it is stored already.
  void apply(const feed_row& row) {
    feed_row& known = rows_by_key_[row.key];
    if (row.version >= known.version) {
      known = row;
    }
  }

  // Applies a read of the whole table at `position`: rows that are not in it count as removed.
  void replace(const std::vector<feed_row>& rows, std::uint64_t position) {
    std::set<std::string_view> present;
    for (const feed_row& row : rows) {
      present.insert(row.key);
    }
    for (auto& [key, known] : rows_by_key_) {
      if (!present.contains(key) && !known.removed) {
        known = {key, {}, position, true};
      }
    }
    for (const feed_row& row : rows) {
      apply(row);
    }
    advance(position);
    last_snapshot_position_ = position;
  }

  void advance(std::uint64_t position) { position_ = std::max(position_, position); }
  // Drops all rows and continues from a position up to which another node has the table.
  void resume_from(std::uint64_t position) {
    rows_by_key_.clear();
    position_ = position;
    last_snapshot_position_ = position + 1;
  }

  // Position in the watched table up to which the log contains all changes.
  [[nodiscard]] std::uint64_t position() const { return position_; }

  // Whether the log can be extended by rows after position `after`. Without this check, a node that
  // has just restarted could receive the answer to a query of its previous incarnation, adopt the
  // sender's position, and never get the earlier rows: it would have no configuration or no
  // replicas while all other nodes serve.
  [[nodiscard]] bool can_resume(std::uint64_t after) const { return after <= position_; }

  // Whether a node at position `after` needs all rows: removals before the last read of the whole
  // table may be missing from the log.
  [[nodiscard]] bool needs_snapshot(std::uint64_t after) const {
    return after < last_snapshot_position_;
  }

  // Rows changed after position `after`, oldest first; all rows if needs_snapshot(after).
  [[nodiscard]] std::vector<feed_row> since(std::uint64_t after) const {
    std::vector<feed_row> result;
    if (after >= position_) {
      return result;
    }
    const bool whole = needs_snapshot(after);
    for (const auto& [key, row] : rows_by_key_) {
      if (whole ? !row.removed : row.version > after) {
        result.push_back(row);
      }
    }
    std::sort(result.begin(), result.end(),
              [](const feed_row& a, const feed_row& b) { return a.version < b.version; });
    return result;
  }

 private:
  std::map<std::string, feed_row> rows_by_key_;  // removed rows stay, to be forwarded as removals
  std::uint64_t position_ = 0;
  std::uint64_t last_snapshot_position_ =
      1;  // position of the last read of the whole table; 1: none yet
};

}  // namespace arbutus
