// Runs the replica keeper: asks and orders engines, notices replicas that went silent, and tells
// peers.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "node/hosted_state.h"
#include "node/peer_links.h"
#include "process/replica_keeper.h"

namespace arbutus {

class keeper_loop {
 public:
  keeper_loop(hosted_state& node, peer_links& links);

  // In a fiber of its own until the runtime stops.
  void run();

  void heard(time_point now, const node_id& peer, const node_beat& beat);
  void set_peers(std::vector<node_id> peers) { peer_ids_ = std::move(peers); }

 private:
  void keep(time_point now);
  void carry_out(const service_id& service, const keeper_effect& effect);
  void watch_silence(time_point now);
  void check_unheard(time_point now);
  void check_replica(const target_id& head);
  bool probe(const target_id& id, duration timeout);
  void tell_peers(time_point now);

  hosted_state& node_;
  peer_links& links_;
  time_point started_;
  std::map<service_id, replica_keeper> keepers_;
  std::set<target_id> checking_;  // heads whose replicas are being asked
  std::set<target_id> probing_;
  std::vector<node_id> peer_ids_;
  std::set<data_centre_id> duties_;
  time_point told_peers_at_{};
};

}  // namespace arbutus
