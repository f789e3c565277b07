// What nodes on a hosted platform tell each other several times a second: that they live, what they
// have sent to which replica, and which targets do not answer them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "request/replica_choice.h"

namespace arbutus {

struct node_beat {
  data_centre_id data_centre;
  bool leaving = false;  // keeps no replicas from now on
  bool requests_seen = false;
  std::map<target_id, replica_load> loads;
  std::vector<target_id> lost;
};

[[nodiscard]] std::string encode(const node_beat& beat);
// Empty when the bytes are damaged.
[[nodiscard]] std::optional<node_beat> decode_node_beat(std::string_view bytes);

// Peers as this node hears them.
class peer_table {
 public:
  void heard(time_point now, const node_id& from, const node_beat& beat) {
    peers_[from] = {now, beat.data_centre, beat.leaving};
  }

  struct peer {
    time_point heard_at;
    data_centre_id data_centre;
    bool leaving = false;
  };

  // Five lost beats in a row: shorter takes a pause of the peer for its end, and the orders of two
  // keepers then meet; longer leaves replicas broken without a keeper.
  static constexpr duration alive_for = 1200ms;

  [[nodiscard]] std::vector<std::pair<node_id, data_centre_id>> living(time_point now) const {
    std::vector<std::pair<node_id, data_centre_id>> result;
    for (const auto& [id, p] : peers_) {
      if (now - p.heard_at < alive_for && !p.leaving) {
        result.emplace_back(id, p.data_centre);
      }
    }
    return result;
  }

  // Whether a peer of this data centre was ever heard.
  [[nodiscard]] bool any_of(const data_centre_id& data_centre) const {
    for (const auto& [id, p] : peers_) {
      if (p.data_centre == data_centre && !p.leaving) {
        return true;
      }
    }
    return false;
  }

  // Peers ever heard: a bound on those that may send.
  [[nodiscard]] std::size_t known() const { return peers_.size(); }

 private:
  std::map<node_id, peer> peers_;
};

}  // namespace arbutus
