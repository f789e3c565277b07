// Runs the replica controllers of a hosted node: queries engines and sends them orders
// (controller_loop.cpp), detects stalled replicas and lost targets (controller_losses.cpp), and
// exchanges heartbeats with peers (controller_heartbeats.cpp, controller_warming.cpp).
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string_view>

#include "admission/hub_followers.h"
#include "admission/send_grants.h"
#include "base/hash.h"
#include "base/rng.h"
#include "capacity/replica_controller.h"
#include "node/hosted_state.h"
#include "node/peer_links.h"
#include "node/store_watch.h"
#include "process/config_distributor.h"
#include "process/control_costs.h"
#include "process/list_budget.h"
#include "process/load_feed.h"
#include "process/poison_exchange.h"

namespace arbutus {

class controller_loop {
 public:
  controller_loop(hosted_state& node, peer_links& links, store_watch& watch);

  // The controller's main loop. Runs in its own fiber until end() is called or the runtime stops.
  void run();

  // Ends run(). To be called on the worker; returns when no fiber uses the links to peers any more.
  void end();

  // What the plan by demand has for each model, as Prometheus text; empty unless this node controls
  // engines. To be called on the worker.
  [[nodiscard]] std::string capacity_gauges() const;

  // Handles an encoded heartbeat from a peer.
  void received(time_point now, const node_id& peer, std::string_view bytes);

 private:
  // Timeout of an order to an engine; engines answer within 3 ms. After an order without an answer,
  // the engine's state is queried before any further order.
  static constexpr duration order_timeout = 300ms;

  // Positions in the watched tables that a peer reported.
  struct feed_positions {
    bool follows_records = true;
    std::uint64_t targets{};  // position in the feed of the table of targets
    serving_follower::position serving;
    std::uint64_t configuration{};  // position in the feed of the configuration table
    std::optional<std::uint64_t> configuration_version;  // see node_heartbeat
    config_progress configuration_progress;
    bool reads_load_updates = false;
    load_position loads;
    std::int64_t loads_stamp_us{};  // of the heartbeat with the loads that the peer last reported
  };

  void decide(time_point now);
  void log_costs(time_point now);
  void apply_heartbeat(time_point now, const node_id& peer, const node_heartbeat& message);
  void run_controllers(time_point now);
  void log_capacity(const service_spec& service);
  void log_plan(time_point now, const service_id& service, const replica_controller& controller);
  void refresh_demand(time_point now);
  void log_demand_change(const service_id& service, const replica_controller& controller);
  void carry_out(const service_id& service, const controller_effect& effect);
  void check_stalls(time_point now);
  void probe_overdue(time_point now);
  void probe_lost_targets(time_point now);
  [[nodiscard]] bool is_unlisted_member(time_point now, const target_view& view) const;
  void check_replica(const target_id& head);
  [[nodiscard]] bool is_serving_replica(const target_view& head);
  void count_query(std::string_view why);
  // Queries a target for its report; false if this incarnation of it does not answer. Queries have
  // a cost and are counted in a metric by their reason, `why`.
  bool probe(const target_id& id, duration timeout, std::string_view why);
  bool probe_with_peer(const target_id& id, duration timeout, std::string_view why);
  // Applies a report of an engine. False if another incarnation of the engine sent it.
  bool apply_report(time_point requested_at, const target_id& id, const target_report& report);
  void verify_lost_report(const target_id& id);
  [[nodiscard]] feed_update configuration_update(time_point now, const feed_positions& at);
  // Adds a part of this node's configuration to a heartbeat to a hub that started from the copy of
  // a restored store, and so has an older one.
  void offer_configuration(time_point now, const node_id& peer, node_heartbeat& message);
  void forward_configuration(time_point now, const node_id& peer, const feed_positions& at,
                             node_heartbeat& message);
  // Removes the rows of an update that has the complete list, and marks it as withheld, if they
  // exceed the remaining budget of bytes for sending lists.
  void withhold_beyond_budget(feed_update& update);
  [[nodiscard]] feed_update targets_update(time_point now, std::uint64_t after);
  [[nodiscard]] feed_update serving_update(time_point now, const serving_follower::position& after);
  void forward_updates(time_point now, const node_id& peer, node_heartbeat& message);
  void add_loads(time_point now, const node_id& peer, node_heartbeat& message);
  void take_loads(time_point now, const node_id& peer, const node_heartbeat& message);
  [[nodiscard]] bool receives_poison_updates(time_point now, const node_id& peer) const;
  void apply_poison_updates(time_point now, const node_id& peer, const node_heartbeat& message);
  void add_demand_report(time_point now, const node_id& peer, node_heartbeat& message);
  void take_demand(time_point now, const node_id& peer, const node_heartbeat& message);
  void grant_sends(time_point now);
  void add_limits(time_point now, const node_id& peer, node_heartbeat& message);
  void take_limits(time_point now, const node_id& peer, const node_heartbeat& message);
  void grant_warming_sends(time_point now);
  void add_warming(time_point now, const node_id& peer, node_heartbeat& message);
  void take_warming(time_point now, const node_id& peer, time_point valid_from,
                    const node_heartbeat& message);
  void sample_members(const target_id& head, std::vector<target_id>& members);
  void send_peer_heartbeats(time_point now);
  void send_heartbeat(time_point now, const node_id& peer);
  void update_links(const std::vector<node_id>& peers);
  void begin_round(time_point now);
  [[nodiscard]] node_heartbeat heartbeat_for(time_point now, const node_id& peer);

  hosted_state& node_;
  peer_links& links_;
  store_watch& watch_;
  time_point started_at_;
  rng random_;
  std::map<service_id, replica_controller> controllers_;
  // For the controllers; see refresh_demand().
  time_point demand_refreshed_at_{};
  model_demand known_demand_;
  double heard_nodes_ = 1;
  // What the metrics have of a controller's moves.
  struct counted_moves {
    std::uint64_t changes = 0;
    std::uint64_t closed = 0;
  };
  std::map<service_id, counted_moves> counted_moves_;
  std::set<target_id> heads_being_checked_;   // heads whose replicas are being checked
  std::set<target_id> targets_being_probed_;  // targets with a probe in progress
  std::map<node_id, feed_positions> peer_positions_;
  poison_exchange poison_exchange_;
  // Send grants for targets that announce a limit.
  send_grants send_grants_;
  grant_receiver received_grants_;
  followed_hub followed_hub_;
  hub_followers followers_;
  // State of the current round of heartbeats to peers.
  config_distributor config_distributor_;
  list_budget list_budget_;
  std::set<target_id> lost_targets_;         // targets that this node marked as lost
  std::vector<target_id> serving_suspects_;  // for the nodes that follow the serving replicas only
  replica_loads all_loads_;                  // of this node and its peers
  replica_loads home_loads_;                 // the same, of this data centre only
  model_demand all_demand_;  // of the deployment, and of this data centre, in this round
  model_demand home_demand_;
  load_feed all_loads_feed_;   // for the nodes of this data centre
  load_feed home_loads_feed_;  // for the other hubs
  reported_loads reported_loads_;
  std::map<node_id, load_follower> received_loads_;  // by the hub that sent them
  std::vector<node_id> linked_peers_;
  std::size_t running_link_updates_ = 0;  // fibers that change the links
  bool ended_ = false;
  std::set<data_centre_id>
      responsible_data_centres_;  // data centres whose replicas this node controls
  std::map<model_key, std::size_t>
      logged_capacity_;  // replicas that may be sent requests, as last logged
  control_costs costs_;  // since costs_logged_at_
  time_point costs_logged_at_ = started_at_;
  time_point controllers_due_at_{};
  time_point heartbeats_sent_at_{};
  std::map<service_id, time_point> plans_logged_at_;
  time_point capacity_logged_at_{};
  time_point lost_probed_at_{};
  time_point hub_reply_at_{};  // the hub's last heartbeat that echoed a stamp of this node
  std::map<service_id, std::vector<replica_controller::domain_plan>> logged_plans_;
};

}  // namespace arbutus
