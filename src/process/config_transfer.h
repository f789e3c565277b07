// Transfer of a configuration from the hub of a data centre to its nodes.
//
// The hub sends the delta against the version that a node has, in parts that the link carries
// between two heartbeats. Without this, each node reads the whole row from the store, hundreds of
// KB for a change of a few routes, and all nodes do so simultaneously. A node reports its progress
// in each heartbeat, so that a lost part is sent again and parts of an older version are dropped.
// Does no I/O; the time is passed in.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/units.h"

namespace arbutus {

// A part of the delta to a row of the configuration. Rows are named by their versions; base 0 means
// that the delta contains the whole text.
struct config_part {
  std::uint64_t row{};   // version of the row that the delta results in
  std::uint64_t base{};  // version of the row that it applies to
  std::uint64_t size{};  // of the whole delta
  std::uint64_t offset{};
  std::string bytes;
  bool operator==(const config_part&) const = default;
};

// How many bytes of a delta have arrived.
struct config_progress {
  std::uint64_t row{};
  std::uint64_t base{};
  std::uint64_t bytes{};
  bool operator==(const config_progress&) const = default;
};

// The newest row, and some before it as bases of deltas for nodes that have those.
class config_history {
 public:
  // Ignores rows that are not newer than the newest.
  void add(std::uint64_t row, std::string text);
  // 0: no row yet.
  [[nodiscard]] std::uint64_t newest() const { return rows_.empty() ? 0 : rows_.back().row; }
  // Null if the row is not kept.
  [[nodiscard]] const std::string* find(std::uint64_t row) const;

  // The delta from row `held` to the newest; contains the whole text if `held` is not kept. Never
  // empty.
  const std::string& delta_for(std::uint64_t held);
  // The part after `at` for a node that has row `held`, at most `most` bytes. Empty if the node has
  // the newest row, or there is none.
  std::optional<config_part> part_for(std::uint64_t held, const config_progress& at,
                                      std::size_t most);

  // More than one, because nodes receive consecutive versions some heartbeats apart.
  static constexpr std::size_t max_kept_rows = 3;

 private:
  struct entry {
    std::uint64_t row;
    std::string text;
  };
  std::deque<entry> rows_;                       // in ascending order
  std::map<std::uint64_t, std::string> deltas_;  // to the newest row, by base; created on demand
};

// Reassembles the parts of a delta.
class config_receiver {
 public:
  // The text of the row when its last part has arrived. Parts that are out of order are ignored.
  std::optional<std::string> receive(const config_part& part, const config_history& held);
  [[nodiscard]] const config_progress& progress() const { return progress_; }

 private:
  config_progress progress_;
  std::string bytes_;  // received so far of the delta; progress_.bytes is their number
};

// Whether a node knows of a version that it does not have, and since when.
class config_lag {
 public:
  // Another node or the store has this row.
  void row_reported(time_point now, std::uint64_t row) {
    const bool is_new =
        row > applied_row_ && (missing_rows_.empty() || row > missing_rows_.back().row);
    if (is_new && missing_rows_.size() < max_missing_rows) {
      missing_rows_.push_back({row, now});
    }
  }
  // This row is in force on this node.
  void row_applied(std::uint64_t row) {
    applied_row_ = std::max(applied_row_, row);
    std::erase_if(missing_rows_, [this](const missing_row& m) { return m.row <= applied_row_; });
  }
  [[nodiscard]] bool behind() const { return !missing_rows_.empty(); }
  // Time since the oldest missing row was reported. Counts from the oldest, because with frequent
  // versions a node may always miss the newest one without being late with any.
  [[nodiscard]] duration age(time_point now) const {
    return behind() ? now - missing_rows_.front().at : duration{};
  }
  // Without this, routes that a version removed are served after the operators' bound has passed.
  // `bound`: from acceptance of a version until it is in force on all nodes. Half of it is reserved
  // for the time until this node learns of the version.
  [[nodiscard]] bool is_stale(time_point now, duration bound) const {
    return age(now) >= bound / 2;
  }

 private:
  struct missing_row {
    std::uint64_t row;
    time_point at;  // when it was first reported
  };
  static constexpr std::size_t max_missing_rows = 64;

  std::uint64_t applied_row_ = 0;
  std::deque<missing_row> missing_rows_;  // ascending rows, all above applied_row_
};

}  // namespace arbutus
