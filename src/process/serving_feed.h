// What a node has to know to send requests, as rows that a hub passes on: the replicas that serve
// and the instances of plain services.
//
// Only the nodes that keep replicas, or are next to do so, need the record of every target. Passed
// on to every node, the records cost targets x nodes: at 300 nodes before 3,000 engines each change
// of an engine goes to 100 nodes of a data centre, 430 bytes each, and fills the hub's link while
// replicas form. One would see leaving targets that are still used, and proofs that come too late.
// A replica is a row of some 40 bytes a member, which changes only when the replica does.
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

// A replica with its members, the head first, or an instance of a plain service alone.
struct serving_entry {
  std::vector<target_record> members;
  double pace = 1;  // of the slowest member, beyond that of the model
  bool operator==(const serving_entry&) const = default;
};

[[nodiscard]] std::string encode(const serving_entry& entry);
// Empty when the bytes are damaged.
[[nodiscard]] std::optional<serving_entry> decode_serving_entry(std::string_view bytes);

// The hub's side: keeps the rows of what serves, by the records that it follows. A row's key is the
// head or the instance; versions and positions count the changes seen by this incarnation of the
// hub.
class serving_feed {
 public:
  // Brings the rows up to date; does nothing while neither records nor services have changed.
  //
  // Targets that this node alone takes for lost are kept. Goes wrong otherwise: the hub's link is
  // choked, it loses every target within half a second, and no node of its data centre has any
  // replica left. What it takes for lost is told as a suspicion.
  void update(const fleet_view& fleet, const service_map& services);

  [[nodiscard]] const feed_log& rows() const { return rows_; }

  // Of each row the first member among `suspects`: enough to make a replica the last choice. The
  // members of a dark data centre would be a thousand names in every beat.
  [[nodiscard]] std::vector<target_id> first_of_each(const std::set<target_id>& suspects) const;

 private:
  void put(const std::string& key, const serving_entry& entry);

  std::uint64_t revision_ = 0;                  // of the fleet view at the last update
  std::uint64_t version_ = 0;                   // of the services
  std::map<std::string, std::string> encoded_;  // by key
  std::map<std::string, std::vector<target_id>> members_;
  feed_log rows_;
};

// The other side: applies a hub's rows to the fleet view of a node that keeps no replicas.
class serving_follower {
 public:
  // How far this node is in the rows of which incarnation of a hub.
  struct position {
    std::string incarnation;
    std::uint64_t at = 0;  // 0: at none, to be given all rows
    bool operator==(const position&) const = default;
  };

  // False: the rows do not follow on what is known here, and were left. `asked`: what they say was
  // so at that time or later.
  bool take(time_point asked, const std::string& incarnation, std::uint64_t after, bool whole,
            std::uint64_t at, const std::vector<feed_row>& rows, fleet_view& fleet);

  [[nodiscard]] const position& at() const { return position_; }
  // The fleet view was fed by something else since: the next rows have to be all.
  void forget_position() { position_ = {}; }

 private:
  void take_all(time_point asked, const std::vector<feed_row>& rows, fleet_view& fleet);
  void take_row(time_point asked, const feed_row& row, fleet_view& fleet);
  [[nodiscard]] static bool is_of_row(const target_view& view, const target_record& member);
  void drop_members(time_point asked, const std::string& key, const serving_entry* next,
                    fleet_view& fleet);

  position position_;
  std::map<std::string, serving_entry> entries_;  // by key
};

}  // namespace arbutus
