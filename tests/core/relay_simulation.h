// Virtual time: nodes that are cut off from all targets hand their calls over to peers, each by its
// own choices. No network; an answer of a peer takes a round trip.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "request/relay_peers.h"

namespace arbutus::testing_support {

struct relay_load {
  double calls_per_s = 2;  // at each node that is cut off
  duration call_time = 1s;
};

struct fleet_size {
  std::size_t data_centres = 3;
  std::size_t nodes = 71;
};

// What became of the calls that arrived at the nodes that were cut off.
struct relay_outcomes {
  std::size_t calls = 0;
  std::size_t refused = 0;
  std::size_t refused_with_room = 0;  // while some peer could have taken the call
  std::vector<double> asked;          // peers asked by each call
  double busy_places_s = 0;           // places at peers, times the seconds that they were taken
  double places_s = 0;                // the same for all places that there were

  [[nodiscard]] double mean_asked() const {
    double sum = 0;
    for (const double n : asked) {
      sum += n;
    }
    return asked.empty() ? 0 : sum / static_cast<double>(asked.size());
  }
  [[nodiscard]] double asked_at(double quantile) {
    if (asked.empty()) {
      return 0;
    }
    std::sort(asked.begin(), asked.end());
    return asked[static_cast<std::size_t>(quantile * static_cast<double>(asked.size() - 1))];
  }
};

class relay_simulation {
 public:
  relay_simulation(const fleet_size& size, const relay_load& load, std::uint64_t seed)
      : load_(load), random_(seed) {
    constexpr std::size_t strong_nodes_per_data_centre = 2;
    for (std::size_t i = 0; i < size.nodes; ++i) {
      const std::size_t place = i % size.data_centres;
      const bool strong = i / size.data_centres < strong_nodes_per_data_centre;
      node n;
      n.record.id = node_id{"n" + std::to_string(place) + "-" + std::to_string(i)};
      n.record.data_centre = data_centre_id{"dc-" + std::to_string(place)};
      n.record.strength = {strong ? strong_permille : weak_permille, 100};
      n.record.relay = {"10.0.0.1", 7000};
      records_.push_back(n.record);
      nodes_.push_back(std::move(n));
    }
  }

  // Whether a node is cut off, by its index among all nodes and its data centre.
  using cut_rule = std::function<bool(std::size_t node, std::size_t data_centre)>;
  void set_cut(const cut_rule& is_cut) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      nodes_[i].cut = is_cut(i, std::stoul(records_[i].data_centre.str().substr(3)));
    }
  }
  // Cuts the given share of the nodes off, drawn at random.
  void cut_share(double share) {
    std::vector<std::size_t> order(nodes_.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = i;
    }
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[random_.below(i)]);
    }
    const auto count =
        static_cast<std::size_t>(std::lround(share * static_cast<double>(order.size())));
    for (std::size_t i = 0; i < order.size(); ++i) {
      nodes_[order[i]].cut = i < count;
    }
  }

  // Calls arrive for the given time; those that arrive within its first part are not counted.
  relay_outcomes run(duration time, duration uncounted) {
    relay_outcomes outcomes;
    const time_point end = now_ + time;
    const time_point counted_from = now_ + uncounted;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      schedule_arrival(i, now_);
    }
    while (!events_.empty() && events_.top().at < end) {
      const event e = events_.top();
      events_.pop();
      if (now_ >= counted_from) {
        add_use(to_seconds(e.at - now_), outcomes);
      }
      now_ = e.at;
      if (e.peer != no_node) {
        end_call(e);
        continue;
      }
      if (nodes_[e.node].cut) {
        relay_outcomes ignored;
        hand_over(e.node, now_ >= counted_from ? outcomes : ignored);
      }
      schedule_arrival(e.node, now_);
    }
    drop_arrivals();
    now_ = end;
    return outcomes;
  }

 private:
  static constexpr std::uint32_t strong_permille = 500;
  static constexpr std::uint32_t weak_permille = 120;
  static constexpr std::size_t no_node = static_cast<std::size_t>(-1);
  static constexpr duration round_trip_at_home = 400us;
  static constexpr duration round_trip_elsewhere = 2800us;

  struct node {
    node_record record;
    relay_peers peers;
    bool cut = false;
    std::size_t taken_over = 0;
  };
  struct event {
    time_point at;
    std::size_t node;
    std::size_t peer;  // that ends a call of the node; no_node: a call arrives at the node
    bool operator>(const event& other) const { return at > other.at; }
  };

  static std::size_t places_of(const node& n) {
    return n.record.strength.processor_permille * 3 / 5;
  }

  [[nodiscard]] bool has_room(std::size_t i) const {
    return !nodes_[i].cut && nodes_[i].taken_over < places_of(nodes_[i]);
  }

  void schedule_arrival(std::size_t i, time_point after) {
    const double gap_s = -std::log(1 - random_.unit()) / load_.calls_per_s;
    events_.push({after + from_seconds(gap_s), i, no_node});
  }

  void drop_arrivals() {
    std::vector<event> kept;
    for (; !events_.empty(); events_.pop()) {
      if (events_.top().peer != no_node) {
        kept.push_back(events_.top());
      }
    }
    for (const event& e : kept) {
      events_.push(e);
    }
  }

  void add_use(double seconds, relay_outcomes& outcomes) const {
    for (const node& n : nodes_) {
      outcomes.busy_places_s += n.cut ? 0 : seconds * static_cast<double>(n.taken_over);
      outcomes.places_s += n.cut ? 0 : seconds * static_cast<double>(places_of(n));
    }
  }

  std::size_t index_of(const node_id& id) const {
    const auto found = std::find_if(records_.begin(), records_.end(),
                                    [&](const node_record& r) { return r.id == id; });
    return static_cast<std::size_t>(found - records_.begin());
  }

  void hand_over(std::size_t from, relay_outcomes& outcomes) {
    node& caller = nodes_[from];
    std::vector<node_record> others = records_;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(from));
    std::vector<node_id> tried;
    time_point now = now_;
    bool taken = false;
    while (!taken) {
      const auto peer =
          caller.peers.choose(now, service_, others, caller.record.data_centre, tried, random_);
      if (!peer) {
        break;
      }
      tried.push_back(peer->id);
      const bool is_near = peer->data_centre == caller.record.data_centre;
      now += is_near ? round_trip_at_home : round_trip_elsewhere;
      taken = ask(from, index_of(peer->id), now);
    }
    ++outcomes.calls;
    outcomes.asked.push_back(static_cast<double>(tried.size()));
    if (!taken) {
      ++outcomes.refused;
      bool room = false;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        room = room || has_room(i);
      }
      outcomes.refused_with_room += room ? 1 : 0;
    }
  }

  // Whether the peer takes a call of the node over.
  bool ask(std::size_t from, std::size_t to, time_point now) {
    relay_peers& peers = nodes_[from].peers;
    const node_id& id = records_[to].id;
    peers.sent(now, id);
    if (!has_room(to)) {
      peers.ended(id);
      const auto reason = nodes_[to].cut ? decline_reason::cut_off : decline_reason::full;
      const relay_decline answer{reason, nodes_[to].peers.takers(now, service_)};
      peers.declined(now, service_, id, answer, records_);
      return false;
    }
    peers.heard(now, id);
    peers.taken(now, service_, id);
    ++nodes_[to].taken_over;
    const double time_s = -std::log(1 - random_.unit()) * to_seconds(load_.call_time);
    events_.push({now + from_seconds(time_s), from, to});
    return true;
  }

  void end_call(const event& e) {
    --nodes_[e.peer].taken_over;
    nodes_[e.node].peers.ended(records_[e.peer].id);
  }

  const service_id service_{"llm"};
  relay_load load_;
  rng random_;
  time_point now_{1h};
  std::vector<node> nodes_;
  std::vector<node_record> records_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
};

}  // namespace arbutus::testing_support
