// Transfer of a configuration from the hub of a data centre to its nodes.
//
// The hub sends the delta against the version that a node has, in parts that the link carries
// between two heartbeats. Without this, each node reads the whole configuration row from the store,
// hundreds of KB for a change of a few routes, and all nodes do so simultaneously. A node reports
// its progress in each heartbeat, so that a lost part is sent again and parts of an older version
// are dropped. Does no I/O; the time is passed in.
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

// A part of the delta that turns one row (version) of the configuration into a newer one. Rows are
// identified by their versions; base 0 means that the delta contains the whole text.
struct config_part {
  std::uint64_t row{};     // version of the row that the delta results in
  std::uint64_t base{};    // version of the row that it applies to
  std::uint64_t size{};    // of the whole delta, in bytes
  std::uint64_t offset{};  // of this part within the delta, in bytes
  std::string bytes;
  bool operator==(const config_part&) const = default;
};

// How many bytes of a configuration delta have arrived at a node.
struct config_progress {
  std::uint64_t row{};    // version of the row that the delta results in
  std::uint64_t base{};   // version of the row that the delta applies to
  std::uint64_t bytes{};  // received so far
  bool operator==(const config_progress&) const = default;
};

// The newest row of the configuration, and a few earlier ones as bases of deltas for nodes that
// still have those.
class config_history {
 public:
  // Adds a row with version `row`; ignored unless it is newer than the newest.
  void add(std::uint64_t row, std::string text);
  // Version of the newest row; 0: no row yet.
  [[nodiscard]] std::uint64_t newest_version() const {
    return rows_.empty() ? 0 : rows_.back().row;
  }
  // The text of the row with this version; null if the row is not kept.
  [[nodiscard]] const std::string* find(std::uint64_t row) const;

  // The delta from row `held_version` to the newest row; contains the whole text if row
  // `held_version` is not kept. Never empty.
  const std::string& delta_for(std::uint64_t held_version);
  // The part of the delta that follows the progress `at` of a node that has row `held_version`, at
  // most `max_bytes` bytes. Empty if the node has the newest row, or there is none.
  std::optional<config_part> part_for(std::uint64_t held_version, const config_progress& at,
                                      std::size_t max_bytes);

  // Number of configuration rows kept: the newest, and older ones as bases of deltas to it, because
  // nodes receive consecutive versions some heartbeats apart.
  static constexpr std::size_t max_kept_rows = 3;

 private:
  struct entry {
    std::uint64_t row;
    std::string text;
  };
  std::deque<entry> rows_;  // in ascending order
  // Deltas to the newest row by the version of their base; created on demand.
  std::map<std::uint64_t, std::string> deltas_;
};

// Reassembles the parts of a configuration delta on the node that receives them.
class config_receiver {
 public:
  // Returns the text of the new row once the last part of its delta has arrived. Parts that are out
  // of order are ignored. `held`: the rows that this node has.
  std::optional<std::string> receive(const config_part& part, const config_history& held);
  [[nodiscard]] const config_progress& progress() const { return progress_; }

 private:
  config_progress progress_;
  std::string bytes_;  // received so far of the delta; progress_.bytes is their number
};

// Whether a node knows of a configuration version that it does not have, and since when.
class config_lag {
 public:
  // Call when another node or the store reports a configuration row with version `row`.
  void row_reported(time_point now, std::uint64_t row) {
    const bool is_new =
        row > applied_row_ && (missing_rows_.empty() || row > missing_rows_.back().row);
    if (is_new && missing_rows_.size() < max_missing_rows) {
      missing_rows_.push_back({row, now});
    }
  }
  // Call when the configuration row with version `row` has come into force on this node.
  void row_applied(std::uint64_t row) {
    applied_row_ = std::max(applied_row_, row);
    std::erase_if(missing_rows_, [this](const missing_row& m) { return m.row <= applied_row_; });
  }
  [[nodiscard]] bool behind() const { return !missing_rows_.empty(); }
  // Time since the oldest missing row was reported. The time does not count from the newest missing
  // row, because with frequent versions a node may always miss the newest one without being late
  // with any.
  [[nodiscard]] duration age(time_point now) const {
    return behind() ? now - missing_rows_.front().at : duration{};
  }
  // Whether this node's configuration is too old to serve by. Without this check, the node still
  // serves routes that a newer version removed after the operators' bound has passed. `bound`: from
  // acceptance of a version until it is in force on all nodes. Half of it is reserved for the time
  // until this node learns of the version.
  [[nodiscard]] bool is_stale(time_point now, duration bound) const {
    return age(now) >= bound / 2;
  }

 private:
  struct missing_row {
    std::uint64_t row;
    time_point at;  // when the row was first reported to this node
  };
  static constexpr std::size_t max_missing_rows = 64;

  std::uint64_t applied_row_ = 0;
  std::deque<missing_row> missing_rows_;  // ascending rows, all above applied_row_
};

}  // namespace arbutus
