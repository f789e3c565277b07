// The newest rows of a table that is followed, to be passed on to nodes that do not follow it
// themselves.
//
// The store charges each question and bounds their rate for all nodes together. So one node of a
// data centre follows the store, and the others ask it by the same positions: whoever stops hearing
// it goes on at the store where it was.
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
  // A row of the feed, or of the whole table.
  void take(const feed_row& row) {
    feed_row& known = rows_[row.key];
    if (row.version >= known.version) {
      known = row;
    }
  }

  // The table was read whole at `position`: what it does not hold is gone since then.
  void replace(const std::vector<feed_row>& rows, std::uint64_t position) {
    std::set<std::string_view> present;
    for (const feed_row& row : rows) {
      present.insert(row.key);
    }
    for (auto& [key, known] : rows_) {
      if (!present.contains(key) && !known.removed) {
        known = {key, {}, position, true};
      }
    }
    for (const feed_row& row : rows) {
      take(row);
    }
    advance(position);
    complete_from_ = position;
  }

  void advance(std::uint64_t position) { position_ = std::max(position_, position); }
  // Holds no rows, and goes on from a position up to which another node knows the table.
  void go_on_from(std::uint64_t position) {
    rows_.clear();
    position_ = position;
    complete_from_ = position + 1;
  }

  // Everything up to this position is in the log.
  [[nodiscard]] std::uint64_t position() const { return position_; }

  // Whether rows behind `after` complete what is known here. Goes wrong: a node that has just
  // started again is answered on what its earlier incarnation had asked for, takes the sender's
  // position for its own, and lacks for ever what came before. One would see a node that knows no
  // configuration, or no replicas, while all others serve.
  [[nodiscard]] bool can_follow(std::uint64_t after) const { return after <= position_; }

  // What was removed before this position may be missing: whoever is behind it needs the whole
  // table.
  [[nodiscard]] bool needs_whole(std::uint64_t after) const { return after < complete_from_; }

  // Rows behind `after`, oldest first; the whole table if that is needed.
  [[nodiscard]] std::vector<feed_row> since(std::uint64_t after) const {
    std::vector<feed_row> result;
    if (after >= position_) {
      return result;
    }
    const bool whole = needs_whole(after);
    for (const auto& [key, row] : rows_) {
      if (whole ? !row.removed : row.version > after) {
        result.push_back(row);
      }
    }
    std::sort(result.begin(), result.end(),
              [](const feed_row& a, const feed_row& b) { return a.version < b.version; });
    return result;
  }

 private:
  std::map<std::string, feed_row> rows_;  // removed ones stay, as those behind must hear of them
  std::uint64_t position_ = 0;
  std::uint64_t complete_from_ = 1;  // of the last whole read; 1: none yet
};

}  // namespace arbutus
