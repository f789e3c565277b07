// Timing parameters of the control plane. Each component takes them by value, so that tests can
// vary them. All nodes of one data centre must use the same values.
#pragma once

#include <cstddef>

#include "base/units.h"

namespace arbutus {

struct control_timing {
  // One message per second to each peer uses half of the traffic budget at 21 nodes.
  duration heartbeat_interval = 1s;
  // Spreads the heartbeats. It is subtracted, so the interval never exceeds heartbeat_interval.
  duration heartbeat_jitter = 100ms;
  // Urgent updates send a heartbeat early; this bounds the rate under many updates.
  duration heartbeat_min_gap = 50ms;

  // A peer is suspect after two missed heartbeats and dead after four. A dead peer is assigned no
  // probes and has no rank.
  duration peer_suspect_after = 2500ms;
  duration peer_dead_after = 4500ms;
  // A peer that was marked dead twice within damping_half_life counts as alive again only after its
  // heartbeats have arrived for this long, doubled with each further death up to damping_limit.
  duration peer_damping = 2s;
  duration damping_limit = 30s;
  duration damping_half_life = 60s;

  // A longer gap between ticks means that this process was paused; messages missing from that
  // time say nothing about the peers.
  duration pause_threshold = 1s;

  // A node may repair without the table for this long after it sent the newest message that a
  // majority has acknowledged.
  duration quorum_validity = 4s;
  // Once a majority has received nothing from a node for this long, its right to act has expired.
  // Exceeds quorum_validity by the clock drift and the validity of an order.
  duration quorum_expiry = 8s;

  // Interval at which each prober of a target probes it, if the budget allows.
  duration probe_interval = 1s;
  double probes_per_second = 8.0;
  // Upper limit of the interval, also beyond the budget: otherwise an observation, with the
  // heartbeat that carries it, gets older than permission_validity, and working replicas are not
  // routed to. Two nodes with 19 targets, or few surviving nodes, exceed the budget; 21 nodes with
  // 81 targets do not.
  duration max_probe_interval = 1125ms;
  // Additional budget for suspect targets. Their state is needed soon, but an unreachable fabric
  // domain must not cause a flood of probes.
  double urgent_probes_per_second = 4.0;
  std::size_t urgent_probe_burst = 4;
  // Interval between urgent probes of one suspect target.
  duration urgent_probe_interval = 300ms;
  // A probe without a result is abandoned after this time.
  duration probe_timeout = 2s;
  // A target that only one prober fails to reach counts as lost after this time.
  duration single_prober_loss_timeout = 2s;
  // The condition of a target is unknown after this time without an observation.
  duration unknown_after = 4s;
  // A lost target counts as working after this time without a failed probe, doubled with each
  // repeated loss.
  duration recovery_duration = 1s;

  // Intervals at which the designated readers and the other nodes read the configuration head.
  duration head_reader_interval = 1s;
  duration head_non_reader_interval = 10s;
  // The first retry of a failed read of the head follows within this time.
  duration head_retry = 200ms;
  std::size_t head_readers = 2;
  // A request for content, or a read of the head, without a response is sent to another after this.
  duration fetch_timeout = 700ms;

  // Upper bound of the relative difference in rate between the clocks of two machines.
  double clock_drift = 0.001;
};

}  // namespace arbutus
