// Loads of replicas as a hub sends them: to the nodes of its data centre those of all nodes, to the
// other hubs those of its data centre.
//
// A hub sends only loads that changed since the position that the receiver reported, names a head
// by a short number after the first time, and encodes the changes once for all receivers at the
// same position. Without this, the loads of all heads are encoded again for each node five times a
// second, and a hub of 100 nodes before 1,000 heads needs more than a quarter of a core and sends
// 8 MB a second. In each round at most `max_rows_per_round` loads change, those first that differ
// most from what the receivers know, so that the cost of a round does not grow with the heads.
//
// The loads for a node contain its own, since they are the same for all nodes. The node subtracts
// the loads that it reported in the heartbeat named by the update.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/id.h"
#include "request/replica_choice.h"

namespace arbutus {

using replica_loads = std::map<target_id, replica_load>;

// Position up to which a receiver has the loads of one incarnation of a hub; 0: it has none.
struct load_position {
  std::string incarnation;
  std::uint64_t at = 0;
  bool operator==(const load_position&) const = default;
};

struct load_update {
  std::uint64_t after = 0;     // the receiver has to be at this position or beyond; 0: at any
  std::uint64_t position = 0;  // of the sender, including these rows
  // Stamp of the receiver's heartbeat whose loads are contained; 0: none of its loads are.
  std::int64_t included_stamp_us = 0;
  std::string rows;  // encoded
  bool operator==(const load_update&) const = default;
};

class load_feed {
 public:
  // Sets the current loads; each one that changed gets a new position.
  void update(const replica_loads& loads);

  // The changes after the position `after`. The rows are encoded at most once between two updates
  // for each position.
  [[nodiscard]] load_update changes_after(std::uint64_t after);

  [[nodiscard]] std::uint64_t position() const { return position_; }
  // Number of times that rows were encoded; for tests.
  [[nodiscard]] std::uint64_t encodings() const { return encodings_; }

  // Loads that change in one round; 128 rows have about 1 KB, which at five rounds a second is what
  // a node may spend on control.
  static constexpr std::size_t max_rows_per_round = 128;
  // Heads without load are forgotten when there are this many; receivers then need all loads.
  static constexpr std::size_t max_idle_heads = 4096;

 private:
  struct entry {
    std::uint64_t number = 0;  // names the head in rows
    std::uint64_t named_at = 0;
    std::uint64_t changed_at = 0;
    std::int64_t active = 0;
    std::int64_t pending_prefill_tokens = 0;
  };
  void forget_idle_heads();

  std::map<target_id, entry> entries_;
  std::uint64_t position_ = 0;
  std::uint64_t next_number_ = 1;
  // Receivers before this position need all loads, since heads were forgotten after it.
  std::uint64_t first_resumable_ = 0;
  std::map<std::uint64_t, std::string> encoded_;  // rows by position, since the last update
  std::uint64_t encodings_ = 0;
};

class load_follower {
 public:
  // Applies an update of a hub. Returns false and ignores it if it does not continue from this
  // follower's position or cannot be read.
  bool apply(const std::string& incarnation, const load_update& update);
  [[nodiscard]] const load_position& at() const { return position_; }
  [[nodiscard]] const replica_loads& loads() const { return loads_; }

 private:
  load_position position_;
  std::map<std::uint64_t, target_id> heads_;  // by number
  replica_loads loads_;
};

// The loads that this node reported in its last heartbeats, by the stamps of these.
class reported_loads {
 public:
  void add(std::int64_t stamp_us, const replica_loads& loads);
  // `all` without those that this node reported at `stamp_us`; 0: none are contained. Empty if that
  // report is not known any more.
  [[nodiscard]] std::optional<replica_loads> subtract(std::int64_t stamp_us,
                                                      replica_loads all) const;

  // More heartbeats than are sent while a hub keeps the loads of a node that it does not hear.
  static constexpr std::size_t max_reports = 16;

 private:
  std::deque<std::pair<std::int64_t, replica_loads>> reports_;
};

}  // namespace arbutus
