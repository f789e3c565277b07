// The configuration in force on this node, and how the node gets newer ones: from the head row in
// the table, the object store and its peers, whichever answers. The version in force only
// increases, also when the platform restores its table from an old copy; the node then repairs the
// head row in the table. (A replica of the configuration; unrelated to replicas of engines.)
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/outcome.h"
#include "base/rng.h"
#include "base/units.h"
#include "process/config_patch.h"
#include "process/control_timing.h"
#include "process/gossip.h"
#include "version/configuration.h"

namespace arbutus {

// The configuration head (version, hash and proposals) as read from its row in the table.
struct head_row {
  std::optional<config_head> head;  // empty: there is no row
  std::uint64_t row_version{};      // assigned by the table service; 0: there is no row
  auto operator<=>(const head_row&) const = default;
};

// ---- effects for the caller to execute ----

struct fetch_config_head {  // read the configuration's head row from the table
  auto operator<=>(const fetch_config_head&) const = default;
};
struct fetch_object {  // get this object from the object store
  std::string name;
  auto operator<=>(const fetch_object&) const = default;
};
struct restore_object {  // put this object again, in case the object store has lost it
  std::string name;
  std::string content;
  auto operator<=>(const restore_object&) const = default;
};
struct repair_head {  // write this head if the head row still has the version
                      // `expected_row_version`
  config_head head;
  std::uint64_t expected_row_version{};
  auto operator<=>(const repair_head&) const = default;
};
struct send_peer_message {  // send this message to a peer node
  node_id to;
  std::variant<config_request, config_content> message;
  auto operator<=>(const send_peer_message&) const = default;
};
struct operator_notice {  // a notice for the operators
  std::string text;
  auto operator<=>(const operator_notice&) const = default;
};
// The configuration in force has changed: publish it on this node and send heartbeats immediately.
struct publish_configuration {
  std::uint64_t version{};
  auto operator<=>(const publish_configuration&) const = default;
};
using config_effect = std::variant<fetch_config_head, fetch_object, restore_object, repair_head,
                                   send_peer_message, operator_notice, publish_configuration>;
using config_effects = std::vector<config_effect>;

struct config_in_force {
  std::uint64_t version{};  // 0: no configuration yet
  std::string hash;
  time_point in_force_since;
};

class config_replica {
 public:
  config_replica(node_id self, std::uint64_t seed, control_timing timing = {});

  // Reads the head row when that is due, and repeats requests that timed out. `live`: the live
  // nodes by membership, including this one, sorted by id.
  [[nodiscard]] config_effects tick(const std::vector<node_id>& live, time_point now);
  // Call with the result of a fetch_config_head.
  [[nodiscard]] config_effects head_read(const outcome<head_row>& result, time_point now);
  // Call when a heartbeat or summary reports which configuration a peer has in force.
  [[nodiscard]] config_effects peer_reported(const node_id& peer, std::uint64_t version,
                                             std::string_view hash, time_point now);
  [[nodiscard]] config_effects peer_requested(const node_id& peer, const config_request& request);
  // Call with configuration content from a peer; ignored unless its hash is right.
  [[nodiscard]] config_effects peer_sent(const node_id& peer, const config_content& content,
                                         time_point now);
  // Call with the result of a fetch_object.
  [[nodiscard]] config_effects object_read(std::string_view name,
                                           const outcome<std::string>& result, time_point now);
  // Call with the result of a restore_object.
  [[nodiscard]] config_effects object_stored(const outcome<std::monostate>& result, time_point now);
  // Call with the result of a repair_head; the head row is read again in any case.
  [[nodiscard]] config_effects head_written(const outcome<std::uint64_t>& row_version,
                                            time_point now);

  [[nodiscard]] const config_in_force& in_force() const { return in_force_; }
  // Head (version, hash and proposals) and encoded content of the configuration in force.
  [[nodiscard]] const config_head& head() const { return head_; }
  [[nodiscard]] const std::string& content() const { return content_; }
  [[nodiscard]] bool is_head_reader(const std::vector<node_id>& live) const;

 private:
  // A configuration newer than the one in force, and the peers that may have it. Sources of its
  // content are tried in turn: the patch in the object store (if the head was read from the table),
  // the peers that reported this configuration, the whole content in the object store.
  struct candidate {
    config_head head;  // without proposals if only peers have reported it
    bool from_table = false;
    std::vector<node_id> holder_nodes;
    std::size_t next_source_index{};  // index of the next source to try
    std::optional<time_point> requested_at;
    time_point next_round_at;  // earliest time to try the sources again after all of them failed
  };
  using candidate_key =
      std::pair<std::uint64_t, std::string>;  // version and hash of the configuration

  [[nodiscard]] bool supersedes(std::uint64_t version, std::string_view hash) const;
  void add_candidate(const config_head& head, bool from_table, const node_id* holder);
  void fetch_all(config_effects& requested, time_point now);
  void fetch(candidate& c, config_effects& requested, time_point now);
  [[nodiscard]] config_effects fetch_from_next_source(std::string_view hash, time_point now);
  [[nodiscard]] bool accept(const config_content& content, config_effects& requested,
                            time_point now);
  void adopt(const config_head& head, std::string content, config_effects& requested,
             time_point now);
  void handle_head(const head_row& row, config_effects& requested, time_point now);
  void repair_table(const head_row& row, config_effects& requested);
  [[nodiscard]] bool accepted_on_old_copy(const config_head& head) const;
  void remember_content();

  node_id self_;
  control_timing timing_;
  rng random_;
  config_in_force in_force_;
  config_head head_;
  std::string content_;
  std::map<std::string, std::string>
      recent_contents_;                     // earlier contents by hash, as bases of patches
  std::vector<std::string> recent_hashes_;  // hashes of the earlier contents, oldest first
  std::optional<node_id> peer_in_sync_;     // a peer with the configuration in force
  std::map<candidate_key, candidate>
      candidates_;                             // at most max_candidates; all newer than in_force_
  std::optional<repair_head> pending_repair_;  // issued once the content is in the object store
  time_point next_head_read_;
  std::optional<time_point> head_read_started_;
  bool head_read_retried_ =
      false;  // a read of the head row failed and its early retry was scheduled
};

}  // namespace arbutus
