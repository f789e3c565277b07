// Peers of a hosted node: who is there, who lives, whom to tell, and which node is the hub of a
// data centre. A value in virtual time.
//
// The hub of a data centre is its first living node that the store serves: the strongest first, and
// by name among equals. Goes wrong by name alone: of 59 nodes of which 3 have half a core, one with
// an eighth keeps 219 engines and feeds the others, and is late with all of it. A node
// tells the first two that it takes for such, and silent ones before them, so that the next hub is
// known when the first one ends; a hub also tells those of the other data centres. Two nodes that
// both take themselves for the hub do no harm: each order names the state it was decided on, and
// each follows the store.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "version/inventory.h"

namespace arbutus {

class peer_table {
 public:
  peer_table(node_id self, data_centre_id data_centre, node_strength strength = {})
      : self_(std::move(self)), data_centre_(std::move(data_centre)), strength_(strength) {}
  // Moved, not copied: order_ points into peers_.
  peer_table(const peer_table&) = delete;
  peer_table& operator=(const peer_table&) = delete;
  peer_table(peer_table&&) = default;
  peer_table& operator=(peer_table&&) = default;
  ~peer_table() = default;

  // Rows of the store, this node's own among them. A peer that is in no row any more is forgotten,
  // unless it told of itself since.
  void set_known(const std::vector<node_record>& nodes);

  // A peer that told of itself, and may not have been in the rows when they were read.
  void learn(const node_record& peer);

  void told(time_point now, const node_id& peer);
  // What a beat of a peer said of itself.
  struct peer_word {
    bool hub = false;
    bool leaving = false;
    bool turned_away = false;  // the store does not serve it
    std::int64_t stamp_us{};
  };
  void heard(time_point now, const node_id& peer, const peer_word& word);

  // Goes wrong without it: the store turns some nodes away and serves others; a hub among the first
  // knows nothing new, and all nodes of its data centre ask the store for themselves, 3 calls a
  // second each. So it hands over to the next that is served, until it is served again.
  void set_turned_away(time_point now, bool is);
  [[nodiscard]] bool turned_away() const { return turned_away_; }

  // Whom to tell now.
  [[nodiscard]] std::vector<node_id> to_tell(time_point now) const;

  // The hub of a data centre as far as this node can see; empty if none lives.
  [[nodiscard]] node_id hub_of(time_point now, const data_centre_id& data_centre) const;
  [[nodiscard]] bool is_hub(time_point now) const { return hub_of(now, data_centre_) == self_; }
  // Whether this node is the hub or would be the next one: among the first that the store serves,
  // or among the first that live where it serves none.
  [[nodiscard]] bool is_heir(time_point now) const;

  // Data centres that this node keeps: its own if it is the hub, and those without a living node
  // that fall to it among the hubs.
  [[nodiscard]] std::set<data_centre_id> duties(time_point now,
                                                const std::vector<data_centre_id>& all) const;

  // Heard lately.
  [[nodiscard]] bool lives(time_point now, const node_id& peer) const;
  [[nodiscard]] std::size_t living(time_point now) const;
  [[nodiscard]] bool any_lives(time_point now) const;
  [[nodiscard]] bool any_in(const data_centre_id& data_centre) const;
  // Whether another node of this node's data centre is known, living or not.
  [[nodiscard]] bool any_in_data_centre() const;
  [[nodiscard]] data_centre_id data_centre_of(const node_id& peer) const;
  // As it last said.
  [[nodiscard]] bool is_turned_away(const node_id& peer) const;
  // Whether a living peer of this node's data centre is served by the store.
  [[nodiscard]] bool any_served_here(time_point now) const;
  [[nodiscard]] std::int64_t newest_stamp(const node_id& peer) const;
  [[nodiscard]] std::size_t known() const { return peers_.size(); }
  [[nodiscard]] const std::vector<node_record>& records() const { return records_; }

  // Six beats lost in a row: shorter takes a pause of the peer for its end, and the orders of two
  // keepers then meet; longer leaves replicas broken without a keeper.
  static constexpr duration alive_for = 1200ms;
  // A peer that was told and never answered is taken for living so long: links come up within it.
  static constexpr duration benefit_of_doubt = 1500ms;
  static constexpr std::size_t candidates = 2;
  // Silent ones before the candidates that are told all the same, so that a hub that returns is
  // heard.
  static constexpr std::size_t most_silent = 6;
  // Goes wrong without it: the store comes back for all at once, each node sees itself served and
  // has not heard yet that others are. Some 20 of the 27 nodes of a data centre then took
  // themselves for its hub, with what they knew of the engines 8 s before. So who is served again
  // leaves the duty with the first of the names until the others' beats must have come: two from
  // them, and one that is late.
  static constexpr duration served_settles = 600ms;

 private:
  struct peer {
    data_centre_id data_centre;
    node_strength strength;
    bool in_rows = false;
    time_point first_told{};  // since it was last heard, or ever
    time_point heard_at{};
    peer_word word;
  };

  [[nodiscard]] static bool lives(time_point now, const peer& p);
  [[nodiscard]] bool presumed(time_point now, const peer& p) const;
  // Presumed, and served by the store as far as it said.
  [[nodiscard]] bool may_be_hub(time_point now, const peer& p) const {
    return presumed(now, p) && !p.word.turned_away;
  }
  // Whether this node may call itself served, see served_settles.
  [[nodiscard]] bool is_served(time_point now) const;
  void sort_peers();
  // Whether this node is a hub before the peer is.
  [[nodiscard]] bool before(const node_id& id, const peer& p) const;
  // The first in the order of hubs, among those that the store serves or among all that live.
  [[nodiscard]] node_id first_of(time_point now, const data_centre_id& data_centre,
                                 bool must_be_served) const;
  // Among those that the nodes of its data centre tell.
  [[nodiscard]] bool is_candidate(time_point now) const;
  void add_candidates(time_point now, const data_centre_id& data_centre,
                      std::vector<node_id>& result) const;

  node_id self_;
  data_centre_id data_centre_;
  node_strength strength_;
  bool turned_away_ = false;
  time_point served_since_{};      // again, after it was turned away
  std::map<node_id, peer> peers_;  // without this node
  // Of each data centre, the strongest first; into peers_, whose entries stay where they are.
  std::map<data_centre_id, std::vector<const std::pair<const node_id, peer>*>> order_;
  std::vector<node_record> records_;
};

}  // namespace arbutus
