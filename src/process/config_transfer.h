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

// A part of the delta that turns one version of the configuration into a newer one. Versions are
// the operators' own, which rise also when the store comes back from an older copy; base 0 means
// that the delta contains the whole text.
struct config_part {
  std::uint64_t version{};  // that the delta results in
  std::uint64_t base{};     // version that it applies to
  std::uint64_t size{};     // of the whole delta, in bytes
  std::uint64_t offset{};   // of this part within the delta, in bytes
  std::string bytes;
  bool operator==(const config_part&) const = default;
};

// How many bytes of a configuration delta have arrived at a node.
struct config_progress {
  std::uint64_t version{};  // that the delta results in
  std::uint64_t base{};     // version that the delta applies to
  std::uint64_t bytes{};    // received so far
  bool operator==(const config_progress&) const = default;
};

// The newest version of the configuration, and a few earlier ones as bases of deltas for nodes that
// still have those.
class config_history {
 public:
  // Ignored unless the version is newer than the newest.
  void add(std::uint64_t version, std::string text);
  // 0: none yet.
  [[nodiscard]] std::uint64_t newest_version() const {
    return kept_.empty() ? 0 : kept_.back().version;
  }
  // The text of the version; null if it is not kept.
  [[nodiscard]] const std::string* find(std::uint64_t version) const;

  // The delta from `held_version` to the newest version; contains the whole text if `held_version`
  // is not kept. Never empty.
  const std::string& delta_for(std::uint64_t held_version);
  // The part of the delta that follows the progress `at` of a node that has `held_version`, at most
  // `max_bytes` bytes. Empty if the node has the newest version, or there is none.
  std::optional<config_part> part_for(std::uint64_t held_version, const config_progress& at,
                                      std::size_t max_bytes);

  // Number of versions kept: the newest, and older ones as bases of deltas to it, because nodes
  // receive consecutive versions some heartbeats apart.
  static constexpr std::size_t max_kept_versions = 3;

 private:
  struct entry {
    std::uint64_t version;
    std::string text;
  };
  std::deque<entry> kept_;  // in ascending order
  // Deltas to the newest version by the version of their base; created on demand.
  std::map<std::uint64_t, std::string> deltas_;
};

// Reassembles the parts of a configuration delta on the node that receives them.
class config_receiver {
 public:
  // Returns the text of the new version once the last part of its delta has arrived. Parts that are
  // out of order are ignored. `held`: the versions that this node has.
  std::optional<std::string> receive(const config_part& part, const config_history& held);
  [[nodiscard]] const config_progress& progress() const { return progress_; }

 private:
  config_progress progress_;
  std::string bytes_;  // received so far of the delta; progress_.bytes is their number
};

// Whether a node knows of a configuration version that it does not have, and since when.
class config_lag {
 public:
  // Call when another node reports that it has the version.
  void version_reported(time_point now, std::uint64_t version) {
    const bool is_new = version > applied_version_ &&
                        (missing_versions_.empty() || version > missing_versions_.back().version);
    if (is_new && missing_versions_.size() < max_missing_versions) {
      missing_versions_.push_back({version, now});
    }
  }
  // Call when the version has come into force on this node.
  void version_applied(std::uint64_t version) {
    applied_version_ = std::max(applied_version_, version);
    std::erase_if(missing_versions_,
                  [this](const missing_version& m) { return m.version <= applied_version_; });
  }
  [[nodiscard]] bool behind() const { return !missing_versions_.empty(); }
  // Time since the oldest missing version was reported. The time does not count from the newest
  // missing one, because with frequent versions a node may always miss the newest one without being
  // late with any.
  [[nodiscard]] duration age(time_point now) const {
    return behind() ? now - missing_versions_.front().at : duration{};
  }
  // Whether this node's configuration is too old to serve by. Without this check, the node still
  // serves routes that a newer version removed after the operators' bound has passed. `bound`: from
  // acceptance of a version until it is in force on all nodes. Half of it is reserved for the time
  // until this node learns of the version.
  [[nodiscard]] bool is_stale(time_point now, duration bound) const {
    return age(now) >= bound / 2;
  }

 private:
  struct missing_version {
    std::uint64_t version;
    time_point at;  // when the version was first reported to this node
  };
  static constexpr std::size_t max_missing_versions = 64;

  std::uint64_t applied_version_ = 0;
  std::deque<missing_version> missing_versions_;  // ascending, all above applied_version_
};

}  // namespace arbutus
