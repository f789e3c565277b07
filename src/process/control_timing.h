// Timing parameters of the control plane. Each component takes them by value, so that tests can
// vary them. All nodes of one data centre must use the same values.
#pragma once

#include <cstddef>

#include "base/units.h"

namespace arbutus {

struct control_timing {
  // Interval between heartbeats to a peer. One heartbeat per second to each peer uses half of the
  // traffic budget of a node at 21 nodes.
  duration heartbeat_interval = 1s;
  // Largest random reduction of the interval between heartbeats, to spread them. The jitter is
  // subtracted, so the interval never exceeds heartbeat_interval.
  duration heartbeat_jitter = 100ms;
  // Minimum time between two heartbeats to a peer. Urgent updates send a heartbeat early; the gap
  // limits the rate under many updates.
  duration heartbeat_min_gap = 50ms;

  // A peer is suspect after two missed heartbeats and dead after four. A dead peer is assigned no
  // probes and has no rank.
  duration peer_suspect_after = 2500ms;
  duration peer_dead_after = 4500ms;
  // A peer that was marked dead twice within flap_damping_half_life counts as alive again only
  // after its heartbeats have arrived for the time peer_flap_damping, doubled with each further
  // death up to max_flap_damping.
  duration peer_flap_damping = 2s;
  duration max_flap_damping = 30s;
  duration flap_damping_half_life = 60s;

  // A gap between ticks that is longer than this means that this process was paused. Messages of
  // peers that are missing from that time say nothing about the peers.
  duration pause_threshold = 1s;

  // While the table service is unavailable, a node may repair replicas for this long after it sent
  // the newest message that a majority of the nodes has acknowledged.
  duration quorum_validity = 4s;
  // Once a majority of the nodes has received nothing from a node for this long, that node's right
  // to act (to repair and to send orders) has expired. Exceeds quorum_validity by the clock drift
  // and the validity of an order.
  duration quorum_expiry = 8s;

  // Interval at which each node that is responsible for probing a target probes it, if the node's
  // probe budget (max_probes_per_second) allows.
  duration probe_interval = 1s;
  double max_probes_per_second = 8.0;
  // Upper limit of the interval between a node's probes of a target, also when this exceeds the
  // probe budget: otherwise an observation, with the heartbeat that carries it, gets older than
  // permission_validity, and working replicas are not routed to. Two nodes with 19 targets, or few
  // surviving nodes, exceed the budget; 21 nodes with 81 targets do not.
  duration max_probe_interval = 1125ms;
  // Additional probe budget of a node for suspect targets. Their state is needed soon, but an
  // unreachable fabric domain must not cause a flood of probes.
  double max_urgent_probes_per_second = 4.0;
  std::size_t urgent_probe_burst = 4;
  // Interval between urgent probes of one suspect target.
  duration urgent_probe_interval = 300ms;
  // A probe of a target that has no result after this time is abandoned.
  duration probe_timeout = 2s;
  // A target that only one of the nodes probing it fails to reach counts as lost after this time.
  duration single_prober_loss_timeout = 2s;
  // The condition of a target is unknown after this time without an observation.
  duration condition_unknown_after = 4s;
  // A lost target counts as working after this time without a failed probe, doubled with each
  // repeated loss.
  duration target_recovery_duration = 1s;

  // Intervals at which the designated readers (head_reader_count of them) and the other nodes read
  // the head row of the configuration from the table.
  duration head_reader_interval = 1s;
  duration head_non_reader_interval = 10s;
  // The first retry of a failed read of the configuration's head row follows within this time.
  duration max_head_retry_delay = 200ms;
  std::size_t head_reader_count = 2;
  // A request for configuration content that gets no response within this time is repeated at
  // another source.
  duration config_fetch_timeout = 700ms;

  // Upper bound of the relative difference in rate between the clocks of two machines.
  double clock_drift = 0.001;
};

}  // namespace arbutus
