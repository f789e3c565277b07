// Runs the replica controllers of a hosted node: queries engines and sends them orders
// (keeper_loop.cpp), detects stalled replicas and lost targets (keeper_losses.cpp), and exchanges
// heartbeats with peers (keeper_beats.cpp).
#pragma once

#include <map>
#include <memory>
#include <set>

#include "base/hash.h"
#include "base/rng.h"
#include "node/hosted_state.h"
#include "node/peer_links.h"
#include "node/store_watch.h"
#include "process/config_distributor.h"
#include "process/list_budget.h"
#include "process/poison_exchange.h"
#include "process/replica_controller.h"
#include "process/send_grants.h"

namespace arbutus {

class keeper_loop {
 public:
  keeper_loop(hosted_state& node, peer_links& links, store_watch& watch);

  // Runs in its own fiber until end() is called or the runtime stops.
  void run();

  // To be called on the worker; returns when nothing uses the links any more.
  void end();

  // Handles a heartbeat from a peer.
  void heard(time_point now, const node_id& peer, const node_heartbeat& beat);

 private:
  // Engines answer within 3 ms. After an order without an answer, the engine's state is queried
  // first; the order is not repeated blindly.
  static constexpr duration order_timeout = 300ms;

  // Positions in the watched tables that a peer reported.
  struct positions {
    bool follows_records = true;
    std::uint64_t targets{};
    serving_follower::position serving;
    std::uint64_t configuration{};
    std::uint64_t configuration_row{};
    config_progress configuration_progress;
  };

  void keep(time_point now);
  void tell_capacity(const service_spec& service);
  void tell_plan(time_point now, const replica_controller& keeper);
  void carry_out(const service_id& service, const controller_effect& effect);
  void watch_silence(time_point now);
  void check_unheard(time_point now);
  void ask_lost(time_point now);
  [[nodiscard]] bool is_dropped(time_point now, const target_view& view) const;
  void check_replica(const target_id& head);
  [[nodiscard]] bool is_whole(const target_view& head);
  void count_question(std::string_view why);
  // `why` labels the metric, since each query to a target has a cost.
  bool probe(const target_id& id, duration timeout, std::string_view why);
  // False if another incarnation of the engine answered.
  bool take_report(time_point asked, const target_id& id, const target_report& report);
  void doubt(const target_id& id);
  [[nodiscard]] feed_update configuration_news(time_point now, const positions& at);
  void pass_on_configuration(time_point now, const node_id& peer, const positions& at,
                             node_heartbeat& beat);
  void withhold_beyond_budget(feed_update& news);
  [[nodiscard]] feed_update target_news(time_point now, std::uint64_t after);
  [[nodiscard]] feed_update served_news(time_point now, const serving_follower::position& after);
  void pass_on(time_point now, const node_id& peer, node_heartbeat& beat);
  [[nodiscard]] bool hears_crashes(time_point now, const node_id& peer) const;
  void take_crashes(time_point now, const node_id& peer, const node_heartbeat& beat);
  void grant_sends(time_point now);
  void add_limits(time_point now, const node_id& peer, node_heartbeat& beat);
  void take_limits(time_point now, const node_id& peer, const node_heartbeat& beat);
  void choose_asked(const target_id& head, std::vector<target_id>& members);
  void tell_peers(time_point now);
  void link_to(const std::vector<node_id>& peers);
  void begin_round(time_point now);
  [[nodiscard]] node_heartbeat beat_for(time_point now, const node_id& peer);

  hosted_state& node_;
  peer_links& links_;
  store_watch& watch_;
  time_point started_;
  rng random_;
  std::map<service_id, replica_controller> keepers_;
  std::set<target_id> checking_;  // heads whose replicas are being checked
  std::set<target_id> probing_;
  std::map<node_id, positions> positions_;
  poison_exchange crashes_;
  // Send grants for targets that announce a limit.
  send_grants grants_;
  grant_receiver granted_;
  // State of one round of heartbeats.
  config_distributor config_distributor_;
  list_budget whole_lists_;
  std::set<target_id> lost_;          // targets that this node marked as lost
  std::vector<target_id> suspected_;  // for the nodes that follow the serving replicas only
  std::map<target_id, replica_load> all_loads_;
  std::vector<node_id> linked_;
  std::size_t linking_ = 0;  // fibers that change the links
  bool ended_ = false;
  std::set<data_centre_id> duties_;
  std::map<model_id, std::size_t> capacity_;  // replicas that may be sent requests, as last logged
  time_point told_peers_at_{};
  time_point told_plan_at_{};
  time_point told_capacity_at_{};
  time_point asked_lost_at_{};
  time_point hub_heard_at_{};  // the hub's last heartbeat that echoed a stamp of this node
  std::vector<replica_controller::domain_plan> told_plan_;
};

}  // namespace arbutus
