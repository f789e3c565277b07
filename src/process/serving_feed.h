// The data that nodes need to send requests, as rows that a hub forwards to them: the serving
// replicas and the instances of services that are not models.
//
// Only the nodes that control replicas, or are next in line to do so, need the record of every
// target. The cost of sending all records to all nodes grows with targets x nodes: with 300 nodes
// and 3,000 engines, each change of an engine goes to the 100 nodes of a data centre, 430 bytes
// each. While replicas form, that saturates the hub's link, so that nodes still use draining
// targets and liveness proofs arrive too late. The row of a replica has about 40 bytes per member
// and changes only with the replica.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/feed_log.h"
#include "process/fleet_view.h"
#include "version/service_map.h"

namespace arbutus {

// The members of a replica, head first, or a single instance of a service that is not a model.
struct serving_entry {
  std::vector<target_record> members;
  double slowdown_factor = 1;  // of the slowest member, on top of the model's factor
  bool operator==(const serving_entry&) const = default;
};

[[nodiscard]] std::string encode(const serving_entry& entry);
// Decodes a row of the feed; empty if the bytes are damaged.
[[nodiscard]] std::optional<serving_entry> decode_serving_entry(std::string_view bytes);

// The sending side, on the hub: maintains the rows from the target records that the hub watches.
// The key of a row is the head or the instance. Versions and positions count the changes observed
// by this incarnation of the hub.
class serving_feed {
 public:
  // Updates the rows; does nothing if neither records nor services have changed.
  //
  // Replicas with targets that only this node has marked as lost stay among the rows. Without this,
  // a hub with a congested link loses every target within 0.5 s, and no node of its data centre has
  // any replica left. Lost targets are reported as suspects instead.
  void update(const fleet_view& fleet, const service_map& services);

  [[nodiscard]] const feed_log& rows() const { return rows_; }

  // The first member of each row that is among `suspects`. One suspect is enough to make a replica
  // the last choice, while all members of an unreachable data centre would add a thousand names to
  // every heartbeat.
  [[nodiscard]] std::vector<target_id> first_suspect_per_row(
      const std::set<target_id>& suspects) const;

 private:
  void put_row(const std::string& key, const serving_entry& entry);

  std::uint64_t fleet_revision_ = 0;                 // of the fleet view at the last update
  std::uint64_t services_version_ = 0;               // of the services at the last update
  std::map<std::string, std::string> encoded_rows_;  // encoded rows by key
  std::map<std::string, std::vector<target_id>> members_by_key_;
  feed_log rows_;
};

// The receiving side: applies a hub's rows to the fleet view of a node that controls no replicas.
class serving_follower {
 public:
  // Position up to which this node has the rows of an incarnation of a hub.
  struct position {
    std::string incarnation;
    std::uint64_t at = 0;  // 0: none, all rows are needed
    bool operator==(const position&) const = default;
  };

  // Applies rows that describe the state at `queried_at` or later. Returns false and ignores them
  // if they do not continue from this node's position.
  bool apply(time_point queried_at, const std::string& incarnation, std::uint64_t after, bool whole,
             std::uint64_t at, const std::vector<feed_row>& rows, fleet_view& fleet);

  [[nodiscard]] const position& at() const { return position_; }
  // To be called when the fleet view was updated from another source: all rows are needed next.
  void reset_position() { position_ = {}; }

 private:
  void apply_snapshot(time_point queried_at, const std::vector<feed_row>& rows, fleet_view& fleet);
  void apply_row(time_point queried_at, const feed_row& row, fleet_view& fleet);
  [[nodiscard]] static bool still_belongs_to_row(const target_view& view,
                                                 const target_record& member);
  void drop_members(time_point queried_at, const std::string& key, const serving_entry* next,
                    fleet_view& fleet);

  position position_;
  std::map<std::string, serving_entry> entries_;  // the rows applied so far, by key
};

}  // namespace arbutus
