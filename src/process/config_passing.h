// How much of the configuration a hub passes on in one round of beats, and to whom.
//
// Goes wrong without a bound: versions in quick succession, passed on to two dozen nodes, choke the
// link of a hub. Its probes then fail, and it takes the fleet for lost. So what would take too long
// to all is withheld from those that can read it at the store themselves.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "process/config_transfer.h"
#include "process/list_budget.h"

namespace arbutus {

class config_passing {
 public:
  // `link_mbps`: the hub's own link; 0: not known.
  explicit config_passing(std::uint32_t link_mbps) : budget_(link_mbps) {}

  void begin_round() { budget_.begin_round(); }

  struct listener {
    std::uint64_t held{};  // the row that the node holds
    config_progress progress;
    bool refused_by_store = false;  // the store does not serve it
  };
  struct answer {
    bool withheld = false;  // to be read at the store
    std::optional<config_part> part;
  };
  // `listeners`: nodes that the hub passes on to, this one among them.
  [[nodiscard]] answer next_for(config_history& from, const listener& to, std::size_t listeners) {
    if (to.held >= from.newest()) {
      return {};
    }
    const std::size_t bytes = from.delta_for(to.held).size();
    const bool too_long = bytes * listeners > budget_.max_bytes() * most_rounds;
    if (too_long && !to.refused_by_store) {
      return {true, std::nullopt};
    }
    if (!budget_.take(std::min(bytes, longest_part))) {
      return {};
    }
    return {false, from.part_for(to.held, to.progress, longest_part)};
  }

  // 100 ms of a link of 20 Mbit/s.
  static constexpr std::size_t longest_part = 250'000;
  // Rounds within which a change is with all nodes, or they read it at the store.
  static constexpr std::size_t most_rounds = 4;

 private:
  list_budget budget_;
};

}  // namespace arbutus
