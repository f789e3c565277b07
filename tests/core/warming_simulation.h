// Simulates nodes of several data centres, their hubs and targets that warm up, in virtual time.
//
// Each node sends heartbeats every 200 to 220 ms; they take 10 to 60 ms and may be lost. A node
// takes the lowest live node of its data centre as the hub, and itself if it hears none. All
// targets are in the first data centre.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/hub_followers.h"
#include "admission/send_grants.h"
#include "admission/warming_targets.h"
#include "base/rng.h"

namespace arbutus::testing_support {

class warming_simulation {
 public:
  struct setup {
    std::size_t data_centres = 2;
    std::size_t nodes_per_data_centre = 29;
    double calls_per_node = 10;  // calls per second of each node
    double heartbeat_loss = 0.02;
    duration warmup = 3s;
    bool shares_by_followers = true;  // false: each hub issues the whole rate
    std::uint64_t seed = 1;
  };

  static constexpr double cold_per_s = 14;
  static constexpr double overage = 1.5;
  static constexpr double tolerance = 5;
  static constexpr std::size_t allowed = 26;
  static constexpr time_point begin{1000s};

  explicit warming_simulation(const setup& s) : setup_(s), random_(s.seed) {
    for (std::size_t i = 0; i < s.data_centres * s.nodes_per_data_centre; ++i) {
      nodes_.push_back(std::make_unique<node>());
      restart(i);
      nodes_[i]->heartbeat_due = now_ + from_seconds(0.2 * random_.unit());
      nodes_[i]->warming.begin_update(now_, now_, true);
      nodes_[i]->warming.end_update();
    }
  }

  // A target starts, and each node learns of it within 1.5 s.
  void start_target(const std::string& name) {
    const target_id id{name};
    started_[id] = now_;
    for (auto& n : nodes_) {
      n->learns_at[id] = now_ + from_seconds(0.05 + 1.45 * random_.unit());
    }
  }
  void set_down(std::size_t i, bool down) { nodes_[i]->down = down; }
  // A suspended node keeps its state and its clock; messages to it wait.
  void set_suspended(std::size_t i, bool suspended) { nodes_[i]->suspended = suspended; }
  void restart(std::size_t i) {
    node& n = *nodes_[i];
    const auto learns_at = n.learns_at;
    n = node{};
    n.learns_at = learns_at;
    n.incarnation = std::to_string(i) + "-" + std::to_string(++incarnations_);
    n.heartbeat_due = now_;
    n.heard_at[home_of(i)] = now_;
    // A node that restarts takes all targets for new ones. That is as strict as the hub's report.
    n.warming.begin_update(now_, now_, true);
    n.warming.end_update();
  }
  // The nodes of each data centre reach only those whose index has the same remainder.
  void partition(std::size_t parts) { parts_ = parts; }

  void run(duration time) {
    for (const time_point until = now_ + time; now_ < until; now_ += step) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        node& n = *nodes_[i];
        if (n.down || n.suspended) {
          continue;
        }
        // Calls come first, so that a node that resumes sends before it reads its messages.
        make_calls(i);
        take_messages(i);
        if (now_ >= n.heartbeat_due) {
          n.heartbeat_due = now_ + from_seconds(0.2 + 0.02 * random_.unit());
          beat(i);
        }
      }
    }
  }

  // The highest number of requests that a cold target got within any second.
  [[nodiscard]] std::size_t max_in_a_second() const {
    std::size_t most = 0;
    for (const auto& [id, sends] : sends_) {
      for (auto first = sends.begin(); first != sends.end(); ++first) {
        const auto last = std::upper_bound(first, sends.end(), *first + 1s);
        most = std::max(most, static_cast<std::size_t>(last - first));
      }
    }
    return most;
  }
  // Requests per second to the target while it was cold, after `from`.
  [[nodiscard]] double per_second(const std::string& name, time_point from) const {
    const auto found = sends_.find(target_id{name});
    if (found == sends_.end()) {
      return 0;
    }
    const auto& sends = found->second;
    const auto count = sends.end() - std::ranges::lower_bound(sends, from);
    const time_point until = std::min(now_, started_.at(target_id{name}) + setup_.warmup);
    return static_cast<double>(count) / to_seconds(until - from);
  }
  [[nodiscard]] time_point now() const { return now_; }

 private:
  static constexpr duration step = 10ms;
  static constexpr duration alive_timeout = 1200ms;
  static constexpr std::size_t candidates = 6;

  struct message {
    std::size_t from{};
    time_point arrives{};
    std::int64_t stamp{};
    std::int64_t echo{};
    bool is_hub = false;
    bool names_hub = false;
    std::string incarnation;
    std::vector<warming_update> updates;
    grant_update grants;
  };
  struct node {
    std::string incarnation;
    bool down = false;
    bool suspended = false;
    time_point heartbeat_due{};
    std::map<target_id, time_point> learns_at;
    std::map<target_id, bool> known;
    std::map<std::size_t, time_point> heard_at;
    std::map<std::size_t, std::int64_t> newest_stamp;
    std::vector<message> inbox;
    warming_targets warming;
    followed_hub followed;
    hub_followers followers;
    send_grants grants;
    grant_receiver receiver;
  };

  [[nodiscard]] std::size_t data_centre_of(std::size_t i) const {
    return i / setup_.nodes_per_data_centre;
  }
  [[nodiscard]] std::size_t home_of(std::size_t i) const {
    return data_centre_of(i) * setup_.nodes_per_data_centre;
  }
  [[nodiscard]] static node_id name_of(std::size_t i) { return node_id{"n" + std::to_string(i)}; }

  [[nodiscard]] std::size_t hub_of(std::size_t i) const {
    const node& n = *nodes_[i];
    for (const auto& [peer, at] : n.heard_at) {
      if (peer >= i) {
        break;
      }
      if (now_ - at < alive_timeout) {
        return peer;
      }
    }
    return i;
  }

  void observe(std::size_t i) {
    node& n = *nodes_[i];
    for (const auto& [id, at] : n.learns_at) {
      n.known[id] = n.known[id] || now_ >= at;
    }
    n.warming.begin_update(now_, now_, true);
    for (const auto& [id, known] : n.known) {
      if (known) {
        n.warming.observe(now_, id,
                          {data_centre_id{"d0"}, {setup_.warmup, cold_per_s}, false, 1, {}, now_});
      }
    }
    n.warming.end_update();
  }

  void beat(std::size_t i) {
    node& n = *nodes_[i];
    const std::size_t hub = hub_of(i);
    n.followed.update(now_, name_of(hub));
    if (hub == i) {
      issue(i);
    }
    for (std::size_t to = home_of(i); to < home_of(i) + setup_.nodes_per_data_centre; ++to) {
      const bool is_candidate = to < home_of(i) + candidates;
      if (to != i && (hub == i || is_candidate)) {
        send(i, to, hub);
      }
    }
  }

  void issue(std::size_t i) {
    node& n = *nodes_[i];
    const node_id self = name_of(i);
    n.followers.heard(now_, now_, self, n.followed.named(now_) == self);
    const double share =
        setup_.shares_by_followers
            ? n.followers.share(n.grants.warming_round_at(), now_, setup_.nodes_per_data_centre)
            : 1.0;
    std::map<target_id, warming_issue> issued;
    if (data_centre_of(i) == 0) {
      for (const auto& t : n.warming.all_warming(now_)) {
        issued.emplace(t.target,
                       issue_for_warming(t.requests_per_second, overage, tolerance, share));
      }
    }
    n.grants.set_demand(now_, self, n.incarnation, false, n.warming.demand(now_));
    n.grants.distribute_warming_round(now_, random_, issued);
    const grant_update own = n.grants.update_for(now_, self);
    for (const auto& [id, count] :
         n.receiver.receive_warming(self, n.incarnation, n.incarnation, own)) {
      n.warming.granted(now_, id, count);
    }
  }

  void send(std::size_t from, std::size_t to, std::size_t hub) {
    node& n = *nodes_[from];
    const bool reaches = parts_ <= 1 || from % parts_ == to % parts_;
    if (nodes_[to]->down || !reaches || random_.unit() < setup_.heartbeat_loss) {
      return;
    }
    message m;
    m.from = from;
    m.arrives = now_ + from_seconds(0.01 + 0.05 * random_.unit());
    m.stamp = now_.time_since_epoch().count();
    m.echo = n.newest_stamp[to];
    m.is_hub = hub == from;
    m.names_hub = n.followed.named(now_) == name_of(to);
    m.incarnation = n.incarnation;
    using recipient = warming_targets::recipient;
    if (m.is_hub || hub == to) {
      m.updates = n.warming.updates_for(now_, m.is_hub ? recipient::own_node : recipient::own_hub);
    }
    if (m.is_hub) {
      m.grants = n.grants.update_for(now_, name_of(to));
    }
    nodes_[to]->inbox.push_back(std::move(m));
  }

  void take_messages(std::size_t i) {
    node& n = *nodes_[i];
    observe(i);
    std::vector<message> later;
    for (message& m : n.inbox) {
      if (m.arrives > now_) {
        later.push_back(std::move(m));
      } else {
        take(i, m);
      }
    }
    n.inbox = std::move(later);
  }

  void take(std::size_t i, const message& m) {
    node& n = *nodes_[i];
    n.heard_at[m.from] = now_;
    std::int64_t& newest = n.newest_stamp[m.from];
    newest = std::max(newest, m.stamp);
    if (m.echo <= 0) {
      return;
    }
    const time_point valid_from{duration{m.echo}};
    n.followers.heard(valid_from, now_, name_of(m.from), m.names_hub);
    std::map<target_id, double> demand;
    for (const warming_update& update : m.updates) {
      n.warming.received(valid_from, now_, m.is_hub, update);
      demand[update.target] = update.demand;
    }
    if (!m.is_hub) {
      n.grants.set_demand(now_, name_of(m.from), m.incarnation, false, std::move(demand));
    }
    for (const auto& [id, count] :
         n.receiver.receive_warming(name_of(m.from), m.incarnation, n.incarnation, m.grants)) {
      n.warming.granted(valid_from, id, count);
    }
  }

  void make_calls(std::size_t i) {
    node& n = *nodes_[i];
    if (random_.unit() >= setup_.calls_per_node * to_seconds(step)) {
      return;
    }
    bool sent = false;
    for (const auto& [id, known] : n.known) {
      if (!known || now_ >= started_.at(id) + setup_.warmup) {
        continue;
      }
      const bool warming = n.warming.is_warming(now_, id);
      if (warming && data_centre_of(i) == 0) {
        n.warming.note_demand(now_, id);
      }
      const bool may = !warming || (data_centre_of(i) == 0 && n.warming.has_grant(now_, id));
      if (!sent && may) {
        sent = true;
        n.warming.use_grant(now_, id);
        sends_[id].push_back(now_);
      }
    }
  }

  setup setup_;
  rng random_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::map<target_id, time_point> started_;
  std::map<target_id, std::vector<time_point>> sends_;  // to targets that are cold
  std::size_t parts_ = 1;
  time_point now_ = begin;
  std::size_t incarnations_ = 0;
};

}  // namespace arbutus::testing_support
