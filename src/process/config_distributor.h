// How much of the configuration a hub sends in one round of heartbeats, and to which nodes.
//
// Without a limit, configuration versions in quick succession that are sent to two dozen nodes
// saturate the link of the hub; its probes then fail, and the hub marks the whole fleet as failed.
// A change that would take too long to send to all nodes is withheld from those that can read the
// configuration from the store themselves.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "process/config_transfer.h"
#include "process/list_budget.h"

namespace arbutus {

class config_distributor {
 public:
  // `link_mbps`: bandwidth of the hub's own link; 0: unknown.
  explicit config_distributor(std::uint32_t link_mbps) : budget_(link_mbps) {}

  void begin_round() { budget_.begin_round(); }

  struct recipient {
    std::uint64_t held_version{};  // version of the configuration that the node has
    config_progress delta_progress;
    // The store refuses the requests of this node, or does not have the newest version.
    bool cannot_read_store = false;
  };
  struct send_decision {
    bool withheld = false;  // the node has to read the configuration from the store
    std::optional<config_part> part;
  };
  // The next part of the configuration to send to node `to`. `recipient_count`: number of nodes
  // that the hub sends to, node `to` included.
  [[nodiscard]] send_decision next_part_for(config_history& from, const recipient& to,
                                            std::size_t recipient_count) {
    if (to.held_version >= from.newest_version()) {
      return {};
    }
    const std::size_t bytes = from.delta_for(to.held_version).size();
    const bool too_long = bytes * recipient_count > budget_.max_bytes() * max_send_rounds;
    if (too_long && !to.cannot_read_store) {
      return {true, std::nullopt};
    }
    if (!budget_.try_spend(std::min(bytes, max_part_bytes))) {
      return {};
    }
    return {false, from.part_for(to.held_version, to.delta_progress, max_part_bytes)};
  }

  // Size limit of a part of a delta: what a link of 20 Mbit/s carries in 100 ms.
  static constexpr std::size_t max_part_bytes = 250'000;
  // Number of heartbeat rounds within which the hub must be able to send a change to all nodes. A
  // change that needs more is read from the store by the nodes.
  static constexpr std::size_t max_send_rounds = 4;

 private:
  list_budget budget_;
};

}  // namespace arbutus
