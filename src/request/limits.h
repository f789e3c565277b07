// Rate limits of workspaces, held over all nodes without a coordinator.
//
// Each node has a share of every limit as a token bucket. Nodes tell each other their demand and
// the share they use; whoever needs more gets more, down to a floor for each. A node that is cut
// off from others presumes that they go on using the share they last told, so the sides of a cut
// together stay near the limit, however long it lasts.
//
// Stated bound: the sum of the shares stays under 1.25 of the limit through any sequence of cuts
// and demands, plus limit / nodes for each node that was started anew while cut off (the others
// still reckon with its former share). While nothing is cut it is the limit, but for the
// moments in which demand moves. Each node may also hold its part of the burst, at least one
// request. The price: demand that moves to the other side of a cut finds only that side's part.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

struct rate_limit {
  double per_second{};  // over all nodes; 0: no limit
  double burst{};       // over all nodes
};

// What a node tells the others of one workspace.
struct usage {
  workspace_id workspace;
  double demand{};  // requests per second asked for here, refused ones included
  double share{};   // requests per second this node grants itself
};

struct limit_settings {
  duration told_every = 1s;     // how often usage is exchanged
  duration peer_timeout = 5s;   // unheard for longer: presumed to keep its last share
  double floor_part = 0.2;      // of limit / nodes, kept by each node without any demand
  duration demand_window = 5s;  // time constant of the demand's moving average
};

struct limit_pass {};
struct limit_exceeded {
  duration retry_after{};
};
using limit_verdict = std::variant<limit_pass, limit_exceeded>;

class rate_limits {
 public:
  explicit rate_limits(node_id self, const limit_settings& settings = {});

  // All nodes that share the limits, this one included (from the inventory).
  void set_nodes(time_point now, const std::vector<node_id>& nodes);
  void set_limit(time_point now, const workspace_id& workspace, const rate_limit& limit);

  [[nodiscard]] limit_verdict take(time_point now, const workspace_id& workspace,
                                   double amount = 1.0);

  // What to tell the peers; call every `told_every`. Also moves the shares on.
  [[nodiscard]] std::vector<usage> tell(time_point now);
  void heard(time_point now, const node_id& peer, const std::vector<usage>& told);

  // This node's share in requests per second now.
  [[nodiscard]] double share(const workspace_id& workspace) const;

 private:
  struct peer_usage {
    double demand{};
    double share{};
  };
  struct bucket {
    rate_limit limit;
    double share{};
    double tokens{};
    time_point filled;
    double demand{};  // moving average
    double asked{};   // since demand was last updated
    time_point counted;
    std::map<node_id, peer_usage> peers;
  };

  void refill(time_point now, bucket& b) const;
  void count_demand(time_point now, bucket& b) const;
  void move_share(time_point now, bucket& b) const;
  [[nodiscard]] double wanted_share(time_point now, const bucket& b) const;
  [[nodiscard]] double equal_share(const bucket& b) const;
  [[nodiscard]] bool is_heard(time_point now, const node_id& peer) const;

  node_id self_;
  limit_settings settings_;
  std::vector<node_id> others_;
  std::map<node_id, time_point> heard_at_;
  std::map<workspace_id, bucket> buckets_;
};

}  // namespace arbutus
