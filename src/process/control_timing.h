// Timing of the control plane, in one place with its reasons. Every part takes it as a value, so
// that tests can vary it; nodes of one data centre have to run the same figures.
#pragma once

#include <cstddef>

#include "base/units.h"

namespace arbutus {

struct control_timing {
  // One message a second to each peer: half of the traffic budget at 21 nodes.
  duration heartbeat_interval = 1s;
  // Spreads the heartbeats; subtracted, so that the interval is never longer than stated.
  duration heartbeat_jitter = 100ms;
  // Urgent news may bring a heartbeat forward, but a storm of news not more often than this.
  duration heartbeat_min_gap = 50ms;

  // A peer that missed two heartbeats is suspect, one that missed four is dead: it probes nothing
  // and has no rank.
  duration peer_suspect_after = 2500ms;
  duration peer_dead_after = 4500ms;
  // A peer that died twice within the half-life has to be heard for as long as this, doubled with
  // each further death, before it counts as alive again.
  duration peer_damping = 2s;
  duration damping_limit = 30s;
  duration damping_half_life = 60s;

  // A gap between own ticks longer than this means that this process was paused: what it has not
  // heard meanwhile says nothing about the others.
  duration own_pause = 1s;

  // A node may repair without the table for so long after the sending of its newest message that a
  // majority has answered...
  duration act_alone_for = 4s;
  // ...and a majority that has not heard it for so long counts its permission as lapsed. Longer
  // than act_alone_for by the drift of clocks and the time an order stays valid.
  duration lapse_after = 8s;

  // Each target is probed so often by each of its probers, if the budget allows.
  duration probe_interval = 1s;
  double probes_per_second = 8.0;
  // But never more seldom than this: with the heartbeat that carries it, an observation would get
  // older than permission_time, and replicas that work would not be routed to. Two nodes before 19
  // targets, or few survivors, need more than the budget; 21 nodes before 81 do not.
  duration longest_probe_interval = 1125ms;
  // Beside that for suspects: the answer is urgent, but a dark fabric domain must not flood.
  double urgent_probes_per_second = 4.0;
  std::size_t urgent_probe_burst = 4;
  // A suspect is probed again after this.
  duration urgent_probe_interval = 300ms;
  // A probe without a result is given up after this.
  duration probe_timeout = 2s;
  // A target that one prober alone cannot reach is lost after this.
  duration suspicion = 2s;
  // Without any observation for so long, nothing is known about a target.
  duration unknown_after = 4s;
  // A lost target works again after so long without a failed probe, doubled when it flaps.
  duration recovery = 1s;

  duration head_read_by_readers = 1s;
  duration head_read_by_others = 10s;
  // The first read after a failed one follows within this.
  duration head_retry = 200ms;
  std::size_t head_readers = 2;
  // A request for content, or a read of the head, without an answer is tried elsewhere after this.
  duration fetch_timeout = 700ms;

  // Clocks of two machines differ in rate by less than this share.
  double clock_drift = 0.001;
};

}  // namespace arbutus
