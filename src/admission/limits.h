// Rate limits on the requests of workspaces, enforced over all nodes without a coordinator.
//
// Each node owns an equal share of every limit and lends what it does not need to peers with a
// higher demand, as leases that expire on their own. The sum over all nodes therefore never exceeds
// the limit under partitions, delays and pauses; a node that receives no messages falls back to its
// own share within one lease.
//
// Guaranteed bound of the admitted rate: the limit, plus limit / nodes for each new node until all
// nodes know it, plus the burst; each node's burst is at least one request. Restarts add nothing: a
// process has lost its record of what an earlier one admitted and lent, so it begins without a
// burst and, for one lease, with the part of its share that is never lent. The price is that the
// share of a node that is down or partitioned is not used by other nodes.
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

// Sent by a node to each peer every `message_interval`.
struct limit_message {
  struct workspace_usage {
    workspace_id workspace;
    double demand{};  // requests per second at the sender, refused ones included
    // Requests per second lent to the receiver, until `echo` plus the lease by its own clock.
    double lent{};
  };
  time_point stamp;                         // when it was sent, by the sender's clock
  std::optional<time_point> echo;           // newest stamp that the sender received from this peer
  std::vector<workspace_usage> workspaces;  // an omitted workspace has no demand and nothing lent
};

struct limit_settings {
  duration message_interval = 1s;    // how often messages are exchanged
  duration lease = 4s;               // how long lent rate may be used; the same on all nodes
  double never_lent_fraction = 0.2;  // fraction of a node's own share that is never lent
  duration demand_window = 5s;       // time constant of the demand's moving average
};

struct limit_pass {};
struct limit_exceeded {
  duration retry_after{};
};
using limit_result = std::variant<limit_pass, limit_exceeded>;

class rate_limits {
 public:
  rate_limits(time_point now, node_id self, const limit_settings& settings = {});

  // All nodes that share the limits, this one included (from the inventory).
  void set_nodes(time_point now, const std::vector<node_id>& nodes);
  void set_limit(time_point now, const workspace_id& workspace, const rate_limit& limit);

  [[nodiscard]] limit_result take(time_point now, const workspace_id& workspace,
                                  double amount = 1.0);

  // Updates this node's demand and plans how much rate it lends to each peer. To be called every
  // `message_interval`, followed by make_message() for each peer.
  void update(time_point now);
  [[nodiscard]] limit_message make_message(time_point now, const node_id& peer);
  void received(time_point now, const node_id& peer, const limit_message& message);

  // Requests per second that this node may admit now.
  [[nodiscard]] double share(time_point now, const workspace_id& workspace) const;

 private:
  struct lease {
    double amount{};  // requests per second
    time_point until;
  };
  struct peer_usage {
    double demand{};             // requests per second, as the peer last reported
    double planned_loan_rate{};  // requests per second to lend with the next message
    std::vector<lease> lent;     // leases to the peer that have not expired; it uses one of them
    lease borrowed;              // the lease from the peer that this node uses
  };
  struct bucket {
    rate_limit limit;
    double tokens{};  // requests that may be admitted now
    time_point refilled_at;
    double demand{};                 // requests per second, moving average
    double requests_since_update{};  // requests since `demand` was last updated
    time_point demand_updated_at;
    std::map<node_id, peer_usage> peers;
  };
  struct peer_clock {
    time_point received_at;
    time_point stamp;  // of the newest message from the peer, by the peer's clock
  };

  void refill(time_point now, bucket& b) const;
  void add_tokens(time_point now, bucket& b) const;
  void count_demand(time_point now, bucket& b) const;
  void plan_lending(time_point now, bucket& b) const;
  [[nodiscard]] double share_of(time_point now, const bucket& b) const;
  [[nodiscard]] double equal_share(const bucket& b) const;
  // The equal share without what an earlier process of this node may have lent.
  [[nodiscard]] double own_share(time_point now, const bucket& b) const;
  [[nodiscard]] bool is_peer_current(time_point now, const node_id& peer) const;

  time_point created_;
  node_id self_;
  limit_settings settings_;
  std::vector<node_id> others_;
  std::map<node_id, peer_clock> clocks_;
  std::map<workspace_id, bucket> buckets_;
};

}  // namespace arbutus
